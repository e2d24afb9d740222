#ifndef MASTICRILL_ROUTING_HEALTH_H_
#define MASTICRILL_ROUTING_HEALTH_H_

#include <cstdint>

#include "masticrill/common/clock.h"

namespace masticrill::routing {

struct HealthSettings {
  /// Failures in a row that eject an upstream.
  std::uint32_t consecutive_failures = 5;
  /// The error rate that ejects it once enough results are known.
  double error_rate = 0.5;
  std::uint32_t min_results_for_error_rate = 20;
  /// The weight of the newest result in the error rate.
  double error_rate_weight = 0.05;
  /// The first ejection; each further one in a row doubles it up to the longest.
  Duration initial_ejection = seconds(1);
  Duration max_ejection = seconds(10);
  /// Good probes in a row that end the half-open state.
  std::uint32_t probes_to_recover = 3;
  /// Probes that may run at once in the half-open state.
  std::uint32_t max_concurrent_probes = 1;

  friend bool operator==(const HealthSettings&, const HealthSettings&) = default;
};

/// kHalfOpen lets a bounded number of probes through.
enum class HealthState { kHealthy, kEjected, kHalfOpen };

/// The health of an upstream at one time.
struct HealthView {
  HealthState state = HealthState::kHealthy;
  /// The half-open state has room for another probe.
  bool probe_allowed = false;
  /// The end of the ejection.
  TimePoint ejected_until = {};
  double error_rate = 0;

  friend bool operator==(const HealthView&, const HealthView&) = default;
};

/// Judges one upstream by its results. Not safe for use by several threads.
class UpstreamHealth {
 public:
  void OnDispatch(const HealthSettings& settings, TimePoint now);
  void OnResult(const HealthSettings& settings, bool good, TimePoint now);
  /// An attempt ended that says nothing about health.
  void OnNeutralResult();
  /// The upstream restarted: what was known of its errors no longer counts.
  void OnRestart(TimePoint now);

  HealthView Read(const HealthSettings& settings, TimePoint now) const;

 private:
  HealthState StateAt(TimePoint now) const;
  void OnProbeResult(const HealthSettings& settings, bool good, TimePoint now);
  void Eject(const HealthSettings& settings, TimePoint now);

  std::uint32_t results = 0;
  std::uint32_t failures_in_row = 0;
  std::uint32_t ejections_in_row = 0;
  std::uint32_t successful_probes = 0;
  std::uint32_t probes_in_flight = 0;
  double error_rate = 0;
  bool ejected = false;
  TimePoint ejected_until;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_HEALTH_H_
