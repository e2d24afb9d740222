#include "masticrill/net/channel.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <cstring>
#include <mutex>

#include "masticrill/common/hash.h"
#include "masticrill/common/random.h"
#include "masticrill/net/keep_alive.h"
#include "masticrill/net/traffic.h"

namespace masticrill::net {
namespace {

constexpr int kNonceBytes = 16;
constexpr std::size_t kHeaderBytes = 4 + 1 + 8;
/// A stranger's first frames are small; anything larger is refused before it is read.
constexpr std::uint32_t kMaxHandshakeFrameBytes = 1024;

Poco::Timespan ToTimespan(milliseconds duration) {
  return {static_cast<Poco::Timespan::TimeDiff>(microseconds(duration).count())};
}

std::string ServerProof(const std::string& secret, const Hello& hello, const Challenge& challenge) {
  return HmacSha256Hex(secret, "server|" + hello.nonce + "|" + challenge.nonce + "|" +
                                   challenge.node.Value() + "|" + challenge.incarnation.Value());
}

std::string ClientProof(const std::string& secret, const Hello& hello, const Challenge& challenge) {
  return HmacSha256Hex(secret, "client|" + challenge.nonce + "|" + hello.nonce + "|" +
                                   hello.node.Value() + "|" + hello.incarnation.Value() + "|" +
                                   std::to_string(static_cast<int>(hello.role)));
}

std::string EncodeHeader(const Frame& frame) {
  std::string header(kHeaderBytes, '\0');
  const auto length = static_cast<std::uint32_t>(frame.payload.size());
  std::memcpy(header.data(), &length, sizeof(length));
  header[4] = static_cast<char>(frame.type);
  std::memcpy(header.data() + 5, &frame.correlation, sizeof(frame.correlation));
  return header;
}

}  // namespace

struct Channel::State {
  Poco::Net::StreamSocket socket;
  ChannelLimits limits;
  Identity peer;
  std::uint32_t max_frame_bytes = kMaxHandshakeFrameBytes;
  std::mutex send_mutex;
  std::atomic<bool> closed = false;

  bool ReadExactly(char* target, std::size_t size) {
    std::size_t done = 0;
    while (done < size) {
      const int count = this->socket.receiveBytes(target + done, static_cast<int>(size - done));
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  std::optional<Frame> ReadFrame() {
    std::array<char, kHeaderBytes> header{};
    if (!this->ReadExactly(header.data(), header.size())) {
      return std::nullopt;
    }
    std::uint32_t length = 0;
    Frame frame;
    std::memcpy(&length, header.data(), sizeof(length));
    frame.type = static_cast<MessageType>(header[4]);
    std::memcpy(&frame.correlation, header.data() + 5, sizeof(frame.correlation));
    if (length > this->max_frame_bytes) {
      return std::nullopt;
    }
    frame.payload.resize(length);
    if (!this->ReadExactly(frame.payload.data(), length)) {
      return std::nullopt;
    }
    return frame;
  }

  void WriteAll(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const int count =
          this->socket.sendBytes(bytes.data() + done, static_cast<int>(bytes.size() - done));
      if (count <= 0) {
        throw Poco::Net::NetException("send");
      }
      done += static_cast<std::size_t>(count);
    }
  }

  void WriteFrame(const Frame& frame) {
    this->WriteAll(EncodeHeader(frame) + frame.payload);
    Sent().Add(frame.type, kHeaderBytes + frame.payload.size());
  }

  template <typename Message>
  void Write(const Message& message) {
    this->WriteFrame(Frame{Message::kType, 0, EncodePayload(message)});
  }

  /// Reads one handshake message; the caller's Result carries what is wrong with it.
  template <typename Message>
  Result<Message> Expect() {
    const std::optional<Frame> frame = this->ReadFrame();
    if (!frame) {
      return Fail(ErrorKind::kUnavailable,
                  "The peer closed the connection during the handshake. Check that both hosts have "
                  "the same shared secret.");
    }
    if (frame->type != Message::kType) {
      return Fail(ErrorKind::kMalformedMessage,
                  "The peer sent an unexpected message in the handshake. Check the address.");
    }
    return DecodePayload<Message>(frame->payload);
  }

  Result<void> HandshakeAsClient(const Credentials& credentials) {
    const Hello hello{kProtocolVersion, credentials.self.role, credentials.self.node,
                      credentials.self.incarnation, SecureRandomHex(kNonceBytes)};
    this->Write(hello);
    BOOST_LEAF_AUTO(challenge, this->Expect<Challenge>());
    if (!ConstantTimeEqual(challenge.proof,
                           ServerProof(credentials.shared_secret, hello, challenge))) {
      return Fail(ErrorKind::kUnauthenticated,
                  "The peer does not know the shared secret. Give both hosts the same one.");
    }
    this->Write(Proof{ClientProof(credentials.shared_secret, hello, challenge)});
    BOOST_LEAF_CHECK(this->Expect<Welcome>());
    this->peer = Identity{NodeRole::kControl, challenge.node, challenge.incarnation};
    return {};
  }

  Result<void> HandshakeAsServer(const Credentials& credentials) {
    BOOST_LEAF_AUTO(hello, this->Expect<Hello>());
    if (hello.protocol_version != kProtocolVersion) {
      return Fail(ErrorKind::kInvalidArgument,
                  "The peer speaks another protocol version. Upgrade the older host.");
    }
    Challenge challenge{credentials.self.node, credentials.self.incarnation,
                        SecureRandomHex(kNonceBytes), ""};
    challenge.proof = ServerProof(credentials.shared_secret, hello, challenge);
    this->Write(challenge);
    BOOST_LEAF_AUTO(proof, this->Expect<Proof>());
    if (!ConstantTimeEqual(proof.proof, ClientProof(credentials.shared_secret, hello, challenge))) {
      return Fail(ErrorKind::kUnauthenticated,
                  "The peer does not know the shared secret. Give both hosts the same one.");
    }
    this->Write(Welcome{kProtocolVersion});
    this->peer = Identity{hello.role, hello.node, hello.incarnation};
    return {};
  }

  void FinishHandshake() {
    this->socket.setReceiveTimeout(Poco::Timespan(0));
    this->max_frame_bytes = this->limits.max_frame_bytes;
  }
};

Channel::Channel(std::unique_ptr<State> state) : state(std::move(state)) {}

Channel::~Channel() = default;

Result<std::shared_ptr<Channel>> Channel::Connect(const std::string& address,
                                                  const Credentials& credentials,
                                                  const ChannelLimits& limits) {
  auto state = std::make_unique<State>();
  state->limits = limits;
  try {
    state->socket.connect(Poco::Net::SocketAddress(address), ToTimespan(limits.connect_timeout));
    state->socket.setNoDelay(true);
    SetSilenceTimeout(state->socket, kPeerSilenceTimeout);
    state->socket.setReceiveTimeout(ToTimespan(limits.handshake_timeout));
    state->socket.setSendTimeout(ToTimespan(limits.send_timeout));
    BOOST_LEAF_CHECK(state->HandshakeAsClient(credentials));
    state->FinishHandshake();
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "No connection to " + address + " (" +
                                             exception.displayText() +
                                             "). Check that the process there runs.");
  }
  return std::shared_ptr<Channel>(new Channel(std::move(state)));
}

Result<std::shared_ptr<Channel>> Channel::Accept(const Poco::Net::StreamSocket& socket,
                                                 const Credentials& credentials,
                                                 const ChannelLimits& limits) {
  auto state = std::make_unique<State>();
  state->limits = limits;
  state->socket = socket;
  try {
    state->socket.setNoDelay(true);
    SetSilenceTimeout(state->socket, kPeerSilenceTimeout);
    state->socket.setReceiveTimeout(ToTimespan(limits.handshake_timeout));
    state->socket.setSendTimeout(ToTimespan(limits.send_timeout));
    BOOST_LEAF_CHECK(state->HandshakeAsServer(credentials));
    state->FinishHandshake();
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "The handshake failed (" + exception.displayText() + ").");
  }
  return std::shared_ptr<Channel>(new Channel(std::move(state)));
}

bool Channel::Send(const Frame& frame) {
  const std::lock_guard lock(this->state->send_mutex);
  if (this->state->closed || frame.payload.size() > this->state->max_frame_bytes) {
    return false;
  }
  try {
    this->state->WriteFrame(frame);
    return true;
  } catch (const Poco::Exception&) {
    this->Close();
    return false;
  }
}

std::optional<Frame> Channel::Receive() {
  try {
    if (std::optional<Frame> frame = this->state->ReadFrame(); frame) {
      return frame;
    }
  } catch (const Poco::Exception&) {
    // The connection broke; the caller sees it closed.
  }
  this->Close();
  return std::nullopt;
}

void Channel::Close() {
  if (this->state->closed.exchange(true)) {
    return;
  }
  try {
    this->state->socket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer was first.
  }
}

bool Channel::Closed() const { return this->state->closed; }

const Identity& Channel::Peer() const { return this->state->peer; }

}  // namespace masticrill::net
