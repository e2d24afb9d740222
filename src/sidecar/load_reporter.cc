#include "sidecar/load_reporter.h"

#include <algorithm>
#include <cmath>

namespace masticrill::sidecar {

bool LoadReporter::Due(const net::LoadReport& load, TimePoint now) {
  const bool first = !this->last.has_value();
  const Duration since = now - this->last_sent;
  const bool due = first || this->NeedsImmediateReport(load) ||
                   since >= this->options.repeat_interval ||
                   (since >= this->options.min_interval && this->ExceedsChangeThreshold(load));
  if (due) {
    this->last = load;
    this->last_sent = now;
  }
  return due;
}

bool LoadReporter::NeedsImmediateReport(const net::LoadReport& load) const {
  return load.cold != this->last->cold || (load.limit == 0) != (this->last->limit == 0) ||
         load.incarnation != this->last->incarnation;
}

bool LoadReporter::ExceedsChangeThreshold(const net::LoadReport& load) const {
  const auto difference = [](std::uint32_t left, std::uint32_t right) {
    return std::abs(static_cast<double>(left) - static_cast<double>(right));
  };
  const double threshold = this->options.min_change_share * std::max<double>(1, this->last->limit);
  return difference(load.in_flight + load.queued, this->last->in_flight + this->last->queued) >=
             threshold ||
         difference(load.limit, this->last->limit) >= threshold;
}

}  // namespace masticrill::sidecar
