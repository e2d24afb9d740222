#include "control/fleet_view.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "control/parallel_calls.h"

namespace masticrill::control {
namespace {

constexpr Duration kReplyTimeout = seconds(1);

/// A request in flight to one control host.
struct PendingCall {
  std::shared_ptr<net::RpcClient> client;
  std::shared_ptr<net::Exchange> exchange;
};

/// The message of a frame; nothing for another frame or one that cannot be read.
template <typename Message>
std::optional<Message> ReadMessage(const net::FrameQueue::Next& next) {
  if (next.status != net::FrameQueue::Status::kFrame || next.frame.type != Message::kType) {
    return std::nullopt;
  }
  return HandleErrors(
      [&]() -> Result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, net::DecodePayload<Message>(next.frame.payload));
        return std::optional<Message>(std::move(message));
      },
      [](const Error&) { return std::optional<Message>(); });
}

}  // namespace

template <typename Request, typename Visitor>
void FleetView::AskAll(const Request& request, const Visitor& visit) {
  const TimePoint deadline = this->clock.Now() + kReplyTimeout;
  const auto left = [&] { return std::max(deadline - this->clock.Now(), Duration::zero()); };
  std::vector<PendingCall> calls;
  for (const NodeId& host : this->hosts.Members()) {
    if (std::shared_ptr<net::RpcClient> client = this->addresses.Client(host)) {
      calls.push_back({std::move(client), nullptr});
    }
  }
  // Sending to a connected host takes no time, while connecting to one that is down or stands still
  // takes long.
  const auto first_unconnected = std::stable_partition(
      calls.begin(), calls.end(),
      [](const PendingCall& call) { return call.client->Peer().has_value(); });
  const auto open = [&](PendingCall& call) {
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_ASSIGN(call.exchange, call.client->Open(request, left()));
          return true;
        },
        [](const Error&) { return false; });
  };
  std::for_each(calls.begin(), first_unconnected, open);
  CallInParallel(static_cast<std::size_t>(calls.end() - first_unconnected), [&](std::size_t index) {
    open(*(first_unconnected + static_cast<std::ptrdiff_t>(index)));
  });
  std::erase_if(calls, [](const PendingCall& call) { return call.exchange == nullptr; });
  for (const auto& [client, exchange] : calls) {
    visit(exchange->WaitNext(left()), *client);
    client->Finish(*exchange);
  }
}

std::vector<net::NodeReport> FleetView::CollectReports() {
  std::vector<net::NodeReport> reports;
  this->AskAll(net::FleetRequest{this->addresses.Credentials().self.node},
               [&](const net::FrameQueue::Next& next, const net::RpcClient&) {
                 if (const auto reply = ReadMessage<net::FleetReply>(next)) {
                   reports.insert(reports.end(), reply->nodes.begin(), reply->nodes.end());
                 }
               });
  const std::vector<net::NodeReport> own = this->nodes.Reports(this->clock.Now());
  reports.insert(reports.end(), own.begin(), own.end());
  return MergeReports(reports);
}

FeatureSurvey FleetView::AskFeature(const std::string& feature) {
  FeatureSurvey survey;
  this->AskAll(net::FeaturesRequest{this->addresses.Credentials().self.node},
               [&](const net::FrameQueue::Next& next, const net::RpcClient& host) {
                 const std::optional<net::Identity> peer = host.Peer();
                 if (!peer || next.status != net::FrameQueue::Status::kFrame) {
                   return;
                 }
                 const auto reply = ReadMessage<net::FeaturesReply>(next);
                 const bool knows =
                     reply && std::find(reply->features.begin(), reply->features.end(), feature) !=
                                  reply->features.end();
                 (knows ? survey.knowing : survey.not_knowing).insert(peer->node);
               });
  return survey;
}

EntryReports FleetView::CollectEntryReports() {
  EntryReports collected;
  std::vector<net::AgedEntryReport> reports;
  this->AskAll(net::EntryReportsRequest{this->addresses.Credentials().self.node},
               [&](const net::FrameQueue::Next& next, const net::RpcClient&) {
                 if (const auto reply = ReadMessage<net::EntryReportsReply>(next)) {
                   reports.insert(reports.end(), reply->reports.begin(), reply->reports.end());
                 }
                 collected.has_older_host |= ReadMessage<net::ErrorReply>(next).has_value();
               });
  const std::vector<net::AgedEntryReport> own = this->nodes.EntryReports(this->clock.Now());
  reports.insert(reports.end(), own.begin(), own.end());
  collected.reports = MergeReports(reports);
  return collected;
}

}  // namespace masticrill::control
