#include "masticrill/net/socket_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "masticrill/net/keep_alive.h"

namespace masticrill::net {
namespace {

/// On the stack of each connection's thread, whose memory stays touched.
constexpr std::size_t kReadBlockBytes = 4096;
/// A larger buffer is freed when it has been consumed: connections outlast their requests.
constexpr std::size_t kKeptBufferBytes = std::size_t{16} << 10U;

int ToPollTimeout(TimePoint deadline) {
  const Duration left = deadline - SystemClock().Now();
  if (left <= Duration::zero()) {
    return 0;
  }
  // Rounded up, so that a wait does not end just before its deadline and begin again.
  return static_cast<int>(std::min<std::int64_t>(duration_cast<milliseconds>(left).count() + 1,
                                                 std::int64_t{3600} * 1000));
}

}  // namespace

struct SocketStream::State {
  explicit State(const Poco::Net::StreamSocket& socket) : socket(socket) {
    this->socket.setBlocking(false);
    this->socket.setNoDelay(true);
  }

  int Descriptor() const { return static_cast<int>(this->socket.impl()->sockfd()); }

  Poco::Net::StreamSocket socket;
  std::string buffer;
  std::size_t consumed = 0;
  bool open = true;
  /// An operation has found the connection broken. The system reports that once, to whichever call
  /// comes first; later reads end as if the peer had closed its side in order.
  bool broken = false;
};

namespace {

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

/// What a wait found.
struct PollResult {
  bool ready = false;
  bool readable = false;
  bool watched_left = false;
};

/// Peeks at one byte. Notes a broken connection.
template <typename State>
ssize_t Peek(State& state) {
  char byte = 0;
  const ssize_t count = ::recv(state.Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  state.broken = state.broken || (count < 0 && !WouldBlock());
  return count;
}

/// The peer of a watched connection has left when its end can be read. Bytes that it sent ahead
/// say nothing, and are left alone.
template <typename State>
bool HasLeft(State& state) {
  const ssize_t count = Peek(state);
  return count == 0 || (count < 0 && !WouldBlock());
}

template <typename State>
bool HasBytes(State& state) {
  return Peek(state) > 0;
}

/// Waits for events on a connection, and for the end of a watched one unless it is null.
template <typename State>
PollResult PollOnce(State& state, short events, State* watched, TimePoint deadline) {
  const bool watch = watched != nullptr && !HasBytes(*watched);
  std::array<pollfd, 2> descriptors{
      {{state.Descriptor(), events, 0}, {watch ? watched->Descriptor() : -1, POLLIN, 0}}};
  const int ready = ::poll(descriptors.data(), watch ? 2 : 1, ToPollTimeout(deadline));
  PollResult result;
  if (ready <= 0) {
    return result;
  }
  result.ready = descriptors[0].revents != 0;
  result.readable = (descriptors[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
  result.watched_left = watch && descriptors[1].revents != 0 && HasLeft(*watched);
  return result;
}

}  // namespace

SocketStream::SocketStream(const Poco::Net::StreamSocket& socket)
    : state(std::make_unique<State>(socket)) {}

SocketStream::~SocketStream() {
  if (this->state != nullptr) {
    this->Close();
  }
}

SocketStream::SocketStream(SocketStream&&) noexcept = default;
SocketStream& SocketStream::operator=(SocketStream&&) noexcept = default;

std::unique_ptr<SocketStream> SocketStream::Connect(const std::string& address, TimePoint deadline,
                                                    const SocketStream* watched, IoEnd& end) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(address));
    auto stream = std::make_unique<SocketStream>(socket);
    State* const watched_state = watched == nullptr ? nullptr : watched->state.get();
    while (true) {
      const PollResult result = PollOnce(*stream->state, POLLOUT, watched_state, deadline);
      if (result.watched_left) {
        end = IoEnd::kWatchedLeft;
        return nullptr;
      }
      if (result.ready) {
        break;
      }
      if (SystemClock().Now() >= deadline) {
        end = IoEnd::kTimeout;
        return nullptr;
      }
    }
    int error = 0;
    socket.getOption(SOL_SOCKET, SO_ERROR, error);
    if (error != 0) {
      end = IoEnd::kReset;
      return nullptr;
    }
    SetSilenceTimeout(socket, kPeerSilenceTimeout);
    end = IoEnd::kDone;
    return stream;
  } catch (const Poco::Exception&) {
    end = IoEnd::kReset;
    return nullptr;
  }
}

IoEnd SocketStream::Fill(TimePoint deadline, const SocketStream* watched) {
  if (!this->state->open) {
    return IoEnd::kReset;
  }
  const int descriptor = this->state->Descriptor();
  State* const watched_state = watched == nullptr ? nullptr : watched->state.get();
  std::array<char, kReadBlockBytes> block{};
  while (true) {
    const ssize_t count = ::recv(descriptor, block.data(), block.size(), MSG_DONTWAIT);
    if (count > 0) {
      this->state->buffer.erase(0, this->state->consumed);
      this->state->consumed = 0;
      this->state->buffer.append(block.data(), static_cast<std::size_t>(count));
      return IoEnd::kDone;
    }
    if (count == 0) {
      return this->state->broken ? IoEnd::kReset : IoEnd::kClosed;
    }
    if (!WouldBlock()) {
      this->state->broken = true;
      return IoEnd::kReset;
    }
    const PollResult result = PollOnce(*this->state, POLLIN, watched_state, deadline);
    if (result.ready) {
      continue;
    }
    if (result.watched_left) {
      return IoEnd::kWatchedLeft;
    }
    if (SystemClock().Now() >= deadline) {
      return IoEnd::kTimeout;
    }
  }
}

std::string_view SocketStream::Buffered() const {
  return std::string_view(this->state->buffer).substr(this->state->consumed);
}

void SocketStream::Consume(std::size_t count) {
  this->state->consumed += count;
  if (this->state->consumed == this->state->buffer.size() &&
      this->state->buffer.capacity() > kKeptBufferBytes) {
    this->state->buffer = std::string();
    this->state->consumed = 0;
  }
}

IoEnd SocketStream::Write(std::string_view data, TimePoint deadline, const SocketStream* watched,
                          bool stop_when_readable) {
  return this->WriteFrom(data, deadline, watched, stop_when_readable);
}

IoEnd SocketStream::WriteFrom(std::string_view& data, TimePoint deadline,
                              const SocketStream* watched, bool stop_when_readable) {
  if (!this->state->open) {
    return IoEnd::kReset;
  }
  const int descriptor = this->state->Descriptor();
  State* const watched_state = watched == nullptr ? nullptr : watched->state.get();
  const short events = static_cast<short>(stop_when_readable ? POLLOUT | POLLIN : POLLOUT);
  while (!data.empty()) {
    const ssize_t count = ::send(descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      data.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    if (count < 0 && !WouldBlock()) {
      this->state->broken = true;
      return IoEnd::kReset;
    }
    const PollResult result = PollOnce(*this->state, events, watched_state, deadline);
    if (stop_when_readable && result.readable) {
      return IoEnd::kReadable;
    }
    if (result.watched_left) {
      return IoEnd::kWatchedLeft;
    }
    if (!result.ready && SystemClock().Now() >= deadline) {
      return IoEnd::kTimeout;
    }
  }
  return IoEnd::kDone;
}

bool SocketStream::PeerLeft() const { return !this->state->open || HasLeft(*this->state); }

bool SocketStream::Readable() const {
  if (!this->Buffered().empty() || !this->state->open) {
    return true;
  }
  return HasBytes(*this->state) || HasLeft(*this->state);
}

void SocketStream::FinishWriting(TimePoint deadline) {
  if (!this->state->open) {
    return;
  }
  try {
    this->state->socket.shutdownSend();
  } catch (const Poco::Exception&) {
    return;  // The peer was first.
  }
  while (this->Fill(deadline) == IoEnd::kDone) {
    this->Consume(this->Buffered().size());
  }
}

void SocketStream::Close(bool reset) {
  if (!this->state->open) {
    return;
  }
  this->state->open = false;
  try {
    if (reset) {
      this->state->socket.setLinger(true, 0);
    }
    this->state->socket.close();
  } catch (const Poco::Exception&) {
    // The connection is gone already.
  }
}

bool SocketStream::PeerEnded() const {
  if (!this->state->open) {
    return true;
  }
  pollfd descriptor{this->state->Descriptor(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

void SocketStream::StopReading() { ::shutdown(this->state->Descriptor(), SHUT_RD); }

void SocketStream::Interrupt() { ::shutdown(this->state->Descriptor(), SHUT_RDWR); }

}  // namespace masticrill::net
