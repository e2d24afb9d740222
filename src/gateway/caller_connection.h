#ifndef MASTICRILL_GATEWAY_CALLER_CONNECTION_H_
#define MASTICRILL_GATEWAY_CALLER_CONNECTION_H_

#include <functional>
#include <string>

#include "gateway/caller_stream.h"
#include "masticrill/common/clock.h"
#include "masticrill/gateway/route_table.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::gateway {

/// How far a planned stop has come.
enum class StopPhase {
  kServing,
  kStopping,  // Requests are served; their connections end afterwards.
  kClosing,   // Idle connections end too.
};

/// Serves the requests that come on one caller's connection, one after the other.
class CallerConnection {
 public:
  using Handler = std::function<void(const net::RequestHead&, const std::string& body,
                                     CallerStream& caller, TimePoint arrived_at)>;

  /// `limits` gives the limits in force, `phase` how far a stop of this process has come.
  CallerConnection(net::SocketStream socket, std::function<CallerLimits()> limits,
                   std::function<StopPhase()> phase, Handler handler);

  /// Returns when the connection has ended.
  void Run();

 private:
  /// How the reading of a part of a request ended.
  enum class ReadResult { kRead, kIdle, kDisconnected, kTooLarge, kTooSlow, kMalformed };

  bool ServeNext();
  ReadResult AwaitFirstByte(const CallerLimits& limits);
  ReadResult ReadHead(const CallerLimits& limits, net::RequestHead& head);
  ReadResult ReadBody(const CallerLimits& limits, const net::RequestHead& head, std::string& body);
  void RefuseAndClose(ReadResult part, bool in_header);

  net::SocketStream socket;
  std::function<CallerLimits()> limits;
  std::function<StopPhase()> phase;
  Handler handler;
  SystemClock clock;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALLER_CONNECTION_H_
