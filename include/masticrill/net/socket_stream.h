#ifndef MASTICRILL_NET_SOCKET_STREAM_H_
#define MASTICRILL_NET_SOCKET_STREAM_H_

#include <memory>
#include <string>
#include <string_view>

#include "masticrill/common/clock.h"

namespace Poco::Net {  // NOLINT(readability-identifier-naming): a library's name.
class StreamSocket;
}  // namespace Poco::Net

namespace masticrill::net {

/// How an operation on a connection ended.
enum class IoEnd {
  kDone,
  kClosed,  // The peer ended its side in order. Never after an operation found it broken.
  kReset,   // The connection broke.
  kTimeout,
  kWatchedLeft,  // The watched connection was closed by its peer meanwhile.
  kReadable,     // A write stopped because the peer had sent something.
};

/// A TCP connection with a read buffer, whose operations end at a deadline. An operation may watch
/// a second connection and end when that one's peer leaves. Used by one thread at a time.
class SocketStream {
 public:
  explicit SocketStream(const Poco::Net::StreamSocket& socket);
  ~SocketStream();
  SocketStream(SocketStream&&) noexcept;
  SocketStream& operator=(SocketStream&&) noexcept;

  /// Opens a connection to IP:PORT; null unless the end is kDone.
  static std::unique_ptr<SocketStream> Connect(const std::string& address, TimePoint deadline,
                                               const SocketStream* watched, IoEnd& end);

  /// Waits for bytes and appends them to the buffer.
  IoEnd Fill(TimePoint deadline, const SocketStream* watched = nullptr);
  std::string_view Buffered() const;
  /// Drops bytes from the front of the buffer.
  void Consume(std::size_t count);

  /// Writes all of the data. With `stop_when_readable` it ends early with kReadable when the peer
  /// sends something before the data is written.
  IoEnd Write(std::string_view data, TimePoint deadline, const SocketStream* watched = nullptr,
              bool stop_when_readable = false);

  /// Write that takes what was written off the front of the data, so that it can go on later.
  IoEnd WriteFrom(std::string_view& data, TimePoint deadline, const SocketStream* watched = nullptr,
                  bool stop_when_readable = false);

  /// Whether the peer has closed the connection. Does not wait; bytes that have arrived stay.
  bool PeerLeft() const;
  /// Whether the peer has closed its side, also where bytes that it sent before are still unread.
  bool PeerEnded() const;
  /// Whether bytes or the connection's end can be read without waiting.
  bool Readable() const;

  /// Tells the peer that nothing follows, and drops what it still sends for a short time, so that
  /// the last answer is not lost to a reset.
  void FinishWriting(TimePoint deadline);
  /// Ends the connection. With `reset` the peer sees at once that it was cut.
  void Close(bool reset = false);
  /// Lets reads end as if the peer had closed its side. May be called by another thread while the
  /// stream exists and is not closed.
  void StopReading();
  /// Ends both directions, so that an operation in progress fails. May be called by another thread
  /// while the stream exists and is not closed.
  void Interrupt();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_SOCKET_STREAM_H_
