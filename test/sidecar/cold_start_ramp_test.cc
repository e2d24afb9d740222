#include "masticrill/sidecar/cold_start_ramp.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "masticrill/common/random.h"

namespace masticrill::sidecar {
namespace {

constexpr std::uint32_t kLimit = 16;
constexpr TimePoint kNow{};

/// A ramp that has become warm.
ColdStartRamp WarmRamp() {
  ColdStartRamp ramp(RampOptions{}, kNow);
  ramp.OnEngineStart(1, kNow);
  for (int answer = 0; answer < 100 && ramp.Cold(); ++answer) {
    ramp.OnFirstToken(ramp.Epoch(), 1.0, kLimit, kNow);
  }
  REQUIRE_FALSE(ramp.Cold());
  return ramp;
}

TEST_CASE(
    "a warm upstream turns cold after events that indicate a cold start, and after no others") {
  struct Case {
    const char* name;
    std::function<void(ColdStartRamp&)> event;
    bool cold;
  };
  const auto fail = [](EngineOutcome outcome, int times) {
    return [=](ColdStartRamp& ramp) {
      for (int time = 0; time < times; ++time) {
        ramp.OnFailure(ramp.Epoch(), outcome, kNow);
      }
    };
  };
  const auto answer = [](double ratio, int times) {
    return [=](ColdStartRamp& ramp) {
      for (int time = 0; time < times; ++time) {
        ramp.OnFirstToken(ramp.Epoch(), ratio, kLimit, kNow);
      }
    };
  };
  const std::vector<Case> cases = {
      {"announced", [](ColdStartRamp& ramp) { ramp.OnEngineStart(2, kNow); }, true},
      {"the same start time again", [](ColdStartRamp& ramp) { ramp.OnEngineStart(1, kNow); },
       false},
      {"three slow answers", answer(4.1, 3), true},
      {"two slow answers", answer(4.1, 2), false},
      {"many answers of a busy upstream", answer(3.9, 100), false},
      {"three resets", fail(EngineOutcome::kReset, 3), true},
      {"two timeouts", fail(EngineOutcome::kTimeout, 2), false},
      {"five errors", fail(EngineOutcome::kError, 5), true},
      {"many overload answers", fail(EngineOutcome::kOverloaded, 100), false},
      {"many cancels", fail(EngineOutcome::kCancelled, 100), false},
      {"resets of attempts from before an earlier cold start",
       [](ColdStartRamp& ramp) {
         for (int time = 0; time < 9; ++time) {
           ramp.OnFailure(ramp.Epoch() - 1, EngineOutcome::kReset, kNow);
         }
       },
       false},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    ColdStartRamp ramp = WarmRamp();
    test.event(ramp);
    CHECK(ramp.Cold() == test.cold);
    CHECK(ramp.Bound() == (test.cold ? 1 : ColdStartRamp::kUnbounded));
  }
}

TEST_CASE("answers slower than warm_ratio do not raise the bound") {
  ColdStartRamp ramp = WarmRamp();
  ramp.OnEngineStart(2, kNow);
  for (int answer = 0; answer < 1000; ++answer) {
    ramp.OnFirstToken(ramp.Epoch(), answer % 2 == 0 ? 5.0 : 2.5, kLimit, kNow);
    REQUIRE(ramp.Bound() == 1);
  }
}

TEST_CASE("a second cold start during the ramp resets it, and late answers do not count") {
  ColdStartRamp ramp = WarmRamp();
  ramp.OnEngineStart(2, kNow);
  const std::uint64_t first = ramp.Epoch();
  for (int answer = 0; answer < 5; ++answer) {
    ramp.OnFirstToken(first, 1.0, kLimit, kNow);
  }
  REQUIRE(ramp.Bound() == 6);
  ramp.OnEngineStart(3, kNow);
  CHECK(ramp.Bound() == 1);
  for (int answer = 0; answer < 100; ++answer) {
    ramp.OnFirstToken(first, 1.0, kLimit, kNow);
  }
  CHECK(ramp.Bound() == 1);
  ramp.OnFirstToken(ramp.Epoch(), 1.0, kLimit, kNow);
  CHECK(ramp.Bound() == 2);
  ramp.OnFailure(ramp.Epoch(), EngineOutcome::kReset, kNow);
  CHECK(ramp.Bound() == 1);
}

TEST_CASE(
    "an upstream with unknown warm latency stays within no_baseline_bound for no_baseline_period") {
  const RampOptions options;
  ColdStartRamp ramp(options, kNow);
  for (int answer = 0; answer < 1000; ++answer) {
    ramp.OnFirstToken(ramp.Epoch(), std::nullopt, 4,
                      kNow + options.no_baseline_period - seconds(1));
    REQUIRE(ramp.Cold());
    REQUIRE(ramp.Bound() <= options.no_baseline_bound);
  }
  ramp.OnFirstToken(ramp.Epoch(), std::nullopt, 4, kNow + options.no_baseline_period);
  CHECK_FALSE(ramp.Cold());
}

TEST_CASE("while every answer is slow or fails the bound stays at its initial value") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    RampOptions options;
    options.initial_bound = static_cast<std::uint32_t>(1 + random.Below(4));
    ColdStartRamp ramp(options, kNow);
    for (int step = 0; step < 500; ++step) {
      const std::uint64_t epoch = ramp.Epoch() - random.Below(2);
      switch (random.Below(4)) {
        case 0:
          ramp.OnFirstToken(epoch, 2.1 + 5 * random.Uniform(), kLimit, kNow);
          break;
        case 1:
          ramp.OnFailure(epoch, kAllEngineOutcomes.at(1 + random.Below(5)), kNow);
          break;
        case 2:
          ramp.OnSlowFirstToken(epoch, kNow);
          break;
        default:
          ramp.OnEngineStart(static_cast<WallTimeMs>(random.Below(3)), kNow);
      }
      REQUIRE(ramp.Bound() == options.initial_bound);
    }
  }
}

}  // namespace
}  // namespace masticrill::sidecar
