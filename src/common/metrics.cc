#include "masticrill/common/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>
#include <thread>

namespace masticrill {
namespace {

namespace accumulators = boost::accumulators;

using DurationStatistics = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                accumulators::tag::extended_p_square_quantile>>;

constexpr std::array kProbabilities = {0.5, 0.95, 0.99};

std::string FormatNumber(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

}  // namespace

struct LatencySummary::Shard {
  mutable std::mutex mutex;
  DurationStatistics statistics{accumulators::extended_p_square_probabilities = kProbabilities};
};

LatencySummary::LatencySummary() {
  for (std::unique_ptr<Shard>& shard : this->shards) {
    shard = std::make_unique<Shard>();
  }
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::Record(Duration duration) {
  const double value_seconds = std::chrono::duration<double>(duration).count();
  const std::size_t thread_hash = std::hash<std::thread::id>{}(std::this_thread::get_id());
  Shard& shard = *this->shards.at(thread_hash % kShardCount);
  const std::lock_guard lock(shard.mutex);
  shard.statistics(value_seconds);
}

LatencySummary::Quantiles LatencySummary::Read() const {
  // Shards see random parts of one population, so the mean of their quantiles, weighted by count,
  // estimates the quantile of the whole.
  Quantiles all;
  for (const std::unique_ptr<Shard>& shard : this->shards) {
    const std::lock_guard lock(shard->mutex);
    const auto count = accumulators::count(shard->statistics);
    if (count == 0) {
      continue;
    }
    const auto weight = static_cast<double>(count);
    const auto quantile = [&](double probability) {
      return accumulators::quantile(shard->statistics,
                                    accumulators::quantile_probability = probability);
    };
    all.count += count;
    all.sum_seconds += accumulators::sum(shard->statistics);
    all.p50_seconds += weight * quantile(0.5);
    all.p95_seconds += weight * quantile(0.95);
    all.p99_seconds += weight * quantile(0.99);
  }
  if (all.count > 0) {
    const auto total = static_cast<double>(all.count);
    all.p50_seconds /= total;
    all.p95_seconds /= total;
    all.p99_seconds /= total;
  }
  return all;
}

void MetricsWriter::Header(std::string_view name, std::string_view help, std::string_view type) {
  this->text += "# HELP " + std::string(name) + " " + std::string(help) + "\n";
  this->text += "# TYPE " + std::string(name) + " " + std::string(type) + "\n";
}

void MetricsWriter::Labelled(std::string_view name, std::string_view label,
                             std::string_view label_value, double value) {
  this->text += std::string(name) + "{" + std::string(label) + "=\"" + std::string(label_value) +
                "\"} " + FormatNumber(value) + "\n";
}

void MetricsWriter::Counter(std::string_view name, std::string_view help, std::uint64_t value) {
  this->Header(name, help, "counter");
  this->text += std::string(name) + " " + std::to_string(value) + "\n";
}

void MetricsWriter::Gauge(std::string_view name, std::string_view help, double value) {
  this->Header(name, help, "gauge");
  this->text += std::string(name) + " " + FormatNumber(value) + "\n";
}

void MetricsWriter::Summary(std::string_view name, std::string_view help,
                            const LatencySummary& summary) {
  const LatencySummary::Quantiles quantiles = summary.Read();
  this->Header(name, help, "summary");
  this->Labelled(name, "quantile", "0.5", quantiles.p50_seconds);
  this->Labelled(name, "quantile", "0.95", quantiles.p95_seconds);
  this->Labelled(name, "quantile", "0.99", quantiles.p99_seconds);
  this->text += std::string(name) + "_sum " + FormatNumber(quantiles.sum_seconds) + "\n";
  this->text += std::string(name) + "_count " + std::to_string(quantiles.count) + "\n";
}

}  // namespace masticrill
