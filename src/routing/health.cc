#include "masticrill/routing/health.h"

#include <algorithm>

namespace masticrill::routing {

void UpstreamHealth::OnDispatch(const HealthSettings& /*settings*/, TimePoint now) {
  if (this->StateAt(now) == HealthState::kHalfOpen) {
    ++this->probes_in_flight;
  }
}

void UpstreamHealth::OnResult(const HealthSettings& settings, bool good, TimePoint now) {
  this->OnNeutralResult();
  const double weight = std::max(settings.error_rate_weight, 1.0 / (this->results + 1.0));
  this->error_rate += weight * ((good ? 0.0 : 1.0) - this->error_rate);
  ++this->results;
  this->consecutive_failures = good ? 0 : this->consecutive_failures + 1;
  switch (this->StateAt(now)) {
    case HealthState::kEjected:
      // The attempt was dispatched before the ejection; its late result does not change the state.
      return;
    case HealthState::kHalfOpen:
      this->OnProbeResult(settings, good, now);
      return;
    case HealthState::kHealthy:
      break;
  }
  if (good && this->results >= settings.min_results_for_error_rate) {
    this->consecutive_ejections = 0;
  }
  const bool too_many_consecutive = this->consecutive_failures >= settings.consecutive_failures;
  const bool rate_known = this->results >= settings.min_results_for_error_rate;
  const bool rate_too_high = rate_known && this->error_rate >= settings.error_rate;
  if (too_many_consecutive || rate_too_high) {
    this->Eject(settings, now);
  }
}

void UpstreamHealth::OnProbeResult(const HealthSettings& settings, bool good, TimePoint now) {
  if (!good) {
    this->Eject(settings, now);
    return;
  }
  ++this->successful_probes;
  if (this->successful_probes < settings.probes_to_recover) {
    return;
  }
  this->ejected = false;
  this->results = 0;
  this->error_rate = 0;
}

void UpstreamHealth::OnNeutralResult() {
  if (this->probes_in_flight > 0) {
    --this->probes_in_flight;
  }
}

void UpstreamHealth::OnNoConnection(const HealthSettings& settings, bool refused, TimePoint now) {
  // Eject forgets why the upstream was ejected before.
  const bool for_lack_of_connection =
      this->unreachable || this->StateAt(now) == HealthState::kHealthy;
  // OnResult adds one more.
  const std::uint32_t failures = settings.consecutive_failures;
  this->consecutive_failures += refused ? failures : failures / 2;
  this->OnResult(settings, false, now);
  this->unreachable = this->ejected && for_lack_of_connection;
}

void UpstreamHealth::OnReached() {
  if (!this->ejected || !this->unreachable) {
    return;
  }
  this->ejected = false;
  this->unreachable = false;
  this->consecutive_failures = 0;
  this->consecutive_ejections = 0;
}

void UpstreamHealth::OnRestart(TimePoint now) {
  this->results = 0;
  this->consecutive_failures = 0;
  this->consecutive_ejections = 0;
  this->successful_probes = 0;
  this->probes_in_flight = 0;
  this->error_rate = 0;
  this->ejected_until = std::min(this->ejected_until, now);
}

HealthView UpstreamHealth::Read(const HealthSettings& settings, TimePoint now) const {
  const HealthState state = this->StateAt(now);
  const bool half_open = state == HealthState::kHalfOpen;
  return {.state = state,
          .probe_allowed = half_open && this->probes_in_flight < settings.max_concurrent_probes,
          .ejected_until = this->ejected_until,
          .error_rate = this->error_rate};
}

HealthState UpstreamHealth::StateAt(TimePoint now) const {
  if (!this->ejected) {
    return HealthState::kHealthy;
  }
  return now < this->ejected_until ? HealthState::kEjected : HealthState::kHalfOpen;
}

void UpstreamHealth::Eject(const HealthSettings& settings, TimePoint now) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(this->consecutive_ejections, kMaxDoublings);
  const Duration ejection = settings.initial_ejection * (std::int64_t{1} << doublings);
  this->ejected = true;
  this->ejected_until = now + std::min(ejection, settings.max_ejection);
  this->successful_probes = 0;
  this->probes_in_flight = 0;
  this->unreachable = false;
  ++this->consecutive_ejections;
}

}  // namespace masticrill::routing
