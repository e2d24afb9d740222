#ifndef MASTICRILL_NET_RPC_CLIENT_H_
#define MASTICRILL_NET_RPC_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "masticrill/common/clock.h"
#include "masticrill/net/channel.h"

namespace masticrill::net {

/// Says which of the exchanges that share a queue a frame belongs to.
using ExchangeTag = std::uint64_t;

/// Frames of one or several exchanges, in the order in which they came. Safe for several threads.
class FrameQueue {
 public:
  enum class Status { kFrame, kClosed, kTimeout };
  struct Next {
    Status status = Status::kTimeout;
    ExchangeTag tag = 0;
    Frame frame;
  };

  FrameQueue();
  ~FrameQueue();
  FrameQueue(const FrameQueue&) = delete;
  FrameQueue& operator=(const FrameQueue&) = delete;

  /// Waits for the next frame or the next closed exchange, at most for the given time.
  Next WaitNext(Duration timeout);

  /// Adds a frame. Returns false when too many bytes wait.
  bool Push(ExchangeTag tag, Frame frame);
  /// Adds the end of an exchange behind its frames.
  void PushClosed(ExchangeTag tag);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// One request and the frames that answer it.
class Exchange {
 public:
  Exchange(std::uint64_t correlation, std::shared_ptr<FrameQueue> queue, ExchangeTag tag)
      : correlation(correlation), queue(std::move(queue)), tag(tag) {}

  FrameQueue::Next WaitNext(Duration timeout) { return this->queue->WaitNext(timeout); }
  std::uint64_t Correlation() const { return this->correlation; }

  /// Adds a frame, or closes the exchange when its reader is too slow.
  void Push(Frame frame);
  /// Tells the reader, once, that no frame follows.
  void Close();

 private:
  std::uint64_t correlation;
  std::shared_ptr<FrameQueue> queue;
  ExchangeTag tag;
  std::atomic<bool> closed = false;
};

/// A connection to one process, opened on demand and opened again after it broke. Safe for several
/// threads.
class RpcClient {
 public:
  RpcClient(std::string address, Credentials credentials, ChannelLimits limits);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Sends a request whose answer may take several frames. On failure the peer never acts on it.
  template <typename Message>
  Result<std::shared_ptr<Exchange>> Open(const Message& message) {
    return this->OpenFrame(Message::kType, EncodePayload(message), std::make_shared<FrameQueue>(),
                           0);
  }

  /// The same; fails with kTimeout or kUnavailable when there is no connection within the timeout.
  template <typename Message>
  Result<std::shared_ptr<Exchange>> Open(const Message& message, Duration timeout) {
    return this->OpenFrame(Message::kType, EncodePayload(message), std::make_shared<FrameQueue>(),
                           0, SystemClock().Now() + timeout);
  }

  /// The same as the first, with the frames going to a queue that several exchanges share.
  template <typename Message>
  Result<std::shared_ptr<Exchange>> Open(const Message& message,
                                         const std::shared_ptr<FrameQueue>& queue,
                                         ExchangeTag tag) {
    return this->OpenFrame(Message::kType, EncodePayload(message), queue, tag);
  }

  /// Sends a further frame of an exchange.
  template <typename Message>
  bool Send(const Exchange& exchange, const Message& message) {
    return this->SendFrame(Frame{Message::kType, exchange.Correlation(), EncodePayload(message)});
  }

  /// Sends a request and waits for its single answer. The timeout includes the time to connect.
  /// Fails with kUnavailable or kTimeout, after which the peer may have acted on it, or with the
  /// error that the peer replied.
  template <typename Reply, typename Message>
  Result<Reply> Call(const Message& message, Duration timeout) {
    BOOST_LEAF_AUTO(frame, this->CallFrame(Message::kType, EncodePayload(message), timeout));
    if (frame.type != Reply::kType) {
      return Fail(ErrorKind::kMalformedMessage,
                  "The peer answered with another message. Run the same version on every host.");
    }
    return DecodePayload<Reply>(frame.payload);
  }

  /// Ends an exchange; later frames of it are dropped.
  void Finish(const Exchange& exchange);

  /// The process at the other end, while connected.
  std::optional<Identity> Peer() const;

  const std::string& Address() const { return this->address; }

  /// Breaks the connection; open exchanges see it closed.
  void Close();

 private:
  struct State;
  Result<std::shared_ptr<Exchange>> OpenFrame(MessageType type, std::string payload,
                                              const std::shared_ptr<FrameQueue>& queue,
                                              ExchangeTag tag);
  Result<std::shared_ptr<Exchange>> OpenFrame(MessageType type, std::string payload,
                                              const std::shared_ptr<FrameQueue>& queue,
                                              ExchangeTag tag, TimePoint deadline);
  Result<std::shared_ptr<Channel>> ConnectBefore(TimePoint deadline);
  Error NoAnswerInTime() const;
  Result<Frame> CallFrame(MessageType type, std::string payload, Duration timeout);
  bool SendFrame(const Frame& frame);

  std::string address;
  Credentials credentials;
  ChannelLimits limits;
  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_RPC_CLIENT_H_
