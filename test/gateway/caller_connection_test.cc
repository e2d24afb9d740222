#include "gateway/caller_connection.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"

namespace masticrill::gateway {
namespace {

using fakes::GatewayPath;
using fakes::RawCall;
using fakes::RawUpstream;

const std::string kGet = "GET /a HTTP/1.1\r\nHost: host\r\nId: r1\r\nKey: good-key\r\n\r\n";
const std::string kAnswer = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok";

Route IdempotentRoute() {
  Route route;
  route.kind = RouteKind::kIdempotent;
  return route;
}

/// Reads until the received bytes end with `text` or the connection ends.
std::string ReadUntil(net::SocketStream& caller, const std::string& text) {
  while (!caller.Buffered().ends_with(text)) {
    if (caller.Fill(SystemClock().Now() + seconds(30)) != net::IoEnd::kDone) {
      break;
    }
  }
  std::string bytes(caller.Buffered());
  caller.Consume(bytes.size());
  return bytes;
}

TEST_CASE("a connection serves several requests in turn, including pipelined ones") {
  RawUpstream upstream([](const RawCall& call) { call.Write(kAnswer); });
  GatewayPath path(IdempotentRoute());
  path.SetUpstreams({upstream.Address()});
  const auto caller = path.Connect();
  caller->Write(kGet, SystemClock().Now() + seconds(10));
  CHECK(ReadUntil(*caller, "ok").starts_with("HTTP/1.1 200"));
  caller->Write(kGet + kGet, SystemClock().Now() + seconds(10));
  std::string both = ReadUntil(*caller, "ok");
  while (both.find("HTTP/1.1 200", 1) == std::string::npos) {
    both += ReadUntil(*caller, "ok");
  }
  CHECK(upstream.Calls() == 3);
}

TEST_CASE(
    "bytes that are no valid request are answered with an error, and the connection is closed") {
  const std::vector<std::pair<std::string, int>> cases = {
      {"NONSENSE\r\n\r\n", 400},
      {"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x'), 431},
      {"POST /a HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n" + std::string(4'300'000, 'x'), 413},
  };
  for (const auto& test_case : cases) {
    const std::string& bytes = test_case.first;
    CAPTURE(bytes.substr(0, 80));
    GatewayPath path(IdempotentRoute());
    const fakes::CallerSaw saw = path.Send(bytes);
    CHECK(saw.Status() == test_case.second);
    CHECK(saw.Has("Connection: close"));
    CHECK(saw.end != net::IoEnd::kTimeout);
  }
}

TEST_CASE("after a stop begins, a connection is closed at the end of the answer in progress") {
  // The head of the stream is sent before the stop begins, without "Connection: close".
  GatewayPath* stopping = nullptr;
  RawUpstream upstream([&](const RawCall& call) {
    call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    call.Write("a\r\nid: 1\na: 1\r\n2\r\n\n\n\r\n");
    stopping->phase = StopPhase::kStopping;
    call.Write("0\r\n\r\n");
  });
  Route route;
  route.kind = RouteKind::kStream;
  GatewayPath path(route);
  stopping = &path;
  path.SetUpstreams({upstream.Address()});
  const auto caller = path.Connect();
  caller->Write(kGet, SystemClock().Now() + seconds(10));
  const fakes::CallerSaw saw = GatewayPath::Read(*caller);
  CHECK(saw.Status() == 200);
  CHECK(saw.bytes.ends_with("0\r\n\r\n"));
  CHECK(saw.end == net::IoEnd::kClosed);
}

TEST_CASE("an idle connection is closed in the closing phase of a stop") {
  GatewayPath path(IdempotentRoute());
  path.phase = StopPhase::kClosing;
  const auto caller = path.Connect();
  const fakes::CallerSaw saw = GatewayPath::Read(*caller);
  CHECK(saw.bytes.empty());
  CHECK(saw.end == net::IoEnd::kClosed);
}

}  // namespace
}  // namespace masticrill::gateway
