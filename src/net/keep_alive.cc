#include "masticrill/net/keep_alive.h"

#include <Poco/Net/StreamSocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace masticrill::net {

void SetSilenceTimeout(Poco::Net::StreamSocket& socket, seconds timeout) {
  constexpr int kProbeIntervalS = 1;
  const int whole_seconds = std::max(2, static_cast<int>(timeout.count()));
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalS);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, whole_seconds - 1);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds(timeout).count()));
}

}  // namespace masticrill::net
