#include "entry/sidecar_links.h"

#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
constexpr milliseconds kWait{100};
constexpr milliseconds kSubscribeRetry{1000};
constexpr milliseconds kIncarnationTimeout{500};

routing::LoadReport ToRoutingLoad(const net::LoadReport& load) {
  routing::LoadReport report;
  report.upstream = load.upstream;
  report.incarnation = load.started_at_ms;
  report.sequence = load.sequence;
  report.in_flight = load.in_flight;
  report.queued = load.queued;
  report.limit = load.limit;
  report.cold = load.cold;
  return report;
}

}  // namespace

SidecarLinks::SidecarLinks(const net::Credentials& credentials, routing::UpstreamTable& table)
    : credentials(credentials), table(table), reports(std::make_shared<net::FrameQueue>()) {
  this->thread = std::thread([this] { this->Run(); });
}

SidecarLinks::~SidecarLinks() { this->Stop(); }

void SidecarLinks::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->stopping.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void SidecarLinks::Configure(const config::Configuration& configuration,
                             const std::vector<UpstreamId>& watched) {
  const std::set<UpstreamId> watched_set(watched.begin(), watched.end());
  std::vector<std::shared_ptr<net::RpcClient>> dropped;
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, upstream] : configuration.upstreams) {
    Link& link = this->links[id];
    if (link.address != upstream.sidecar_address) {
      dropped.push_back(std::move(link.client));
      link = Link{};
      link.address = upstream.sidecar_address;
      link.client =
          std::make_shared<net::RpcClient>(link.address, this->credentials, net::ChannelLimits{});
    }
    link.watched = watched_set.contains(id);
  }
  std::erase_if(this->links,
                [&](const auto& entry) { return !configuration.upstreams.contains(entry.first); });
}

std::shared_ptr<net::RpcClient> SidecarLinks::Find(const UpstreamId& upstream) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->links.find(upstream);
  return found == this->links.end() ? nullptr : found->second.client;
}

IncarnationId SidecarLinks::Incarnation(const UpstreamId& upstream) {
  std::shared_ptr<net::RpcClient> client;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->links.find(upstream);
    if (found == this->links.end() || !found->second.incarnation.Empty()) {
      return found == this->links.end() ? IncarnationId() : found->second.incarnation;
    }
    client = found->second.client;
  }
  // No report has come yet, as right after a start.
  return HandleErrors(
      [&]() -> Result<IncarnationId> {
        BOOST_LEAF_AUTO(reply,
                        client->Call<net::LoadReply>(net::LoadRequest{this->credentials.self.node},
                                                     kIncarnationTimeout));
        this->OnLoad(reply.load);
        return reply.load.incarnation;
      },
      [](const Error&) { return IncarnationId(); });
}

void SidecarLinks::OnLoad(const net::LoadReport& load) {
  if (load.upstream.Empty()) {
    return;
  }
  this->table.OnLoadReport(ToRoutingLoad(load), this->clock.Now());
  const std::lock_guard lock(this->mutex);
  if (const auto found = this->links.find(load.upstream); found != this->links.end()) {
    found->second.incarnation = load.incarnation;
  }
}

void SidecarLinks::Run() {
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
    }
    this->Subscribe();
    this->TakeReports();
  }
}

void SidecarLinks::Subscribe() {
  struct Due {
    UpstreamId upstream;
    std::shared_ptr<net::RpcClient> client;
    net::ExchangeTag tag = 0;
  };
  std::vector<Due> due;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    for (auto& [id, link] : this->links) {
      if (link.watched && link.subscription == nullptr && now >= link.next_subscribe) {
        link.next_subscribe = now + kSubscribeRetry;
        due.push_back({id, link.client, ++this->last_tag});
        this->upstream_of_tag[this->last_tag] = id;
      }
    }
  }
  for (const Due& each : due) {
    const std::shared_ptr<net::Exchange> exchange = HandleErrors(
        [&]() -> Result<std::shared_ptr<net::Exchange>> {
          return each.client->Open(net::LoadRequest{this->credentials.self.node}, this->reports,
                                   each.tag);
        },
        [&](const Error& error) {
          kLog.Debug("No load reports.", {{"upstream", each.upstream}, {"reason", error.message}});
          return std::shared_ptr<net::Exchange>();
        });
    const std::lock_guard lock(this->mutex);
    if (const auto found = this->links.find(each.upstream); found != this->links.end()) {
      found->second.subscription = exchange;
    }
  }
}

void SidecarLinks::TakeReports() {
  const net::FrameQueue::Next next = this->reports->WaitNext(kWait);
  if (next.status == net::FrameQueue::Status::kFrame) {
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(reply, net::DecodePayload<net::LoadReply>(next.frame.payload));
          this->OnLoad(reply.load);
          return true;
        },
        [](const Error& error) {
          kLog.Warning("A load report was malformed.", {{"reason", error.message}});
          return false;
        });
  } else if (next.status == net::FrameQueue::Status::kClosed) {
    const std::lock_guard lock(this->mutex);
    const auto tagged = this->upstream_of_tag.find(next.tag);
    if (tagged == this->upstream_of_tag.end()) {
      return;
    }
    if (const auto found = this->links.find(tagged->second); found != this->links.end()) {
      found->second.subscription = nullptr;
    }
    this->upstream_of_tag.erase(tagged);
  }
}

}  // namespace masticrill::entry
