#include "masticrill/routing/cascade_policy.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>

namespace masticrill::routing {
namespace {

const CascadeKey kKey{TeamId("guild"), RequestClass::kCaption, CascadeId("draft")};
constexpr double kTarget = 0.7;
constexpr Duration kAmpleTime = seconds(60);

/// A cheap step of one second, and a strong step of five seconds at ten times the cost.
std::vector<CascadeStep> TwoSteps(double strong_wait = 0, double cheap_wait = 0) {
  return {{1, seconds(1), cheap_wait}, {10, seconds(5), strong_wait}};
}

Rating Score(double score) { return {RatingOutcome::kScore, score}; }

/// Trains the pass rate of step 0 by a seeded mix of scores; no two consecutive ones are equal.
void TrainPassRate(CascadePolicy& policy, double pass_rate, int ratings = 200) {
  Random random(3);
  for (int i = 0; i < ratings; ++i) {
    const double base = random.Uniform() < pass_rate ? 0.8 : 0.2;
    policy.Next(kKey, TwoSteps(), 0, Score(base + 0.1 * random.Uniform()), kTarget, kAmpleTime,
                random);
  }
}

struct BeginCase {
  const char* name;
  double pass_rate;
  std::vector<CascadeStep> steps;
  Duration time_left;
  std::size_t step;
  CascadeReason reason;
};

const BeginCase kBeginCases[] = {
    {"cheap step mostly passes", 0.8, TwoSteps(), kAmpleTime, 0, CascadeReason::kCheapestFirst},
    {"cheap step hardly ever passes", 0.02, TwoSteps(), kAmpleTime, 1,
     CascadeReason::kSkippedByCost},
    {"no time for both steps", 0.8, TwoSteps(), milliseconds(5500), 1,
     CascadeReason::kSkippedByDeadline},
    {"time for the cheap step only", 0.8, TwoSteps(), seconds(2), 0,
     CascadeReason::kSkippedByDeadline},
    {"strong step short of capacity, so no skip", 0.02, TwoSteps(3), kAmpleTime, 0,
     CascadeReason::kCheapestFirst},
    {"cheap step would queue", 0.8, TwoSteps(0, 1.5), kAmpleTime, 1, CascadeReason::kSkippedByLoad},
    {"both steps would queue", 0.8, TwoSteps(1.5, 1.5), kAmpleTime, 0,
     CascadeReason::kCheapestFirst},
    {"no upstream for the cheap step",
     0.8,
     {{1, Duration::max(), 0}, {10, seconds(5), 0}},
     kAmpleTime,
     1,
     CascadeReason::kLastStep},
};

TEST_CASE("the first step follows cost, deadline and load") {
  for (const BeginCase& test : kBeginCases) {
    CAPTURE(test.name);
    CascadePolicy policy({.sampling_share = 0});
    TrainPassRate(policy, test.pass_rate);
    Random random(1);
    const CascadeDecision decision = policy.Begin(kKey, test.steps, test.time_left, random);
    CHECK(decision.step == test.step);
    CHECK(decision.reason == test.reason);
    CHECK(decision.rate == (decision.step == 0));
  }
}

const BeginCase kSingleRunCases[] = {
    {"cheap step mostly passes", 0.95, TwoSteps(), kAmpleTime, 0, CascadeReason::kSingleRun},
    {"cheap step often fails", 0.6, TwoSteps(), kAmpleTime, 1, CascadeReason::kSingleRun},
    {"strong step short of capacity", 0.6, TwoSteps(3), kAmpleTime, 0, CascadeReason::kSingleRun},
    {"time for the cheap step only", 0.6, TwoSteps(), seconds(2), 0, CascadeReason::kSingleRun},
    {"time for none: the fastest", 0.95, TwoSteps(), milliseconds(10), 0,
     CascadeReason::kSingleRun},
    {"no upstream for the strong step",
     0.6,
     {{1, seconds(1), 0}, {10, Duration::max(), 0}},
     kAmpleTime,
     0,
     CascadeReason::kSingleRun},
    {"no upstream at all",
     0.6,
     {{1, Duration::max(), 0}, {10, Duration::max(), 0}},
     kAmpleTime,
     0,
     CascadeReason::kLastStep},
};

// Pattern: requests that must not run twice, on a cascade whose cheap step passes more or less
// often.
TEST_CASE("a request that must not run twice gets the cheapest step that mostly passes, unrated") {
  for (const BeginCase& test : kSingleRunCases) {
    CAPTURE(test.name);
    CascadePolicy policy({.sampling_share = 0});
    TrainPassRate(policy, test.pass_rate, 1000);
    const CascadeDecision decision = policy.BeginSingleRun(kKey, test.steps, test.time_left);
    CHECK(decision.step == test.step);
    CHECK(decision.reason == test.reason);
    CHECK_FALSE(decision.rate);
  }
  const CascadePolicy untrained({.sampling_share = 0});
  CHECK(untrained.BeginSingleRun(kKey, TwoSteps(), kAmpleTime).step == 1);
}

TEST_CASE("a skipped step is still sampled and is used again when its pass rate improves") {
  CascadePolicy policy({.sampling_share = 0.05});
  TrainPassRate(policy, 0.02);
  Random random(5);
  const auto cheap_share = [&](double pass_rate) {
    constexpr int kRequests = 4000;
    int cheap = 0;
    for (int i = 0; i < kRequests; ++i) {
      const CascadeDecision decision = policy.Begin(kKey, TwoSteps(), kAmpleTime, random);
      if (decision.step != 0) {
        continue;
      }
      ++cheap;
      const double base = random.Uniform() < pass_rate ? 0.8 : 0.2;
      policy.Next(kKey, TwoSteps(), 0, Score(base + 0.1 * random.Uniform()), kTarget, kAmpleTime,
                  random);
    }
    return static_cast<double>(cheap) / kRequests;
  };
  const double skipped = cheap_share(0.02);
  CHECK(skipped > 0.02);
  CHECK(skipped < 0.12);
  cheap_share(0.9);
  CHECK(cheap_share(0.9) > 0.95);
}

struct NextCase {
  const char* name;
  double pass_rate;
  Rating rating;
  std::vector<CascadeStep> steps;
  Duration time_left;
  bool finish;
  bool degraded;
  CascadeReason reason;
};

const double kNotANumber = std::numeric_limits<double>::quiet_NaN();
const NextCase kNextCases[] = {
    {"passed", 0.8, Score(0.7), TwoSteps(), kAmpleTime, true, false, CascadeReason::kPassed},
    {"below", 0.8, Score(0.69), TwoSteps(), kAmpleTime, false, false, CascadeReason::kEscalated},
    {"below the target without time", 0.8, Score(0.1), TwoSteps(), seconds(4), true, true,
     CascadeReason::kNoTimeToEscalate},
    {"below the target and no upstream for the strong step",
     0.8,
     Score(0.1),
     {{1, seconds(1), 0}, {10, Duration::max(), 0}},
     kAmpleTime,
     true,
     true,
     CascadeReason::kEscalationFailed},
    {"late rating, step mostly passes",
     0.95,
     {RatingOutcome::kLate, 0},
     TwoSteps(),
     kAmpleTime,
     true,
     true,
     CascadeReason::kRatingDownAccepted},
    {"failed rating, step mostly fails",
     0.3,
     {RatingOutcome::kFailed, 0},
     TwoSteps(),
     kAmpleTime,
     false,
     false,
     CascadeReason::kRatingDownEscalated},
    {"score above the range", 0.3, Score(1.01), TwoSteps(), kAmpleTime, false, false,
     CascadeReason::kRatingDownEscalated},
    {"score below the range", 0.95, Score(-0.5), TwoSteps(), kAmpleTime, true, true,
     CascadeReason::kRatingDownAccepted},
    {"score is not a number", 0.3, Score(kNotANumber), TwoSteps(), kAmpleTime, false, false,
     CascadeReason::kRatingDownEscalated},
};

TEST_CASE("a rating ends the cascade or escalates it to the next step") {
  for (const NextCase& test : kNextCases) {
    CAPTURE(test.name);
    CascadePolicy policy;
    TrainPassRate(policy, test.pass_rate);
    Random random(1);
    const CascadeDecision decision =
        policy.Next(kKey, test.steps, 0, test.rating, kTarget, test.time_left, random);
    CHECK(decision.finish == test.finish);
    CHECK(decision.degraded == test.degraded);
    CHECK(decision.reason == test.reason);
    CHECK(decision.step == (test.finish ? 0 : 1));
  }
}

TEST_CASE("out-of-range ratings do not change the pass rate") {
  CascadePolicy policy;
  TrainPassRate(policy, 0.8);
  const double before = policy.PassRate(kKey, 0);
  Random random(1);
  for (const double score : {7.0, -1.0, kNotANumber}) {
    policy.Next(kKey, TwoSteps(), 0, Score(score), kTarget, kAmpleTime, random);
  }
  CHECK(policy.PassRate(kKey, 0) == before);
}

TEST_CASE(
    "a failing rating service is probed once per interval and trusted after one valid rating") {
  CascadePolicy policy;
  TrainPassRate(policy, 0.95);
  Random random(1);
  for (int i = 0; i < 5; ++i) {
    policy.Next(kKey, TwoSteps(), 0, {RatingOutcome::kFailed, 0}, kTarget, kAmpleTime, random);
  }
  CHECK_FALSE(policy.RatingTrusted());
  int asked = 0;
  for (int i = 0; i < 200; ++i) {
    const CascadeDecision decision = policy.Begin(kKey, TwoSteps(), kAmpleTime, random);
    CHECK(decision.step == 0);
    CHECK(decision.degraded == !decision.rate);
    asked += decision.rate ? 1 : 0;
  }
  CHECK(asked == 10);
  policy.Next(kKey, TwoSteps(), 0, Score(0.9), kTarget, kAmpleTime, random);
  CHECK(policy.RatingTrusted());
}

TEST_CASE("a rating service that always returns the same score is not trusted") {
  CascadePolicy policy;
  Random random(1);
  for (int i = 0; i < 64; ++i) {
    policy.Next(kKey, TwoSteps(), 0, Score(1), kTarget, kAmpleTime, random);
  }
  CHECK_FALSE(policy.RatingTrusted());
  policy.Next(kKey, TwoSteps(), 0, Score(0.9), kTarget, kAmpleTime, random);
  CHECK(policy.RatingTrusted());
}

TEST_CASE("escalations to a strong model that is short of capacity are limited to a set share") {
  CascadePolicy policy;
  Random random(1);
  constexpr int kRequests = 2000;
  int escalated = 0;
  for (int i = 0; i < kRequests; ++i) {
    const double score = 0.1 + 0.1 * random.Uniform();
    const CascadeDecision decision =
        policy.Next(kKey, TwoSteps(4), 0, Score(score), kTarget, kAmpleTime, random);
    escalated += decision.finish ? 0 : 1;
    CHECK((!decision.finish || decision.degraded));
  }
  CHECK(escalated < 0.13 * kRequests);
  CHECK(escalated > 0.07 * kRequests);
}

TEST_CASE("pass rates are learned separately for each team and class") {
  CascadePolicy policy;
  TrainPassRate(policy, 0.02);
  CascadeKey other = kKey;
  other.team = TeamId("lux");
  CHECK(policy.PassRate(kKey, 0) < 0.1);
  CHECK(policy.PassRate(other, 0) == 0.5);
  other = kKey;
  other.request_class = RequestClass::kBrief;
  CHECK(policy.PassRate(other, 0) == 0.5);
}

}  // namespace
}  // namespace masticrill::routing
