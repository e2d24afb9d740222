#include "masticrill/routing/retry.h"

#include <doctest/doctest.h>

#include "masticrill/common/random.h"

namespace masticrill::routing {
namespace {

const TimePoint kNow = TimePoint{} + seconds(10);

RetryQuestion Question(HandOverState hand_over, bool repeatable) {
  RetryQuestion question;
  question.hand_over = hand_over;
  question.repeatable = repeatable;
  question.now = kNow;
  question.deadline = kNow + seconds(1);
  return question;
}

struct RetryCase {
  const char* name;
  RetryQuestion question;
  bool retry;
  RetryReason reason;
};

RetryQuestion With(RetryQuestion question, void (*change)(RetryQuestion&)) {
  change(question);
  return question;
}

const RetryCase kRetryCases[] = {
    {"a booking never handed over", Question(HandOverState::kNever, false), true,
     RetryReason::kNeverHandedOver},
    {"a fenced booking", Question(HandOverState::kFenced, false), true,
     RetryReason::kFencedBeforeStart},
    {"a booking that may have run", Question(HandOverState::kMayHaveRun, false), false,
     RetryReason::kRefusedMayHaveRun},
    {"a read that may have run", Question(HandOverState::kMayHaveRun, true), true,
     RetryReason::kRepeatable},
    {"a hedged booking",
     With(Question(HandOverState::kNever, false), [](RetryQuestion& q) { q.hedge = true; }), false,
     RetryReason::kRefusedMayHaveRun},
    {"a stream that can go on",
     With(Question(HandOverState::kMayHaveRun, true),
          [](RetryQuestion& q) {
            q.stream_started = true;
            q.resumable = true;
          }),
     true, RetryReason::kResumeStream},
    {"a stream that cannot",
     With(Question(HandOverState::kMayHaveRun, true),
          [](RetryQuestion& q) { q.stream_started = true; }),
     false, RetryReason::kRefusedStreamStarted},
    {"no lease",
     With(Question(HandOverState::kNever, true), [](RetryQuestion& q) { q.lease_valid = false; }),
     false, RetryReason::kRefusedNoLease},
    {"attempts used up",
     With(Question(HandOverState::kNever, true), [](RetryQuestion& q) { q.attempts_made = 4; }),
     false, RetryReason::kRefusedAttempts},
    {"deadline too near",
     With(Question(HandOverState::kNever, true),
          [](RetryQuestion& q) { q.deadline = kNow + milliseconds(4); }),
     false, RetryReason::kRefusedDeadline},
};

TEST_CASE("retries follow the table and only allowed ones are paid for") {
  for (const RetryCase& test : kRetryCases) {
    CAPTURE(test.name);
    RetryBudget budget({.initial_balance = 2});
    const RetryDecision decision = DecideRetry(test.question, budget);
    CHECK(decision.retry == test.retry);
    CHECK(decision.reason == test.reason);
    CHECK(budget.Balance() == (test.retry ? 1 : 2));
    RetryBudget empty;
    CHECK_FALSE(DecideRetry(test.question, empty).retry);
  }
}

TEST_CASE("the budget never lets more than a tenth through, whatever the order") {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    Random random(seed);
    RetryBudget budget;
    int requests = 0;
    int taken = 0;
    for (int i = 0; i < 5000; ++i) {
      if (random.Below(3) == 0) {
        budget.OnRequest();
        ++requests;
      } else {
        taken += (random.Below(2) == 0 ? budget.TryTake() : budget.TryTakeForHedge()) ? 1 : 0;
      }
      REQUIRE(taken <= 0.1 * requests + 1e-6);
    }
  }
}

TEST_CASE("hedges leave a reserve for failures") {
  RetryBudget budget({.initial_balance = 11});
  CHECK(budget.TryTakeForHedge());
  CHECK_FALSE(budget.TryTakeForHedge());
  CHECK(budget.TryTake());
}

}  // namespace
}  // namespace masticrill::routing
