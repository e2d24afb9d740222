#ifndef MASTICRILL_COMMON_METRICS_H_
#define MASTICRILL_COMMON_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"

namespace masticrill {

/// One counter for each value of an enumeration whose list of values is given.
template <typename Enum, std::size_t kCount>
class EnumCounter {
 public:
  explicit EnumCounter(const std::array<Enum, kCount>& values) : values(values) {}

  void Add(Enum value, std::uint64_t amount = 1) {
    this->counts.at(static_cast<std::size_t>(value)).fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Get(Enum value) const {
    return this->counts.at(static_cast<std::size_t>(value)).load(std::memory_order_relaxed);
  }
  const std::array<Enum, kCount>& Values() const { return this->values; }

 private:
  std::array<Enum, kCount> values;
  std::array<std::atomic<std::uint64_t>, kCount> counts{};
};

/// Estimates quantiles of durations without keeping them. Safe for use by several threads.
class LatencySummary {
 public:
  struct Quantiles {
    std::uint64_t count = 0;
    double sum_seconds = 0;
    double p50_seconds = 0;
    double p95_seconds = 0;
    double p99_seconds = 0;
  };

  LatencySummary();
  ~LatencySummary();
  LatencySummary(const LatencySummary&) = delete;
  LatencySummary& operator=(const LatencySummary&) = delete;

  void Record(Duration duration);
  Quantiles Read() const;

 private:
  struct Shard;
  static constexpr std::size_t kShardCount = 8;
  std::array<std::unique_ptr<Shard>, kShardCount> shards;
};

/// Writes metrics in the Prometheus text form.
class MetricsWriter {
 public:
  void Counter(std::string_view name, std::string_view help, std::uint64_t value);
  void Gauge(std::string_view name, std::string_view help, double value);
  void Summary(std::string_view name, std::string_view help, const LatencySummary& summary);

  /// A line per value of the enumeration, labelled with its name.
  template <typename Enum, std::size_t kCount>
  void EnumCounters(std::string_view name, std::string_view help, std::string_view label,
                    const EnumCounter<Enum, kCount>& counter) {
    this->Header(name, help, "counter");
    for (const Enum value : counter.Values()) {
      this->Labelled(name, label, ToString(value), static_cast<double>(counter.Get(value)));
    }
  }

  void Header(std::string_view name, std::string_view help, std::string_view type);
  void Labelled(std::string_view name, std::string_view label, std::string_view label_value,
                double value);

  const std::string& Text() const { return this->text; }

 private:
  std::string text;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_METRICS_H_
