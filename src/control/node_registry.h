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

/// One incarnation of one node.
struct NodeIncarnation {
  NodeId node;
  IncarnationId incarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NodeIncarnation&, const NodeIncarnation&) = default;
};

/// The nodes that ask this control host for leases. Safe for several threads: nodes are kept in
/// shards, each under its own lock.
class NodeRegistry {
 public:
  explicit NodeRegistry(NodeId control_host) : control_host(std::move(control_host)) {}

  void Record(const net::LeaseRequest& request, TimePoint now);
  /// What is known of each incarnation of each node. Forgets those that were silent for an hour.
  std::vector<net::NodeReport> Reports(TimePoint now);

 private:
  static constexpr std::size_t kShardCount = 16;
  struct LastRequest {
    net::LeaseRequest request;
    TimePoint received_at;
  };
  struct Shard {
    std::mutex mutex;
    std::map<NodeIncarnation, LastRequest> nodes;
  };

  NodeId control_host;
  std::array<Shard, kShardCount> shards;
};

/// Joins the reports of several control hosts: one for each incarnation, the youngest.
std::vector<net::NodeReport> MergeReports(const std::vector<net::NodeReport>& reports);

/// The latest incarnation of each node.
std::vector<net::NodeReport> LatestIncarnations(const std::vector<net::NodeReport>& reports);

/// The starts of entries that have ended: a later incarnation of the same node asks for leases and
/// this one no longer holds one, or it was silent for `timeout`.
std::vector<NodeIncarnation> FindLostEntries(const std::vector<net::NodeReport>& reports,
                                             Duration timeout);

/// The least number in force at the nodes that may hold a lease; `current` when none does.
std::uint64_t NumberInForceEverywhere(const std::vector<net::NodeReport>& reports,
                                      std::uint64_t current);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_NODE_REGISTRY_H_
