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

TEST_CASE(
    "an unproven candidate gets all sessions only late enough to keep the bound on its requests") {
  const RolloutPlan plan;
  const config::ServiceRollout rollout{VersionId("v2"), milliseconds(20'000), 0,
                                       config::ServiceRolloutState::kRunning, ""};
  // 1000 requests a second, of which the trial had its share from its beginning.
  const auto may_move = [&](double progress) {
    const double all = 20'000 * progress;
    const double candidate = plan.trial_share * 20'000 * (progress - plan.trial_from);
    return MayMoveUnproven({static_cast<std::uint64_t>(candidate), static_cast<std::uint64_t>(all)},
                           rollout, plan, progress);
  };
  CHECK_FALSE(may_move(0.66));
  CHECK_FALSE(may_move(0.80));
  CHECK(may_move(0.90));
  // With few requests the slack suffices.
  CHECK(MayMoveUnproven({3, 100}, rollout, plan, 0.80));
  CHECK_FALSE(MayMoveUnproven({0, 0}, rollout, plan, 0));
}

TEST_CASE("a small bound on exposed requests makes the trial small") {
  const RolloutPlan standard;
  CHECK(PlanWithinBound(standard.exposed_share, standard.exposed_slack) == standard);
  CHECK(PlanWithinBound(0.15, 60).trial_share == standard.trial_share);
  const RolloutPlan small = PlanWithinBound(0.02, 5);
  CHECK(small.trial_share * (small.complete_at - small.trial_from) <= 0.01 + 1e-9);
  CHECK(PlanWithinBound(0, 0).trial_share == 0);
}

TEST_CASE("progress is 0, not negative, on a clock that runs behind the time of the order") {
  CHECK(RolloutProgress(Running(100'000), 99'000) == 0);
  CHECK(RolloutProgress(Running(100'000), 110'000) == doctest::Approx(0.5));
}

}  // namespace
}  // namespace masticrill::routing
