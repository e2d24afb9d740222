#include "control/peer_transport.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <thread>
#include <utility>

#include "masticrill/common/log.h"
#include "masticrill/consensus/codec.h"
#include "masticrill/net/channel.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Bytes that may be queued for one peer.
constexpr std::size_t kMaxQueuedBytes = std::size_t{16} << 20U;
constexpr Duration kMinRetryInterval = milliseconds(50);
constexpr Duration kMaxRetryInterval = milliseconds(1000);

}  // namespace

/// The queue, the connection and the thread for one peer.
class PeerTransport::Peer {
 public:
  Peer(PeerTransport& transport, NodeId node)
      : transport(transport), node(std::move(node)), thread([this] { this->Run(); }) {}

  ~Peer() {
    std::shared_ptr<net::Channel> open;
    {
      const std::scoped_lock lock(this->mutex);
      this->stopped = true;
      open = this->channel;
      this->changed.notify_one();
    }
    if (open != nullptr) {
      open->Close();
    }
    this->thread.join();
  }

  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  bool Push(std::string payload) {
    const std::scoped_lock lock(this->mutex);
    if (this->queued_bytes + payload.size() > kMaxQueuedBytes) {
      return false;
    }
    this->queued_bytes += payload.size();
    this->queue.push_back(std::move(payload));
    this->changed.notify_one();
    return true;
  }

 private:
  void Run() {
    Duration retry_interval = kMinRetryInterval;
    std::unique_lock lock(this->mutex);
    while (!this->stopped) {
      this->changed.wait(lock, [this] { return this->stopped || !this->queue.empty(); });
      if (this->stopped) {
        return;
      }
      if (!this->Connected()) {
        lock.unlock();
        std::shared_ptr<net::Channel> opened = this->Connect();
        lock.lock();
        this->channel = std::move(opened);
      }
      if (!this->Connected()) {
        this->transport.dropped += this->queue.size();
        this->queue.clear();
        this->queued_bytes = 0;
        this->changed.wait_for(lock, retry_interval, [this] { return this->stopped; });
        retry_interval = std::min(retry_interval * 2, kMaxRetryInterval);
        continue;
      }
      retry_interval = kMinRetryInterval;
      this->SendQueued(lock);
    }
  }

  bool Connected() const { return this->channel != nullptr && !this->channel->Closed(); }

  void SendQueued(std::unique_lock<std::mutex>& lock) {
    const std::deque<std::string> taken = std::exchange(this->queue, {});
    this->queued_bytes = 0;
    const std::shared_ptr<net::Channel> open = this->channel;
    lock.unlock();
    for (const std::string& payload : taken) {
      const net::ConsensusEnvelope envelope{this->transport.addresses.Credentials().self.node,
                                            payload, this->transport.own_address};
      if (!open->Send(0, envelope)) {
        break;
      }
      this->transport.sent_bytes += payload.size();
    }
    lock.lock();
  }

  std::shared_ptr<net::Channel> Connect() {
    const std::optional<std::string> address = this->transport.addresses.Find(this->node);
    if (!address) {
      return nullptr;
    }
    return HandleErrors(
        [&]() -> Result<std::shared_ptr<net::Channel>> {
          return net::Channel::Connect(*address, this->transport.addresses.Credentials(), {});
        },
        [&](const Error& error) {
          kLog.Debug("Connecting to a replica failed; dropping its queued messages.",
                     {{"node", this->node}, {"cause", error.message}});
          return std::shared_ptr<net::Channel>();
        });
  }

  PeerTransport& transport;
  NodeId node;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  bool stopped = false;
  std::shared_ptr<net::Channel> channel;
  std::thread thread;
};

PeerTransport::PeerTransport(AddressBook& addresses, std::string own_address)
    : addresses(addresses), own_address(std::move(own_address)) {}

PeerTransport::~PeerTransport() { this->Stop(); }

void PeerTransport::Send(const consensus::Message& message) {
  const std::scoped_lock lock(this->mutex);
  if (this->stopped) {
    return;
  }
  std::unique_ptr<Peer>& peer = this->peers[message.to.node];
  if (peer == nullptr) {
    peer = std::make_unique<Peer>(*this, message.to.node);
  }
  if (!peer->Push(consensus::EncodeMessage(message))) {
    ++this->dropped;
  }
}

void PeerTransport::Stop() {
  std::map<NodeId, std::unique_ptr<Peer>> ended;
  const std::scoped_lock lock(this->mutex);
  this->stopped = true;
  std::swap(ended, this->peers);
}

}  // namespace masticrill::control
