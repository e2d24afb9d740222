#include "masticrill/sidecar/latency_baseline.h"

#include <doctest/doctest.h>

#include "fakes/sidecar_inputs.h"

namespace masticrill::sidecar {
namespace {

using testing::kStart;

TEST_CASE("the expected latency follows the concurrency") {
  LatencyBaseline baseline;
  CHECK_FALSE(baseline.Minimum(1));
  for (int sample = 0; sample < 4; ++sample) {
    baseline.Observe(1, milliseconds(100), 1, kStart);
    CHECK_FALSE(baseline.Expected(1, 1));
    baseline.Observe(1, milliseconds(300), 9, kStart);
  }
  CHECK(baseline.Minimum(1) == milliseconds(100));
  CHECK(baseline.Expected(1, 1) == milliseconds(100));
  CHECK(baseline.Expected(1, 5) == milliseconds(200));
  CHECK(baseline.Expected(1, 17) == milliseconds(500));
  CHECK_FALSE(baseline.Expected(2, 1));
}

TEST_CASE("the minimum is forgotten after two windows, and keys are bounded") {
  LatencyBaseline baseline({.window = seconds(10), .max_keys = 2, .min_samples = 1});
  baseline.Observe(1, milliseconds(100), 1, kStart);
  baseline.Observe(1, milliseconds(200), 1, kStart + seconds(10));
  CHECK(baseline.Minimum(1) == milliseconds(100));
  baseline.Observe(1, milliseconds(200), 1, kStart + seconds(20));
  CHECK(baseline.Minimum(1) == milliseconds(200));
  baseline.Observe(2, milliseconds(1), 1, kStart);
  baseline.Observe(3, milliseconds(1), 1, kStart);
  CHECK(baseline.Minimum(2));
  CHECK_FALSE(baseline.Minimum(3));
}

TEST_CASE("attempts of different classes, versions or services have different latency keys") {
  const AttemptSpec caption = testing::MakeSpec("a");
  AttemptSpec brief = caption;
  brief.request_class = RequestClass::kBrief;
  AttemptSpec other = caption;
  other.version->version = VersionId("2");
  AttemptSpec service = caption;
  service.version.reset();
  service.service = ServiceId("s");
  CHECK(LatencyKeyOf(caption) != LatencyKeyOf(brief));
  CHECK(LatencyKeyOf(caption) != LatencyKeyOf(other));
  CHECK(LatencyKeyOf(caption) != LatencyKeyOf(service));
  CHECK(LatencyKeyOf(caption) == LatencyKeyOf(testing::MakeSpec("b")));
}

}  // namespace
}  // namespace masticrill::sidecar
