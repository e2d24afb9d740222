#ifndef MASTICRILL_SIDECAR_CONCURRENCY_LIMIT_H_
#define MASTICRILL_SIDECAR_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <concepts>
#include <cstdint>

#include "masticrill/common/clock.h"

namespace masticrill::sidecar {

/// Measurement of one first token, or of one answer of a plain service.
struct LimitSample {
  /// First-token latency divided by the long-term minimum of its LatencyKey; 1 or more.
  double latency_ratio = 1;
  /// Attempts in flight when the attempt was started, including itself.
  std::uint32_t in_flight = 1;
  TimePoint started_at;
  /// Service time of such attempts divided by the time from their arrival to their deadlines.
  double deadline_share = 0;

  friend bool operator==(const LimitSample&, const LimitSample&) = default;
};

/// Adjusts the limit of attempts in flight to what the upstream sustains. The returned limit may be
/// outside the configured bounds.
template <typename P>
concept LimitPolicy = requires(P& policy, const LimitSample& sample, double limit, TimePoint now) {
  { policy.Adjust(limit, sample, now) } -> std::same_as<double>;
  { policy.AfterOverload(limit) } -> std::same_as<double>;
};

/// Additive increase on good samples, multiplicative decrease on a slow one.
class AimdPolicy {
 public:
  struct Options {
    /// LimitSample::latency_ratio above which the upstream counts as overloaded.
    double slow_ratio = 3;
    /// LimitSample::deadline_share above which tight_deadline_slow_ratio replaces slow_ratio, so
    /// that enough time is left for fair queueing.
    double tight_deadline_share = 0.6;
    double tight_deadline_slow_ratio = 2;
    double decrease = 0.9;
    double overload_decrease = 0.5;

    friend bool operator==(const Options&, const Options&) = default;
  };

  AimdPolicy() = default;
  explicit AimdPolicy(const Options& options) : options(options) {}

  double Adjust(double limit, const LimitSample& sample, TimePoint now);
  double AfterOverload(double limit) const { return limit * this->options.overload_decrease; }

 private:
  Options options;
  TimePoint last_decrease{};
};

/// Scales the limit by the ratio of tolerated to recent latency, plus a step to try a higher one.
class GradientPolicy {
 public:
  struct Options {
    /// LimitSample::latency_ratio that indicates full utilization rather than overload.
    double tolerance = 3;
    /// Weight of a sample in the recent latency.
    double smoothing = 0.1;
    double overload_decrease = 0.5;

    friend bool operator==(const Options&, const Options&) = default;
  };

  GradientPolicy() = default;
  explicit GradientPolicy(const Options& options) : options(options) {}

  double Adjust(double limit, const LimitSample& sample, TimePoint now);
  double AfterOverload(double limit);

 private:
  Options options;
  double recent_ratio = 1;
};

/// The limit from which learning starts.
inline constexpr std::uint32_t kInitialLimit = 4;

/// The learned limit of attempts in flight, never below 1 and never above the configured maximum.
/// Not thread-safe.
template <LimitPolicy Policy>
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Policy& policy, std::uint32_t maximum)
      : policy(policy), maximum(std::max(1U, maximum)) {
    this->Set(kInitialLimit);
  }

  std::uint32_t Limit() const { return static_cast<std::uint32_t>(this->limit); }

  void SetMaximum(std::uint32_t new_maximum) {
    this->maximum = std::max(1U, new_maximum);
    this->Set(this->limit);
  }

  void OnSample(const LimitSample& sample, TimePoint now) {
    this->Set(this->policy.Adjust(this->limit, sample, now));
  }

  /// Lowers the limit immediately, but not again for attempts started before the last overload.
  void OnOverload(TimePoint started_at, TimePoint now) {
    if (started_at < this->last_overload) {
      return;
    }
    this->last_overload = now;
    this->Set(this->policy.AfterOverload(this->limit));
  }

 private:
  void Set(double value) {
    this->limit = std::clamp(value, 1.0, static_cast<double>(this->maximum));
  }

  Policy policy;
  std::uint32_t maximum;
  double limit = 1;
  TimePoint last_overload{};
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_CONCURRENCY_LIMIT_H_
