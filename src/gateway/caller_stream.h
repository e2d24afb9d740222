#ifndef MASTICRILL_GATEWAY_CALLER_STREAM_H_
#define MASTICRILL_GATEWAY_CALLER_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::gateway {

/// Writes the answer to one request on its caller's connection.
class CallerStream {
 public:
  /// `keep_open`: the connection may serve another request afterwards.
  CallerStream(net::SocketStream& socket, const net::RequestHead& request, bool keep_open);

  /// Sends a whole answer. Returns false when the caller is gone.
  bool SendWhole(int status, std::vector<net::HeaderField> headers, std::string_view body,
                 TimePoint deadline);
  /// Sends the head of an answer that follows in parts.
  bool Begin(int status, std::vector<net::HeaderField> headers, TimePoint deadline);
  bool WritePart(std::string_view data, TimePoint deadline);
  /// Ends an answer in parts, as whole.
  bool End(TimePoint deadline);
  /// Cuts the connection, so that an answer in parts does not look whole.
  void Abort();

  bool Begun() const { return this->begun; }
  /// Whether the connection can take another request.
  bool CanReuseConnection() const { return this->keep_open && this->whole; }
  const net::SocketStream& Socket() const { return this->socket; }

 private:
  bool Write(std::string_view data, TimePoint deadline);

  net::SocketStream& socket;
  bool keep_open;
  /// A caller of HTTP/1.0 knows no chunks: the end of the connection ends its answer.
  bool is_chunked;
  bool is_head;
  bool begun = false;
  bool whole = false;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALLER_STREAM_H_
