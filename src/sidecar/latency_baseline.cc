#include "masticrill/sidecar/latency_baseline.h"

#include <algorithm>

#include "masticrill/common/hash.h"

namespace masticrill::sidecar {
namespace {

/// Weight of a sample in the mean latency.
constexpr double kMeanSampleWeight = 0.05;

/// Upper bound of the sample count; the weight of a sample is constant long before it is reached.
constexpr std::uint32_t kMaxCountedSamples = 1'000'000;
/// Least difference in attempts in flight between the minimum and the mean for a line through both.
constexpr double kMinInFlightSpan = 1;

}  // namespace

LatencyKey LatencyKeyOf(const AttemptSpec& spec) {
  std::uint64_t key = static_cast<std::uint64_t>(spec.request_class);
  if (spec.version) {
    key = Hash64(spec.version->model.Value(), key);
    return Hash64(spec.version->version.Value(), key);
  }
  return Hash64(spec.service ? spec.service->Value() : "", key);
}

const LatencyBaseline::Point& LatencyBaseline::MinimumOf(const Entry& entry) {
  const bool current = entry.current_minimum.latency <= entry.previous_minimum.latency;
  return current ? entry.current_minimum : entry.previous_minimum;
}

void LatencyBaseline::Observe(LatencyKey key, Duration latency, std::uint32_t in_flight,
                              TimePoint now) {
  auto it = this->entries.find(key);
  if (it == this->entries.end()) {
    if (this->entries.size() >= this->options.max_keys) {
      return;
    }
    it = this->entries.emplace(key, Entry{}).first;
    it->second.window_start = now;
  }
  Entry& entry = it->second;
  if (now - entry.window_start >= this->options.window) {
    entry.previous_minimum = entry.current_minimum;
    entry.current_minimum = Point{};
    entry.window_start = now;
  }
  if (latency < entry.current_minimum.latency) {
    entry.current_minimum = {latency, in_flight};
  }
  // Few samples get an arithmetic mean, so that the first one is not overweighted.
  entry.samples = std::min(entry.samples + 1, kMaxCountedSamples);
  const double weight = std::max(kMeanSampleWeight, 1.0 / entry.samples);
  entry.mean_ns += weight * (static_cast<double>(latency.count()) - entry.mean_ns);
  entry.mean_in_flight += weight * (in_flight - entry.mean_in_flight);
}

std::optional<Duration> LatencyBaseline::Minimum(LatencyKey key) const {
  if (const auto it = this->entries.find(key); it != this->entries.end()) {
    return MinimumOf(it->second).latency;
  }
  return std::nullopt;
}

std::optional<Duration> LatencyBaseline::Expected(LatencyKey key, std::uint32_t in_flight) const {
  const auto it = this->entries.find(key);
  if (it == this->entries.end() || it->second.samples < this->options.min_samples) {
    return std::nullopt;
  }
  const Entry& entry = it->second;
  const Point& minimum = MinimumOf(entry);
  const double low = static_cast<double>(minimum.latency.count());
  const double span = entry.mean_in_flight - minimum.in_flight;
  if (span < kMinInFlightSpan) {
    return Duration(static_cast<Duration::rep>(std::max(low, entry.mean_ns)));
  }
  const double slope = std::max(0.0, (entry.mean_ns - low) / span);
  const double above = std::max(0.0, static_cast<double>(in_flight) - minimum.in_flight);
  return Duration(static_cast<Duration::rep>(low + slope * above));
}

}  // namespace masticrill::sidecar
