#include <doctest/doctest.h>

#include <string>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"
#include "fakes/wait_until.h"

namespace masticrill::gateway {
namespace {

using fakes::CallerSaw;
using fakes::GatewayPath;
using fakes::RawCall;
using fakes::RawUpstream;

std::string Post(const std::string& connection) {
  return "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: " + connection +
         "\r\nKey: good-key\r\nContent-Length: 0\r\n\r\n";
}

Route OnceRoute(milliseconds timeout) {
  Route route;
  route.kind = RouteKind::kAtMostOnce;
  route.timeout = timeout;
  return route;
}

constexpr std::size_t kLargeBytes = std::size_t{7} << 20U;

/// An answer that no socket's buffer holds.
std::string LargeAnswer() {
  return "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: " + std::to_string(kLargeBytes) +
         "\r\n\r\n" + std::string(kLargeBytes, 'x');
}

/// Reads nothing for a while, and then everything.
CallerSaw ReadAfter(net::SocketStream& caller, milliseconds pause) {
  // No byte comes from a connection that nobody answers.
  const RawUpstream idle([](const RawCall&) {});
  net::IoEnd end = net::IoEnd::kDone;
  const auto clock =
      net::SocketStream::Connect(idle.Address(), SystemClock().Now() + seconds(10), nullptr, end);
  const TimePoint until = SystemClock().Now() + Duration(pause);
  clock->Fill(until);
  return GatewayPath::Read(caller);
}

// Guards against whole answers that are cut at a caller which is there and reads late.
TEST_CASE("a large answer reaches a caller that begins to read it late") {
  RawUpstream upstream([](const RawCall& call) { call.Write(LargeAnswer()); });
  GatewayPath path(OnceRoute(milliseconds(10'000)));
  path.SetUpstreams({upstream.Address()});
  const auto caller = path.Connect();
  caller->Write(Post("close"), SystemClock().Now() + seconds(10));
  const CallerSaw saw = ReadAfter(*caller, milliseconds(1500));
  CHECK(saw.Status() == 200);
  CHECK(saw.bytes.size() > kLargeBytes);
  CHECK(saw.end == net::IoEnd::kClosed);
}

// Guards against callers that send the next request ahead and are taken for ones that have left.
TEST_CASE("a caller that sends its next request ahead gets both answers") {
  RawUpstream upstream([](const RawCall& call) {
    call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood");
  });
  GatewayPath path(OnceRoute(milliseconds(10'000)));
  path.SetUpstreams({upstream.Address()});
  const CallerSaw saw = path.Send(Post("keep-alive") + Post("close"));
  CHECK(saw.bytes.find("good") != saw.bytes.rfind("good"));
  CHECK(upstream.Calls() == 2);
}

// Guards against requests that are refused by limits which were replaced while their connection
// waited for them.
TEST_CASE("a request on a connection that has waited is read under the newest limits") {
  RawUpstream upstream([](const RawCall& call) {
    call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood");
  });
  CallerLimits small;
  small.max_header_bytes = 20;
  GatewayPath path(OnceRoute(milliseconds(10'000)));
  path.SetUpstreams({upstream.Address()});
  path.Declare(OnceRoute(milliseconds(10'000)), small);
  const auto raised = path.Connect();
  REQUIRE(fakes::WaitUntil([&] { return path.limit_reads == 1; }));
  path.Declare(OnceRoute(milliseconds(10'000)));
  raised->Write(Post("close"), SystemClock().Now() + seconds(10));
  CHECK(GatewayPath::Read(*raised).Status() == 200);

  const int reads = path.limit_reads;
  const auto lowered = path.Connect();
  REQUIRE(fakes::WaitUntil([&] { return path.limit_reads > reads; }));
  path.Declare(OnceRoute(milliseconds(10'000)), small);
  lowered->Write(Post("close"), SystemClock().Now() + seconds(10));
  CHECK(GatewayPath::Read(*lowered).Status() == 431);
}

}  // namespace
}  // namespace masticrill::gateway
