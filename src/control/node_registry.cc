#include "control/node_registry.h"

#include <algorithm>
#include <functional>

#include "masticrill/config/lease.h"

namespace masticrill::control {
namespace {

constexpr Duration kRetention = std::chrono::hours(1);
/// The evidence of an entry that is gone is of use for about a minute.
constexpr Duration kReportRetention = seconds(60);

Duration AgeOf(const net::NodeReport& report) { return milliseconds(report.age_ms); }

/// Whether `left` started later; with equal start times, whether its last request was later.
bool StartedLater(const net::NodeReport& left, const net::NodeReport& right) {
  if (left.started_at_ms != right.started_at_ms) {
    return left.started_at_ms > right.started_at_ms;
  }
  return left.age_ms < right.age_ms;
}

}  // namespace

void NodeRegistry::Record(const net::LeaseRequest& request, TimePoint now) {
  Shard& shard = this->shards.at(std::hash<NodeId>{}(request.node) % kShardCount);
  const std::scoped_lock lock(shard.mutex);
  shard.nodes.insert_or_assign(NodeIncarnation{request.node, request.incarnation},
                               LastRequest{request, now});
}

std::vector<net::NodeReport> NodeRegistry::Reports(TimePoint now, ReportDetail detail) {
  std::vector<net::NodeReport> reports;
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.mutex);
    std::erase_if(shard.nodes,
                  [&](const auto& entry) { return now - entry.second.received_at > kRetention; });
    for (const auto& [incarnation, last] : shard.nodes) {
      reports.push_back({.node = incarnation.node,
                         .role = last.request.role,
                         .incarnation = incarnation.incarnation,
                         .started_at_ms = last.request.started_at_ms,
                         .address = last.request.address,
                         .known_number = last.request.known_number,
                         .age_ms = duration_cast<milliseconds>(now - last.received_at).count(),
                         .control_host = this->control_host,
                         .rollouts = detail == ReportDetail::kWhole
                                         ? last.request.rollouts
                                         : std::vector<net::RolloutReport>(),
                         .load_address = last.request.load_address});
    }
  }
  return reports;
}

void NodeRegistry::RecordReport(const net::EntryReport& report, TimePoint now) {
  Shard& shard = this->shards.at(std::hash<NodeId>{}(report.node) % kShardCount);
  const std::scoped_lock lock(shard.mutex);
  shard.reports.insert_or_assign(NodeIncarnation{report.node, report.incarnation},
                                 LastReport{report, now});
}

std::vector<net::AgedEntryReport> NodeRegistry::EntryReports(TimePoint now, ReportDetail detail) {
  std::vector<net::AgedEntryReport> reports;
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.mutex);
    std::erase_if(shard.reports, [&](const auto& entry) {
      return now - entry.second.received_at > kReportRetention;
    });
    for (const auto& [incarnation, last] : shard.reports) {
      reports.push_back({last.report, duration_cast<milliseconds>(now - last.received_at).count()});
      if (detail == ReportDetail::kWithoutRollouts) {
        reports.back().report.waits.clear();
      }
    }
  }
  return reports;
}

std::vector<net::AgedEntryReport> MergeReports(const std::vector<net::AgedEntryReport>& reports) {
  std::map<NodeIncarnation, net::AgedEntryReport> merged;
  for (const net::AgedEntryReport& aged : reports) {
    const auto [place, added] =
        merged.try_emplace({aged.report.node, aged.report.incarnation}, aged);
    if (!added && aged.age_ms < place->second.age_ms) {
      place->second = aged;
    }
  }
  std::vector<net::AgedEntryReport> result;
  for (const auto& [incarnation, aged] : merged) {
    result.push_back(aged);
  }
  return result;
}

std::vector<net::NodeReport> MergeReports(const std::vector<net::NodeReport>& reports) {
  std::map<NodeIncarnation, net::NodeReport> merged;
  for (const net::NodeReport& report : reports) {
    const auto [place, added] = merged.try_emplace({report.node, report.incarnation}, report);
    if (!added && report.age_ms < place->second.age_ms) {
      place->second = report;
    }
  }
  std::vector<net::NodeReport> result;
  for (const auto& [incarnation, report] : merged) {
    result.push_back(report);
  }
  return result;
}

std::vector<net::NodeReport> LatestIncarnations(const std::vector<net::NodeReport>& reports) {
  std::map<NodeId, net::NodeReport> latest;
  for (const net::NodeReport& report : reports) {
    const auto [place, added] = latest.try_emplace(report.node, report);
    if (!added && StartedLater(report, place->second)) {
      place->second = report;
    }
  }
  std::vector<net::NodeReport> result;
  for (const auto& [node, report] : latest) {
    result.push_back(report);
  }
  return result;
}

std::vector<NodeIncarnation> FindLostEntries(const std::vector<net::NodeReport>& reports,
                                             Duration timeout) {
  std::map<NodeId, net::NodeReport> latest;
  for (const net::NodeReport& report : LatestIncarnations(reports)) {
    latest.emplace(report.node, report);
  }
  std::vector<NodeIncarnation> lost;
  for (const net::NodeReport& report : reports) {
    if (report.role != net::NodeRole::kEntry) {
      continue;
    }
    const bool replaced = latest.at(report.node).incarnation != report.incarnation &&
                          AgeOf(report) > config::kLeaseLength;
    if (replaced || AgeOf(report) > timeout) {
      lost.push_back({report.node, report.incarnation});
    }
  }
  return lost;
}

std::uint64_t NumberInForceEverywhere(const std::vector<net::NodeReport>& reports,
                                      std::uint64_t current) {
  std::uint64_t number = current;
  for (const net::NodeReport& report : reports) {
    if (AgeOf(report) <= config::kLeaseLength) {
      number = std::min(number, report.known_number);
    }
  }
  return number;
}

}  // namespace masticrill::control
