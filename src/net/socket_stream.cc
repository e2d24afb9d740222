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
};

namespace {

/// What a wait found.
struct PollResult {
  bool ready = false;
  bool readable = false;
  bool watched_left = false;
};

/// The peer of a watched connection has left when its end can be read. Bytes that it sent ahead
/// say nothing, and are left alone.
bool HasLeft(int descriptor) {
  char byte = 0;
  const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool HasBytes(int descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

PollResult PollOnce(int descriptor, short events, int watched, TimePoint deadline) {
  std::array<pollfd, 2> descriptors{{{descriptor, events, 0}, {watched, POLLIN, 0}}};
  const bool watch = watched >= 0 && !HasBytes(watched);
  const int ready = ::poll(descriptors.data(), watch ? 2 : 1, ToPollTimeout(deadline));
  PollResult result;
  if (ready <= 0) {
    return result;
  }
  result.ready = descriptors[0].revents != 0;
  result.readable = (descriptors[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
  result.watched_left = watch && descriptors[1].revents != 0 && HasLeft(watched);
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
    const int descriptor = stream->state->Descriptor();
    const int watched_descriptor = watched == nullptr ? -1 : watched->state->Descriptor();
    while (true) {
      const PollResult result = PollOnce(descriptor, POLLOUT, watched_descriptor, deadline);
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
  const int watched_descriptor = watched == nullptr ? -1 : watched->state->Descriptor();
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
      return IoEnd::kClosed;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return IoEnd::kReset;
    }
    const PollResult result = PollOnce(descriptor, POLLIN, watched_descriptor, deadline);
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
  const int watched_descriptor = watched == nullptr ? -1 : watched->state->Descriptor();
  const short events = static_cast<short>(stop_when_readable ? POLLOUT | POLLIN : POLLOUT);
  while (!data.empty()) {
    const ssize_t count = ::send(descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      data.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return IoEnd::kReset;
    }
    const PollResult result = PollOnce(descriptor, events, watched_descriptor, deadline);
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

bool SocketStream::PeerLeft() const {
  return !this->state->open || HasLeft(this->state->Descriptor());
}

bool SocketStream::Readable() const {
  if (!this->Buffered().empty() || !this->state->open) {
    return true;
  }
  const int descriptor = this->state->Descriptor();
  return HasBytes(descriptor) || HasLeft(descriptor);
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
