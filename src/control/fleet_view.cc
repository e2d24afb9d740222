#include "control/fleet_view.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace masticrill::control {
namespace {

constexpr Duration kReplyTimeout = seconds(1);

/// A request in flight to one control host.
struct PendingCall {
  std::shared_ptr<net::RpcClient> client;
  std::shared_ptr<net::Exchange> exchange;
};

std::vector<net::NodeReport> ReadReply(const net::FrameQueue::Next& next) {
  if (next.status != net::FrameQueue::Status::kFrame || next.frame.type != net::FleetReply::kType) {
    return {};
  }
  return HandleErrors(
      [&]() -> Result<std::vector<net::NodeReport>> {
        BOOST_LEAF_AUTO(reply, net::DecodePayload<net::FleetReply>(next.frame.payload));
        return std::move(reply.nodes);
      },
      [](const Error&) { return std::vector<net::NodeReport>(); });
}

}  // namespace

std::vector<net::NodeReport> FleetView::CollectReports() {
  const TimePoint deadline = this->clock.Now() + kReplyTimeout;
  const auto left = [&] { return std::max(deadline - this->clock.Now(), Duration::zero()); };
  std::vector<std::shared_ptr<net::RpcClient>> clients;
  for (const PeerAddress& peer : this->addresses.All()) {
    clients.push_back(this->addresses.Client(peer.node));
  }
  // Connecting to a host that is down takes long. Each of the others is connected in its turn.
  if (!clients.empty()) {
    const std::size_t first = this->rounds++ % clients.size();
    std::rotate(clients.begin(), clients.begin() + static_cast<std::ptrdiff_t>(first),
                clients.end());
  }
  std::stable_partition(clients.begin(), clients.end(),
                        [](const auto& client) { return client->Peer().has_value(); });
  const NodeId self = this->addresses.Credentials().self.node;
  std::vector<PendingCall> calls;
  for (const std::shared_ptr<net::RpcClient>& client : clients) {
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(exchange, client->Open(net::FleetRequest{self}, left()));
          calls.push_back({client, exchange});
          return true;
        },
        [](const Error&) { return false; });
  }
  std::vector<net::NodeReport> reports = this->nodes.Reports(this->clock.Now());
  for (const auto& [client, exchange] : calls) {
    const std::vector<net::NodeReport> remote = ReadReply(exchange->WaitNext(left()));
    client->Finish(*exchange);
    reports.insert(reports.end(), remote.begin(), remote.end());
  }
  reports = MergeReports(reports);
  const std::scoped_lock lock(this->mutex);
  this->latest = reports;
  return reports;
}

std::vector<net::NodeReport> FleetView::LatestReports() {
  std::vector<net::NodeReport> reports = this->nodes.Reports(this->clock.Now());
  const std::scoped_lock lock(this->mutex);
  reports.insert(reports.end(), this->latest.begin(), this->latest.end());
  return reports;
}

}  // namespace masticrill::control
