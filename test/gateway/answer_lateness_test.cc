#include "masticrill/gateway/answer_lateness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <queue>

#include "masticrill/common/random.h"

namespace masticrill::gateway {
namespace {

const ServiceId kService("s");
constexpr milliseconds kTarget{1000};

TimePoint At(double in_seconds) {
  return TimePoint() + std::chrono::hours(1) +
         duration_cast<Duration>(std::chrono::duration<double>(in_seconds));
}

TEST_CASE("the lateness follows the recorded answers and decays without new ones") {
  AnswerLateness lateness;
  CHECK(lateness.Read(kService, At(0)) == 0);
  for (int answer = 0; answer < 60; ++answer) {
    lateness.Add(kService, milliseconds(900), kTarget, At(0.02 * answer));
  }
  CHECK(lateness.Read(kService, At(1.2)) > 0.8);
  CHECK(lateness.Read(ServiceId("other"), At(1.2)) == 0);
  CHECK(lateness.Read(kService, At(6)) < 0.1);
  lateness.Add(kService, milliseconds(900), milliseconds(0), At(6));
  CHECK(lateness.Read(kService, At(6)) < 0.1);
}

TEST_CASE("the confidence target is unchanged under low load and falls to 0 under overload") {
  CHECK(ConfidenceTargetUnderLoad(0.6, 0) == 0.6);
  CHECK(ConfidenceTargetUnderLoad(0.6, 0.1) == 0.6);
  CHECK(ConfidenceTargetUnderLoad(0.6, 0.5) < 0.6);
  CHECK(ConfidenceTargetUnderLoad(0.6, 0.5) > 0);
  CHECK(ConfidenceTargetUnderLoad(0.6, 5) == 0);
}

struct Served {
  int on_time = 0;
  int escalated = 0;
  int all = 0;
};

/// Simulates one engine that processes requests in turn. Half of the cheap answers are below the
/// confidence target, and the strong model takes kStrongWork instead of kCheapWork. In the middle
/// of the run requests arrive at three times the rate.
Served RunBurst(bool damped) {
  constexpr double kCheapWork = 0.002;
  constexpr double kStrongWork = 0.02;
  constexpr double kLength = 12;
  Random random(5);
  AnswerLateness lateness;
  Served served;
  double free_at = 0;
  double now = 0;
  while (now < kLength) {
    const bool is_burst = now > 4 && now < 8;
    now += (is_burst ? 0.02 / 3 : 0.02) * 2 * random.Uniform();
    ++served.all;
    const auto process = [&](double from, double work) {
      free_at = std::max(free_at, from) + work;
      return free_at;
    };
    double done = process(now, kCheapWork);
    const double confidence = random.Uniform();
    // The decision uses only the answers that have begun by then.
    const double target =
        damped ? ConfidenceTargetUnderLoad(0.5, lateness.Read(kService, At(done))) : 0.5;
    if (confidence < target) {
      ++served.escalated;
      done = process(done, kStrongWork);
    }
    lateness.Add(kService, duration_cast<Duration>(std::chrono::duration<double>(done - now)),
                 kTarget, At(done));
    served.on_time += done - now <= 1 ? 1 : 0;
  }
  return served;
}

TEST_CASE("burst: answers stay on time because fewer of them are escalated") {
  // Pattern: three times the usual load for some seconds, in which the engine cannot escalate every
  // answer of low confidence without falling behind.
  const Served always = RunBurst(false);
  const Served damped = RunBurst(true);
  CHECK(always.on_time < always.all * 8 / 10);
  CHECK(damped.on_time > damped.all * 95 / 100);
  // The remaining capacity is still used for escalations.
  CHECK(damped.escalated > always.escalated / 2);
}

}  // namespace
}  // namespace masticrill::gateway
