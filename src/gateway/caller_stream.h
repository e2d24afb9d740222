#ifndef MASTICRILL_GATEWAY_CALLER_STREAM_H_
#define MASTICRILL_GATEWAY_CALLER_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::gateway {

/// Writes the answer to one request to its caller's connection. Used by one thread; the socket
/// outlives it.
class CallerStream {
 public:
  /// `keep_open`: the connection may serve another request afterwards.
  CallerStream(net::SocketStream& socket, const net::RequestHead& request, bool keep_open);

  /// Sends a complete answer. Like the other writing functions, returns false when it could not be
  /// written before the deadline or the connection has ended.
  bool SendWhole(int status, std::vector<net::HeaderField> headers, std::string_view body,
                 TimePoint deadline);
  /// Sends the head of an answer whose body follows in parts.
  bool Begin(int status, std::vector<net::HeaderField> headers, TimePoint deadline);
  bool WritePart(std::string_view data, TimePoint deadline);
  /// Ends an answer that was sent in parts, as complete.
  bool End(TimePoint deadline);
  /// Resets the connection, so that an answer that was sent in parts does not look complete.
  void Abort();

  bool Begun() const { return this->begun; }
  /// Whether the connection can serve another request.
  bool CanReuseConnection() const { return this->keep_open && this->whole; }
  const net::SocketStream& Socket() const { return this->socket; }

 private:
  bool Write(std::string_view data, TimePoint deadline);

  net::SocketStream& socket;
  bool keep_open;
  /// HTTP/1.0 has no chunked encoding: the end of the connection ends the answer.
  bool is_chunked;
  bool is_head;
  bool begun = false;
  bool whole = false;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALLER_STREAM_H_
