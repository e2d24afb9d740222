#ifndef MASTICRILL_NET_CHANNEL_H_
#define MASTICRILL_NET_CHANNEL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/net/message_codec.h"
#include "masticrill/net/messages.h"

namespace Poco::Net {  // NOLINT(readability-identifier-naming): a library's name.
class StreamSocket;
}  // namespace Poco::Net

namespace masticrill::net {

/// Raised with every change of messages.h that an older process cannot read.
inline constexpr std::uint32_t kProtocolVersion = 3;

/// One message on a connection. Frames of one exchange share a correlation number, which the
/// connecting side chooses.
struct Frame {
  MessageType type = MessageType::kError;
  std::uint64_t correlation = 0;
  std::string payload;
};

struct ChannelLimits {
  std::uint32_t max_frame_bytes = 16U << 20U;
  milliseconds connect_timeout{500};
  milliseconds handshake_timeout{2000};
  /// A peer that takes no bytes for this long is given up.
  milliseconds send_timeout{5000};
};

/// Who a process is, towards its peers.
struct Identity {
  NodeRole role = NodeRole::kEntry;
  NodeId node;
  IncarnationId incarnation;
};

/// What both sides of a connection need to authenticate each other.
struct Credentials {
  Identity self;
  std::string shared_secret;
};

/// An authenticated TCP connection between two processes of the system. Send and Close may be
/// called by any thread; Receive by one.
class Channel {
 public:
  static Result<std::shared_ptr<Channel>> Connect(const std::string& address,
                                                  const Credentials& credentials,
                                                  const ChannelLimits& limits);
  static Result<std::shared_ptr<Channel>> Accept(const Poco::Net::StreamSocket& socket,
                                                 const Credentials& credentials,
                                                 const ChannelLimits& limits);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Sends a whole frame. Returns false, and closes the connection, when it cannot; the peer then
  /// never acts on the frame, since a part of a frame is dropped.
  bool Send(const Frame& frame);

  template <typename Message>
  bool Send(std::uint64_t correlation, const Message& message) {
    return this->Send(Frame{Message::kType, correlation, EncodePayload(message)});
  }

  /// Waits for the next frame; nullopt once the connection is closed.
  std::optional<Frame> Receive();

  void Close();
  bool Closed() const;
  const Identity& Peer() const;

 private:
  struct State;
  explicit Channel(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_CHANNEL_H_
