#ifndef MASTICRILL_SIDECAR_LATENCY_BASELINE_H_
#define MASTICRILL_SIDECAR_LATENCY_BASELINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "masticrill/common/clock.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

/// Identifies attempts with comparable first-token latencies: one version or service and one class.
using LatencyKey = std::uint64_t;

LatencyKey LatencyKeyOf(const AttemptSpec& spec);

/// Tracks, for each LatencyKey, the long-term minimum and the mean first-token latency of the warm
/// upstream. Not thread-safe.
class LatencyBaseline {
 public:
  struct Options {
    /// The minimum is taken over the current window and the previous one.
    Duration window = std::chrono::minutes(5);
    /// Maximum number of keys that are tracked; further ones have no baseline.
    std::size_t max_keys = 64;
    /// Number of samples after which the expected latency is known.
    std::uint32_t min_samples = 8;

    friend bool operator==(const Options&, const Options&) = default;
  };

  LatencyBaseline() = default;
  explicit LatencyBaseline(const Options& options) : options(options) {}

  /// Adds a first-token latency of the warm upstream, measured with `in_flight` attempts in flight.
  void Observe(LatencyKey key, Duration latency, std::uint32_t in_flight, TimePoint now);

  /// The lowest latency in the current window and the previous one.
  std::optional<Duration> Minimum(LatencyKey key) const;
  /// The expected latency of the warm upstream with `in_flight` attempts in flight; empty until
  /// min_samples are known. It lies on the line through the minimum and the mean, each at its
  /// concurrency; if the mean's concurrency is not clearly higher, it is the larger of the two.
  std::optional<Duration> Expected(LatencyKey key, std::uint32_t in_flight) const;

 private:
  struct Point {
    Duration latency = Duration::max();
    std::uint32_t in_flight = 1;
  };
  struct Entry {
    Point current_minimum;
    Point previous_minimum;
    TimePoint window_start;
    double mean_ns = 0;
    double mean_in_flight = 1;
    std::uint32_t samples = 0;
  };

  static const Point& MinimumOf(const Entry& entry);

  Options options;
  std::unordered_map<LatencyKey, Entry> entries;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_LATENCY_BASELINE_H_
