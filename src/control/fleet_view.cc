#include "control/fleet_view.h"

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
  std::vector<PendingCall> calls;
  const NodeId self = this->addresses.Credentials().self.node;
  for (const PeerAddress& peer : this->addresses.All()) {
    const std::shared_ptr<net::RpcClient> client = this->addresses.Client(peer.node);
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(exchange, client->Open(net::FleetRequest{self}));
          calls.push_back({client, exchange});
          return true;
        },
        [](const Error&) { return false; });
  }
  std::vector<net::NodeReport> reports = this->nodes.Reports(this->clock.Now());
  const TimePoint deadline = this->clock.Now() + kReplyTimeout;
  for (const auto& [client, exchange] : calls) {
    const Duration left = std::max(deadline - this->clock.Now(), Duration::zero());
    const std::vector<net::NodeReport> remote = ReadReply(exchange->WaitNext(left));
    client->Finish(*exchange);
    reports.insert(reports.end(), remote.begin(), remote.end());
  }
  return MergeReports(reports);
}

}  // namespace masticrill::control
