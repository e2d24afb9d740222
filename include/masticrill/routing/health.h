#ifndef MASTICRILL_ROUTING_HEALTH_H_
#define MASTICRILL_ROUTING_HEALTH_H_

#include <cstdint>

#include "masticrill/common/clock.h"

namespace masticrill::routing {

struct HealthSettings {
  /// Consecutive failures that eject an upstream.
  std::uint32_t consecutive_failures = 5;
  /// The error rate that ejects an upstream once `min_results_for_error_rate` results are known.
  double error_rate = 0.5;
  std::uint32_t min_results_for_error_rate = 20;
  /// The weight of the newest result in the error rate.
  double error_rate_weight = 0.05;
  /// The length of the first ejection; each further one in a row doubles it up to the maximum.
  Duration initial_ejection = seconds(1);
  Duration max_ejection = seconds(10);
  /// Consecutive successful probes that end the half-open state.
  std::uint32_t probes_to_recover = 3;
  /// The number of probes that may run at the same time in the half-open state.
  std::uint32_t max_concurrent_probes = 1;

  friend bool operator==(const HealthSettings&, const HealthSettings&) = default;
};

/// In kHalfOpen a bounded number of requests is sent as probes.
enum class HealthState { kHealthy, kEjected, kHalfOpen };

/// A snapshot of the health of an upstream.
struct HealthView {
  HealthState state = HealthState::kHealthy;
  /// True if the state is half-open and another probe may start.
  bool probe_allowed = false;
  /// The end of the latest ejection, also after it has passed.
  TimePoint ejected_until = {};
  double error_rate = 0;

  friend bool operator==(const HealthView&, const HealthView&) = default;
};

/// The circuit breaker of one upstream, driven by attempt results. Not safe for use by several
/// threads.
class UpstreamHealth {
 public:
  void OnDispatch(const HealthSettings& settings, TimePoint now);
  void OnResult(const HealthSettings& settings, bool good, TimePoint now);
  /// Called for an attempt whose result says nothing about the health of the upstream.
  void OnNeutralResult();
  /// Called when a connection was refused, which ejects the upstream at once, or was not answered,
  /// which does so the second time in a row: one lost packet is enough for that.
  void OnNoConnection(const HealthSettings& settings, bool refused, TimePoint now);
  /// Called when an answer begins. Ends an ejection for lack of a connection: unlike errors, which
  /// may come now and then, that is over with the first answer.
  void OnReached();
  /// Called when the upstream restarted: clears the error counts and ends an ejection, so that
  /// probes may start.
  void OnRestart(TimePoint now);

  HealthView Read(const HealthSettings& settings, TimePoint now) const;

 private:
  HealthState StateAt(TimePoint now) const;
  void OnProbeResult(const HealthSettings& settings, bool good, TimePoint now);
  void Eject(const HealthSettings& settings, TimePoint now);

  std::uint32_t results = 0;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_ejections = 0;
  std::uint32_t successful_probes = 0;
  std::uint32_t probes_in_flight = 0;
  double error_rate = 0;
  bool ejected = false;
  /// Whether it was ejected since no connection could be made.
  bool unreachable = false;
  TimePoint ejected_until;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_HEALTH_H_
