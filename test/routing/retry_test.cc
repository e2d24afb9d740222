#include "masticrill/routing/retry.h"

#include <doctest/doctest.h>

#include "masticrill/common/random.h"

namespace masticrill::routing {
namespace {

const TimePoint kNow = TimePoint{} + seconds(10);

RetryConditions ConditionsFor(HandOverState hand_over, bool repeatable) {
  RetryConditions conditions;
  conditions.hand_over = hand_over;
  conditions.repeatable = repeatable;
  conditions.now = kNow;
  conditions.deadline = kNow + seconds(1);
  return conditions;
}

struct RetryCase {
  const char* name;
  RetryConditions conditions;
  bool retry;
  RetryReason reason;
};

RetryConditions With(RetryConditions conditions, void (*change)(RetryConditions&)) {
  change(conditions);
  return conditions;
}

const RetryCase kRetryCases[] = {
    {"a booking never handed over", ConditionsFor(HandOverState::kNever, false), true,
     RetryReason::kNeverHandedOver},
    {"a fenced booking", ConditionsFor(HandOverState::kFenced, false), true,
     RetryReason::kFencedBeforeStart},
    {"a booking that may have run", ConditionsFor(HandOverState::kMayHaveRun, false), false,
     RetryReason::kRefusedMayHaveRun},
    {"a read that may have run", ConditionsFor(HandOverState::kMayHaveRun, true), true,
     RetryReason::kRepeatable},
    {"a hedged booking",
     With(ConditionsFor(HandOverState::kNever, false), [](RetryConditions& q) { q.hedge = true; }),
     false, RetryReason::kRefusedMayHaveRun},
    {"a stream that can be resumed",
     With(ConditionsFor(HandOverState::kMayHaveRun, true),
          [](RetryConditions& q) {
            q.stream_started = true;
            q.resumable = true;
          }),
     true, RetryReason::kResumeStream},
    {"a stream that cannot be resumed",
     With(ConditionsFor(HandOverState::kMayHaveRun, true),
          [](RetryConditions& q) { q.stream_started = true; }),
     false, RetryReason::kRefusedStreamStarted},
    {"no lease",
     With(ConditionsFor(HandOverState::kNever, true),
          [](RetryConditions& q) { q.lease_valid = false; }),
     false, RetryReason::kRefusedNoLease},
    {"attempts used up",
     With(ConditionsFor(HandOverState::kNever, true),
          [](RetryConditions& q) { q.attempts_made = 4; }),
     false, RetryReason::kRefusedAttempts},
    {"deadline too near",
     With(ConditionsFor(HandOverState::kNever, true),
          [](RetryConditions& q) { q.deadline = kNow + milliseconds(4); }),
     false, RetryReason::kRefusedDeadline},
};

TEST_CASE("retries follow the case table and only allowed ones draw from the budget") {
  for (const RetryCase& test : kRetryCases) {
    CAPTURE(test.name);
    RetryBudget budget({.initial_balance = 2});
    const RetryDecision decision = DecideRetry(test.conditions, budget);
    CHECK(decision.retry == test.retry);
    CHECK(decision.reason == test.reason);
    CHECK(budget.Balance() == (test.retry ? 1 : 2));
    RetryBudget empty;
    CHECK_FALSE(DecideRetry(test.conditions, empty).retry);
  }
}

TEST_CASE("the budget never allows more retries than its share of the requests, in any order") {
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

TEST_CASE("the cost of a retry that is not made is put back, up to the capacity") {
  RetryBudget budget({.max_balance = 2, .initial_balance = 1.5});
  REQUIRE(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
  budget.PutBack();
  CHECK(budget.Balance() == 1.5);
  CHECK(budget.TryTake());
  budget.PutBack();
  budget.PutBack();
  CHECK(budget.Balance() == 2);
}

TEST_CASE("hedges leave the reserve for retries of failed attempts") {
  RetryBudget budget({.initial_balance = 11});
  CHECK(budget.TryTakeForHedge());
  CHECK_FALSE(budget.TryTakeForHedge());
  CHECK(budget.TryTake());
}

}  // namespace
}  // namespace masticrill::routing
