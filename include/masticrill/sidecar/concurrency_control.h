#ifndef MASTICRILL_SIDECAR_CONCURRENCY_CONTROL_H_
#define MASTICRILL_SIDECAR_CONCURRENCY_CONTROL_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "masticrill/common/clock.h"
#include "masticrill/sidecar/attempt.h"
#include "masticrill/sidecar/cold_start_ramp.h"
#include "masticrill/sidecar/concurrency_limit.h"
#include "masticrill/sidecar/latency_baseline.h"

namespace masticrill::sidecar {

/// An attempt that was started and has not ended.
struct RunningAttempt {
  AttemptSpec spec;
  TimePoint started_at;
  /// Epoch of the cold-start ramp when the attempt started.
  std::uint64_t ramp_epoch = 0;
  /// Attempts in flight at the start, including this one.
  std::uint32_t in_flight = 0;
  bool confirmed = false;
  bool first_token_seen = false;
  bool counted_slow = false;
};

/// Limits the attempts in flight to the lower of the learned limit and the cold-start ramp's bound.
/// Updates both from the upstream's answers, by the latency baseline. Not thread-safe.
template <LimitPolicy Policy>
class ConcurrencyControl {
 public:
  ConcurrencyControl(const Policy& policy, const RampOptions& ramp_options,
                     const LatencyBaseline::Options& baseline_options, TimePoint now)
      : cold_ratio(ramp_options.cold_ratio),
        ramp(ramp_options, now),
        limit(policy, kInitialLimit),
        baseline(baseline_options) {}

  /// The current limit of attempts in flight.
  std::uint32_t EffectiveLimit() const { return std::min(this->limit.Limit(), this->ramp.Bound()); }
  bool Cold() const { return this->ramp.Cold(); }
  std::optional<WallTimeMs> EngineStart() const { return this->ramp.EngineStart(); }

  void SetMaximum(std::uint32_t maximum) { this->limit.SetMaximum(maximum); }
  void OnEngineStart(WallTimeMs start, TimePoint now) { this->ramp.OnEngineStart(start, now); }

  RunningAttempt OnStart(const AttemptSpec& spec, std::uint32_t in_flight, TimePoint now) const {
    RunningAttempt attempt;
    attempt.spec = spec;
    attempt.started_at = now;
    attempt.ramp_epoch = this->ramp.Epoch();
    attempt.in_flight = in_flight;
    return attempt;
  }

  /// `deadline_share` is the value of WaitEstimator::DeadlineShare for the attempt.
  void OnFirstToken(RunningAttempt& attempt, double deadline_share, TimePoint now) {
    if (attempt.first_token_seen) {
      return;
    }
    attempt.first_token_seen = true;
    const Duration latency = std::max(Duration(1), now - attempt.started_at);
    const LatencyKey key = LatencyKeyOf(attempt.spec);
    if (!attempt.counted_slow) {
      this->ramp.OnFirstToken(attempt.ramp_epoch,
                              Ratio(latency, this->baseline.Expected(key, attempt.in_flight)),
                              this->limit.Limit(), now);
    }
    if (this->ramp.Cold() || attempt.ramp_epoch != this->ramp.Epoch()) {
      return;
    }
    this->baseline.Observe(key, latency, attempt.in_flight, now);
    const double ratio = Ratio(latency, this->baseline.Minimum(key)).value_or(1);
    this->limit.OnSample({ratio, attempt.in_flight, attempt.started_at, deadline_share}, now);
  }

  /// Counts an attempt as slow, once, when it has waited for its first token for at least
  /// RampOptions::cold_ratio times the expected latency.
  void CheckSlow(RunningAttempt& attempt, TimePoint now) {
    if (attempt.first_token_seen || attempt.counted_slow) {
      return;
    }
    const std::optional<Duration> expected =
        this->baseline.Expected(LatencyKeyOf(attempt.spec), attempt.in_flight);
    if (!expected || now - attempt.started_at < *expected * this->cold_ratio) {
      return;
    }
    attempt.counted_slow = true;
    this->ramp.OnSlowFirstToken(attempt.ramp_epoch, now);
  }

  /// Records the end of an attempt. The answer of a plain service counts as its first token.
  void OnEnd(RunningAttempt& attempt, EngineOutcome outcome, double deadline_share, TimePoint now) {
    if (outcome == EngineOutcome::kOk) {
      this->OnFirstToken(attempt, deadline_share, now);
      return;
    }
    if (outcome == EngineOutcome::kOverloaded) {
      this->limit.OnOverload(attempt.started_at, now);
    }
    this->ramp.OnFailure(attempt.ramp_epoch, outcome, now);
  }

 private:
  static std::optional<double> Ratio(Duration latency, const std::optional<Duration>& reference) {
    if (!reference) {
      return std::nullopt;
    }
    return static_cast<double>(latency.count()) / static_cast<double>(reference->count());
  }

  double cold_ratio;
  ColdStartRamp ramp;
  ConcurrencyLimit<Policy> limit;
  LatencyBaseline baseline;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_CONCURRENCY_CONTROL_H_
