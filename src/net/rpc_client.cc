#include "masticrill/net/rpc_client.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace masticrill::net {
namespace {

/// Bytes that may wait for a slow reader before its exchange is given up.
constexpr std::size_t kMaxWaitingBytes = 8U << 20U;

}  // namespace

struct FrameQueue::State {
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Next> waiting;
  std::size_t waiting_bytes = 0;
};

FrameQueue::FrameQueue() : state(std::make_unique<State>()) {}

FrameQueue::~FrameQueue() = default;

FrameQueue::Next FrameQueue::WaitNext(Duration timeout) {
  std::unique_lock lock(this->state->mutex);
  this->state->changed.wait_for(lock, timeout, [this] { return !this->state->waiting.empty(); });
  if (this->state->waiting.empty()) {
    return {};
  }
  Next next = std::move(this->state->waiting.front());
  this->state->waiting.pop_front();
  this->state->waiting_bytes -= next.frame.payload.size();
  return next;
}

bool FrameQueue::Push(ExchangeTag tag, Frame frame) {
  const std::lock_guard lock(this->state->mutex);
  const std::size_t bytes = frame.payload.size();
  if (this->state->waiting_bytes + bytes > kMaxWaitingBytes) {
    return false;
  }
  this->state->waiting_bytes += bytes;
  this->state->waiting.push_back({Status::kFrame, tag, std::move(frame)});
  this->state->changed.notify_one();
  return true;
}

void FrameQueue::PushClosed(ExchangeTag tag) {
  const std::lock_guard lock(this->state->mutex);
  this->state->waiting.push_back({Status::kClosed, tag, {}});
  this->state->changed.notify_one();
}

void Exchange::Push(Frame frame) {
  if (!this->closed && !this->queue->Push(this->tag, std::move(frame))) {
    this->Close();
  }
}

void Exchange::Close() {
  if (!this->closed.exchange(true)) {
    this->queue->PushClosed(this->tag);
  }
}

/// One connection with the thread that reads it.
struct RpcClient::State {
  mutable std::mutex mutex;
  std::shared_ptr<Channel> channel;
  std::thread reader;
  std::map<std::uint64_t, std::shared_ptr<Exchange>> exchanges;
  std::uint64_t last_correlation = 0;
  std::timed_mutex connect_mutex;

  void Dispatch(Frame frame) {
    std::shared_ptr<Exchange> exchange;
    {
      const std::lock_guard lock(this->mutex);
      if (const auto found = this->exchanges.find(frame.correlation);
          found != this->exchanges.end()) {
        exchange = found->second;
      }
    }
    if (exchange != nullptr) {
      exchange->Push(std::move(frame));
    }
  }

  void CloseExchanges() {
    const std::lock_guard lock(this->mutex);
    for (const auto& [correlation, exchange] : this->exchanges) {
      exchange->Close();
    }
    this->exchanges.clear();
  }

  void Read(const std::shared_ptr<Channel>& connected) {
    while (std::optional<Frame> frame = connected->Receive()) {
      this->Dispatch(*std::move(frame));
    }
    this->CloseExchanges();
  }

  void JoinReader() {
    if (this->reader.joinable()) {
      this->reader.join();
    }
  }
};

RpcClient::RpcClient(std::string address, Credentials credentials, ChannelLimits limits)
    : address(std::move(address)),
      credentials(std::move(credentials)),
      limits(limits),
      state(std::make_unique<State>()) {}

RpcClient::~RpcClient() {
  this->Close();
  const std::lock_guard connecting(this->state->connect_mutex);
  this->state->JoinReader();
}

Error RpcClient::NoAnswerInTime() const {
  return {ErrorKind::kTimeout, this->address + " did not answer in time. Check the process there."};
}

/// The open connection, or a new one. Waits for another thread that is connecting.
Result<std::shared_ptr<Channel>> RpcClient::ConnectBefore(TimePoint deadline) {
  const SystemClock clock;
  std::unique_lock connecting(this->state->connect_mutex, std::defer_lock);
  if (deadline == TimePoint::max()) {
    connecting.lock();
  } else if (!connecting.try_lock_for(deadline - clock.Now())) {
    return Fail(this->NoAnswerInTime());
  }
  if (this->state->channel != nullptr && !this->state->channel->Closed()) {
    return this->state->channel;
  }
  this->state->JoinReader();
  ChannelLimits limits_left = this->limits;
  if (deadline != TimePoint::max()) {
    const auto left = duration_cast<milliseconds>(deadline - clock.Now());
    if (left <= milliseconds::zero()) {
      return Fail(this->NoAnswerInTime());
    }
    limits_left.connect_timeout = std::min(limits_left.connect_timeout, left);
    limits_left.handshake_timeout = std::min(limits_left.handshake_timeout, left);
  }
  BOOST_LEAF_AUTO(connected, Channel::Connect(this->address, this->credentials, limits_left));
  const std::lock_guard lock(this->state->mutex);
  this->state->channel = connected;
  this->state->reader = std::thread([this, connected] { this->state->Read(connected); });
  return connected;
}

Result<std::shared_ptr<Exchange>> RpcClient::OpenFrame(MessageType type, std::string payload,
                                                       const std::shared_ptr<FrameQueue>& queue,
                                                       ExchangeTag tag) {
  return this->OpenFrame(type, std::move(payload), queue, tag, TimePoint::max());
}

Result<std::shared_ptr<Exchange>> RpcClient::OpenFrame(MessageType type, std::string payload,
                                                       const std::shared_ptr<FrameQueue>& queue,
                                                       ExchangeTag tag, TimePoint deadline) {
  BOOST_LEAF_AUTO(channel, this->ConnectBefore(deadline));
  std::shared_ptr<Exchange> exchange;
  {
    const std::lock_guard lock(this->state->mutex);
    exchange = std::make_shared<Exchange>(++this->state->last_correlation, queue, tag);
    this->state->exchanges[exchange->Correlation()] = exchange;
  }
  if (!channel->Send(Frame{type, exchange->Correlation(), std::move(payload)})) {
    this->Finish(*exchange);
    return Fail(ErrorKind::kUnavailable,
                "The connection to " + this->address + " broke. Check the process there.");
  }
  if (channel->Closed()) {
    // The reader may have closed the other exchanges before this one was added.
    exchange->Close();
  }
  return exchange;
}

Result<Frame> RpcClient::CallFrame(MessageType type, std::string payload, Duration timeout) {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + timeout;
  BOOST_LEAF_AUTO(exchange, this->OpenFrame(type, std::move(payload),
                                            std::make_shared<FrameQueue>(), 0, deadline));
  FrameQueue::Next next = exchange->WaitNext(std::max(deadline - clock.Now(), Duration::zero()));
  this->Finish(*exchange);
  switch (next.status) {
    case FrameQueue::Status::kClosed:
      return Fail(ErrorKind::kUnavailable,
                  "The connection to " + this->address + " broke. Check the process there.");
    case FrameQueue::Status::kTimeout:
      return Fail(this->NoAnswerInTime());
    case FrameQueue::Status::kFrame:
      break;
  }
  if (next.frame.type == MessageType::kError) {
    BOOST_LEAF_AUTO(error, DecodePayload<ErrorReply>(next.frame.payload));
    return Fail(ParseErrorKind(error.kind), error.message);
  }
  return std::move(next.frame);
}

bool RpcClient::SendFrame(const Frame& frame) {
  std::shared_ptr<Channel> channel;
  {
    const std::lock_guard lock(this->state->mutex);
    channel = this->state->channel;
  }
  return channel != nullptr && channel->Send(frame);
}

void RpcClient::Finish(const Exchange& exchange) {
  const std::lock_guard lock(this->state->mutex);
  this->state->exchanges.erase(exchange.Correlation());
}

std::optional<Identity> RpcClient::Peer() const {
  const std::lock_guard lock(this->state->mutex);
  if (this->state->channel == nullptr || this->state->channel->Closed()) {
    return std::nullopt;
  }
  return this->state->channel->Peer();
}

void RpcClient::Close() {
  std::shared_ptr<Channel> channel;
  {
    const std::lock_guard lock(this->state->mutex);
    channel = this->state->channel;
  }
  if (channel != nullptr) {
    channel->Close();
  }
}

}  // namespace masticrill::net
