#include "masticrill/routing/service_rollout.h"

#include <doctest/doctest.h>

namespace masticrill::routing {
namespace {

config::ServiceRollout Running(WallTimeMs ordered_at) {
  return {VersionId("v2"), milliseconds(20'000), ordered_at, config::ServiceRolloutState::kRunning,
          ""};
}

TEST_CASE("no session moves in the first half, and the share that moved never shrinks") {
  const RolloutPlan plan;
  config::ServiceRollout rollout = Running(100'000);
  double last = 0;
  for (WallTimeMs now = 90'000; now <= 140'000; now += 50) {
    if (now >= 114'000) {
      rollout.moved_at = 115'000;
    }
    const double share = TargetShare(rollout, plan, now);
    CHECK(share >= last);
    CHECK(share <= 1);
    if (now <= 110'000) {
      CHECK(share == 0);
    }
    last = share;
  }
  CHECK(last == 1);
}

TEST_CASE("all sessions move only when the trial was judged good, however much time has passed") {
  // Failure: a bad candidate got all sessions by time alone, before its trial could show it.
  const RolloutPlan plan;
  config::ServiceRollout rollout = Running(0);
  const auto at = [&](double progress) {
    return TargetShare(rollout, plan, static_cast<WallTimeMs>(progress * 20'000));
  };
  CHECK(plan.trial_share <= 0.15);
  for (const double progress : {0.6, plan.complete_at, 1.0, 2.0}) {
    CHECK(at(progress) == doctest::Approx(plan.trial_share));
  }
  rollout.moved_at = 15'000;
  CHECK(at(0.74) == doctest::Approx(plan.trial_share));
  CHECK(at(0.75) == 1);
  CHECK(at(plan.complete_at) == 1);
}

TEST_CASE("an ended roll-out sends all sessions to one version") {
  config::ServiceRollout rollout = Running(0);
  rollout.state = config::ServiceRolloutState::kCompleted;
  CHECK(TargetShare(rollout, {}, 0) == 1);
  rollout.state = config::ServiceRolloutState::kRolledBack;
  CHECK(TargetShare(rollout, {}, 1'000'000) == 0);
}

TEST_CASE("progress is 0, not negative, on a clock that runs behind the time of the order") {
  CHECK(RolloutProgress(Running(100'000), 99'000) == 0);
  CHECK(RolloutProgress(Running(100'000), 110'000) == doctest::Approx(0.5));
}

}  // namespace
}  // namespace masticrill::routing
