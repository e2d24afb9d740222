#include <doctest/doctest.h>

#include <string>

#include "fakes/early_server.h"
#include "fakes/gateway_caller.h"

namespace masticrill::gateway {
namespace {

using fakes::CallerSaw;
using fakes::GatewayPath;

Route RouteOf(RouteKind kind) {
  Route route;
  route.kind = kind;
  route.max_attempts = 1;
  return route;
}

std::string Upload(std::size_t size) {
  return "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n"
         "Content-Length: " +
         std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
}

// Guards against a part of an answer that a caller gets as the whole: the upstream answers an
// upload early, without a length, and resets the connection meanwhile.
TEST_CASE("an early answer without a length whose connection is reset is no success") {
  for (const RouteKind kind :
       {RouteKind::kIdempotent, RouteKind::kAtMostOnce, RouteKind::kStream}) {
    for (const std::size_t size : {std::size_t{1}, std::size_t{100'000}, std::size_t{1'000'000}}) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(size);
      fakes::EarlyServer upstream("HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\nid: 1\ndata: 1\n\n", 5);
      for (int call = 0; call < 30; ++call) {
        CAPTURE(call);
        GatewayPath path(RouteOf(kind));
        path.SetUpstreams({upstream.Address()});
        const CallerSaw saw = path.Send(Upload(size));
        // A stream that has begun ends with a reset.
        CHECK((saw.Status() != 200 || saw.end == net::IoEnd::kReset));
        CHECK_FALSE((saw.Status() == 502 && saw.Has("\"not_run\":true")));
      }
    }
  }
}

}  // namespace
}  // namespace masticrill::gateway
