#include "control/node_activity_tracker.h"

namespace masticrill::control {
namespace {

constexpr Duration kRetention = std::chrono::hours(1);

}  // namespace

void NodeActivityTracker::Observe(const std::vector<net::NodeReport>& reports, TimePoint now) {
  if (!this->observed_since) {
    this->observed_since = now;
  }
  for (const net::NodeReport& report : reports) {
    const TimePoint requested_at = now - milliseconds(report.age_ms);
    const auto [place, added] = this->incarnations.try_emplace({report.node, report.incarnation},
                                                               LastReport{report, requested_at});
    if (!added && requested_at > place->second.requested_at) {
      place->second = {report, requested_at};
    }
  }
  std::erase_if(this->incarnations,
                [&](const auto& entry) { return now - entry.second.requested_at > kRetention; });
}

void NodeActivityTracker::Clear() {
  this->observed_since.reset();
  this->incarnations.clear();
}

std::vector<NodeIncarnation> NodeActivityTracker::LostEntries(Duration timeout,
                                                              TimePoint now) const {
  std::vector<net::NodeReport> reports;
  for (const auto& [incarnation, last] : this->incarnations) {
    reports.push_back(last.report);
    reports.back().age_ms = duration_cast<milliseconds>(now - last.requested_at).count();
  }
  const bool observed = this->observed_since && now - *this->observed_since >= timeout;
  return FindLostEntries(reports, observed ? timeout : kRetention);
}

}  // namespace masticrill::control
