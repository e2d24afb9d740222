#include "control/node_registry.h"

#include <algorithm>
#include <functional>

#include "masticrill/config/lease.h"

namespace masticrill::control {
namespace {

constexpr Duration kForgetAfter = std::chrono::hours(1);

Duration AgeOf(const net::NodeReport& report) { return milliseconds(report.age_ms); }

/// Whether the left start is the later one of the same node.
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
  shard.nodes.insert_or_assign(NodeStart{request.node, request.incarnation}, Seen{request, now});
}

std::vector<net::NodeReport> NodeRegistry::Reports(TimePoint now) {
  std::vector<net::NodeReport> reports;
  for (Shard& shard : this->shards) {
    const std::scoped_lock lock(shard.mutex);
    std::erase_if(shard.nodes,
                  [&](const auto& entry) { return now - entry.second.at > kForgetAfter; });
    for (const auto& [start, seen] : shard.nodes) {
      reports.push_back({.node = start.node,
                         .role = seen.request.role,
                         .incarnation = start.incarnation,
                         .started_at_ms = seen.request.started_at_ms,
                         .address = seen.request.address,
                         .known_number = seen.request.known_number,
                         .age_ms = duration_cast<milliseconds>(now - seen.at).count(),
                         .control_host = this->control_host,
                         .rollouts = seen.request.rollouts,
                         .load_address = seen.request.load_address});
    }
  }
  return reports;
}

std::vector<net::NodeReport> MergeReports(const std::vector<net::NodeReport>& reports) {
  std::map<NodeStart, net::NodeReport> merged;
  for (const net::NodeReport& report : reports) {
    const auto [place, added] = merged.try_emplace({report.node, report.incarnation}, report);
    if (!added && report.age_ms < place->second.age_ms) {
      place->second = report;
    }
  }
  std::vector<net::NodeReport> result;
  for (const auto& [start, report] : merged) {
    result.push_back(report);
  }
  return result;
}

std::vector<net::NodeReport> LatestStarts(const std::vector<net::NodeReport>& reports) {
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

std::vector<NodeStart> FindLostEntries(const std::vector<net::NodeReport>& reports,
                                       Duration silence) {
  std::map<NodeId, net::NodeReport> latest;
  for (const net::NodeReport& report : LatestStarts(reports)) {
    latest.emplace(report.node, report);
  }
  std::vector<NodeStart> lost;
  for (const net::NodeReport& report : reports) {
    if (report.role != net::NodeRole::kEntry) {
      continue;
    }
    const bool replaced = latest.at(report.node).incarnation != report.incarnation &&
                          AgeOf(report) > config::kLeaseLength;
    if (replaced || AgeOf(report) > silence) {
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
