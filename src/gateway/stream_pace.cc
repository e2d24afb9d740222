#include "masticrill/gateway/stream_pace.h"

#include <cmath>

namespace masticrill::gateway {
namespace {

/// The weight of the newest stream in the means, which then cover the last few dozen streams.
constexpr double kNewestWeight = 0.05;
/// Nearly all streams stay within this many mean deviations of the mean.
constexpr double kSpreadFactor = 3;

}  // namespace

void StreamPace::Add(const ServiceId& service, std::uint64_t events, Duration duration) {
  if (events < 2) {
    return;
  }
  const std::chrono::duration<double> in_seconds = duration;
  const double sample = in_seconds.count() / static_cast<double>(events - 1);
  const std::scoped_lock lock(this->mutex);
  const auto [iterator, added] =
      this->paces.try_emplace(service, Pace{sample, sample / 2, this->clock.Now() - duration});
  if (!added) {
    Pace& pace = iterator->second;
    pace.mean_deviation_s +=
        kNewestWeight * (std::abs(sample - pace.mean_s) - pace.mean_deviation_s);
    pace.mean_s += kNewestWeight * (sample - pace.mean_s);
  }
}

Duration StreamPace::EstimateMaxDuration(const ServiceId& service, std::uint64_t events) const {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->paces.find(service);
  if (found == this->paces.end()) {
    return Duration::zero();
  }
  const double per_event = found->second.mean_s + kSpreadFactor * found->second.mean_deviation_s;
  return duration_cast<Duration>(
      std::chrono::duration<double>(per_event * static_cast<double>(events)));
}

bool StreamPace::Covers(const ServiceId& service, Duration span) const {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->paces.find(service);
  return found != this->paces.end() && this->clock.Now() - found->second.since >= span;
}

}  // namespace masticrill::gateway
