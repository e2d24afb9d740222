#include "masticrill/gateway/upstream_speed.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/gateway/upstream_choice.h"

namespace masticrill::gateway {
namespace {

TimePoint At(int in_ms) { return TimePoint() + milliseconds(in_ms); }

// Pattern: others on the machine slow the upstream by 2.5 times, 15 in 100 of the time.
TEST_CASE("passing slowdowns count while they are fresh and do not shift the lasting factor") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    for (const double lasting : {0.55, 1.2}) {
      UpstreamSpeed speed;
      Random random(seed);
      for (int report = 0; report < 400; ++report) {
        const bool slowed = random.Uniform() < 0.15;
        speed.OnReport(slowed ? 2.5 * lasting : lasting, At(500 * report));
      }
      speed.OnReport(lasting, At(200'000));
      CHECK(speed.Usual() <= lasting * 1.2);
      CHECK(speed.Usual() >= lasting * 0.999);
      speed.OnReport(2.5 * lasting, At(200'500));
      CHECK(speed.Slowdown(At(200'600)) == doctest::Approx(2.5 * lasting));
      CHECK(speed.Slowdown(At(201'000)) <= lasting * 1.25);
    }
  }
}

TEST_CASE("an upstream that says nothing takes the usual time") {
  const UpstreamSpeed speed;
  CHECK(speed.Slowdown(At(0)) == 1);
}

// Pattern: an upstream lies, or its figure is damaged.
TEST_CASE("absurd figures are cut to what is believed") {
  for (const double said : {0.0, -3.0, 1e-300, 1e300, std::numeric_limits<double>::infinity()}) {
    CAPTURE(said);
    UpstreamSpeed speed;
    speed.OnReport(said, At(0));
    CHECK(speed.Slowdown(At(0)) >= 0.25);
    CHECK(speed.Slowdown(At(0)) <= 4);
  }
}

// Pattern: forty upstreams, a quarter of them twice as fast as the others.
TEST_CASE("upstreams get work in proportion to their speeds") {
  Random random(5);
  std::vector<Candidate> candidates;
  for (int index = 0; index < 40; ++index) {
    Candidate candidate;
    candidate.id = UpstreamId("u" + std::to_string(index));
    candidate.local = true;
    candidate.slowdown = index < 10 ? 0.55 : 1.2;
    candidates.push_back(candidate);
  }
  const WorkEstimate work{0, 100, 0, 0};
  for (int request = 0; request < 4000; ++request) {
    const UpstreamDecision decision = ChooseUpstream(candidates, "", work, {}, random);
    candidates.at(*decision.index).load += 100;
  }
  double longest = 0;
  double total = 0;
  for (const Candidate& candidate : candidates) {
    longest = std::max(longest, candidate.load * candidate.slowdown);
    total += candidate.load * candidate.slowdown;
  }
  CHECK(longest / (total / 40) < 1.3);
}

}  // namespace
}  // namespace masticrill::gateway
