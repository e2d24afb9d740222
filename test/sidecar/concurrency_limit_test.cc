#include "masticrill/sidecar/concurrency_limit.h"

#include <doctest/doctest.h>

#include "masticrill/common/random.h"

namespace masticrill::sidecar {
namespace {

template <typename Policy>
void CheckPolicy() {
  const TimePoint start{};
  ConcurrencyLimit<Policy> limit(Policy{}, 32);
  CHECK(limit.Limit() == kInitialLimit);
  // Good answers do not raise a limit that is not in use.
  for (int sample = 0; sample < 1000; ++sample) {
    limit.OnSample({1.0, 1, start}, start);
  }
  CHECK(limit.Limit() == kInitialLimit);
  for (int sample = 0; sample < 2000; ++sample) {
    limit.OnSample({1.0, limit.Limit(), start}, start);
    REQUIRE(limit.Limit() <= 32);
  }
  CHECK(limit.Limit() == 32);
  // Overload lowers the limit immediately, but not again for attempts started before that.
  const TimePoint overload = start + seconds(1);
  limit.OnOverload(start, overload);
  CHECK(limit.Limit() == 16);
  limit.OnOverload(start, overload + milliseconds(1));
  CHECK(limit.Limit() == 16);
  limit.OnOverload(overload, overload + seconds(1));
  CHECK(limit.Limit() == 8);
  limit.SetMaximum(3);
  CHECK(limit.Limit() == 3);
  limit.SetMaximum(0);
  CHECK(limit.Limit() == 1);
}

TEST_CASE(
    "every policy raises the limit with use, lowers it on overload and respects the maximum") {
  CheckPolicy<AimdPolicy>();
  CheckPolicy<GradientPolicy>();
}

TEST_CASE("AIMD tolerates less latency where deadlines are tight") {
  struct Case {
    double ratio;
    double deadline_share;
    bool falls;
  };
  for (const Case& test :
       {Case{2.5, 0.5, false}, Case{2.5, 0.7, true}, Case{1.9, 0.7, false}, Case{3.1, 0.1, true}}) {
    AimdPolicy policy;
    const TimePoint now = TimePoint{} + seconds(1);
    const double limit = policy.Adjust(10, {test.ratio, 10, now, test.deadline_share}, now);
    CHECK((limit < 10) == test.falls);
    CHECK((limit > 10) == !test.falls);
  }
}

template <typename Policy>
void CheckSlowUpstream() {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    ConcurrencyLimit<Policy> limit(Policy{}, 64);
    TimePoint now{};
    for (int sample = 0; sample < 5000; ++sample) {
      // The latency grows with concurrency: three times the minimum at 16.
      const std::uint32_t in_flight = limit.Limit();
      const double ratio = (1 + in_flight / 8.0) * (0.9 + 0.2 * random.Uniform());
      now += milliseconds(100);
      limit.OnSample({ratio, in_flight, now - milliseconds(200)}, now);
      REQUIRE(limit.Limit() >= 1);
      REQUIRE(limit.Limit() <= 64);
    }
    CHECK(limit.Limit() >= 8);
    CHECK(limit.Limit() <= 28);
  }
}

TEST_CASE("every policy converges to a limit at which the latency is near the tolerated one") {
  CheckSlowUpstream<AimdPolicy>();
  CheckSlowUpstream<GradientPolicy>();
}

}  // namespace
}  // namespace masticrill::sidecar
