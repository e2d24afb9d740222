#ifndef MASTICRILL_CONTROL_NODE_REGISTRY_H_
#define MASTICRILL_CONTROL_NODE_REGISTRY_H_

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {

/// One run of the process of a node.
struct NodeIncarnation {
  NodeId node;
  IncarnationId incarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NodeIncarnation&, const NodeIncarnation&) = default;
};

/// How much of the reports of nodes another control host gets.
enum class ReportDetail {
  kWhole,
  kWithoutRollouts,  // Without the evidence on roll-outs, most of a report, which leaders judge.
};

/// The nodes that request leases from this control host. Thread-safe: nodes are kept in shards,
/// each under its own lock.
class NodeRegistry {
 public:
  explicit NodeRegistry(NodeId control_host) : control_host(std::move(control_host)) {}

  void Record(const net::LeaseRequest& request, TimePoint now);
  void RecordReport(const net::EntryReport& report, TimePoint now);
  /// One report for each incarnation of each node. Drops those without a request for kRetention.
  std::vector<net::NodeReport> Reports(TimePoint now, ReportDetail detail = ReportDetail::kWhole);
  /// The last report of each incarnation of an entry. Drops those older than kReportRetention.
  std::vector<net::AgedEntryReport> EntryReports(TimePoint now,
                                                 ReportDetail detail = ReportDetail::kWhole);

 private:
  static constexpr std::size_t kShardCount = 16;
  struct LastRequest {
    net::LeaseRequest request;
    TimePoint received_at;
  };
  struct LastReport {
    net::EntryReport report;
    TimePoint received_at;
  };
  struct Shard {
    std::mutex mutex;
    std::map<NodeIncarnation, LastRequest> nodes;
    std::map<NodeIncarnation, LastReport> reports;
  };

  NodeId control_host;
  std::array<Shard, kShardCount> shards;
};

/// Merges the reports of several control hosts; keeps the most recent one for each incarnation.
std::vector<net::NodeReport> MergeReports(const std::vector<net::NodeReport>& reports);
std::vector<net::AgedEntryReport> MergeReports(const std::vector<net::AgedEntryReport>& reports);

/// The latest incarnation of each node.
std::vector<net::NodeReport> LatestIncarnations(const std::vector<net::NodeReport>& reports);

/// The incarnations of entries that are lost: either a later incarnation of the same node is known
/// and the lease of the earlier one has expired, or the incarnation has requested no lease for
/// longer than `timeout`.
std::vector<NodeIncarnation> FindLostEntries(const std::vector<net::NodeReport>& reports,
                                             Duration timeout);

/// The lowest configuration number in force at the nodes that may hold a lease; `current` when no
/// node may hold one.
std::uint64_t NumberInForceEverywhere(const std::vector<net::NodeReport>& reports,
                                      std::uint64_t current);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_NODE_REGISTRY_H_
