// Planned stops of a gateway: what is still taken, and how requests in progress end.
#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/gateway_control_host.h"
#include "fakes/raw_upstream.h"
#include "fakes/wait_until.h"
#include "masticrill/gateway/gateway_server.h"
#include "masticrill/net/http_client.h"

namespace masticrill::gateway {
namespace {

using fakes::CallerSaw;
using fakes::GatewayPath;
using fakes::RawCall;
using fakes::RawUpstream;

const std::string kWhole = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood";
const std::string kEvents =
    "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "11\r\nid: 1\ndata: one\n\n\r\n";

std::string Request(const std::string& headers = "") {
  return "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n" +
         headers + "Content-Length: 4\r\n\r\nbody";
}

Route RouteOf(RouteKind kind, milliseconds timeout, milliseconds latency_target) {
  Route route;
  route.kind = kind;
  route.timeout = timeout;
  route.latency_target = latency_target;
  route.max_attempts = 2;
  route.resumable = kind == RouteKind::kStream;
  return route;
}

// Guards against work that is handed over late in a stop and cut off by the end of the process,
// also by a process that has not run long enough to know how long streams last.
TEST_CASE(
    "a request that may outlast the stop is refused as not run, and one that fits is served") {
  struct Row {
    RouteKind kind;
    milliseconds timeout;
    milliseconds latency_target;
    std::string headers;
    int status;
    /// How long streams of the service were recorded.
    seconds recorded{300};
  };
  const std::vector<Row> rows = {
      {RouteKind::kAtMostOnce, milliseconds(20'000), milliseconds(100), "", 200},
      {RouteKind::kAtMostOnce, milliseconds(90'000), milliseconds(100), "", 503},
      {RouteKind::kAtMostOnce, milliseconds(90'000), milliseconds(100), "Wait-Ms: 20000\r\n", 200},
      {RouteKind::kIdempotent, milliseconds(90'000), milliseconds(100), "", 200},
      {RouteKind::kIdempotent, milliseconds(90'000), milliseconds(70'000), "", 503},
      {RouteKind::kStream, milliseconds(90'000), milliseconds(100), "", 200},
      {RouteKind::kStream, milliseconds(90'000), milliseconds(70'000), "", 503},
      {RouteKind::kStream, milliseconds(90'000), milliseconds(100), "", 503, seconds(0)},
      {RouteKind::kStream, milliseconds(90'000), milliseconds(100), "", 503, seconds(30)},
      {RouteKind::kStream, milliseconds(20'000), milliseconds(100), "", 200, seconds(30)},
      {RouteKind::kIdempotent, milliseconds(20'000), milliseconds(70'000), "", 200},
  };
  for (const Row& row : rows) {
    CAPTURE(static_cast<int>(row.kind));
    CAPTURE(row.timeout.count());
    CAPTURE(row.latency_target.count());
    RawUpstream upstream([&](const RawCall& call) {
      call.Write(row.kind == RouteKind::kStream ? kEvents + "0\r\n\r\n" : kWhole);
    });
    GatewayPath path(RouteOf(row.kind, row.timeout, row.latency_target));
    path.SetUpstreams({upstream.Address()});
    if (row.recorded > seconds(0)) {
      constexpr std::uint64_t kEventsPerSecond = 100;
      path.pace.Add(fakes::kService,
                    kEventsPerSecond * static_cast<std::uint64_t>(row.recorded.count()) + 1,
                    row.recorded);
    }
    path.phase = StopPhase::kStopping;
    path.ends_at = SystemClock().Now() + seconds(60);
    const CallerSaw saw = path.Send(Request(row.headers));
    CHECK(saw.Status() == row.status);
    CHECK(upstream.Calls() == (row.status == 200 ? 1 : 0));
    CHECK(saw.Has("Retry-After: 0.02") == (row.status == 503));
  }
}

// Guards against a second hand-over that the end of the process cuts off: the time left was asked
// once, when the request arrived.
TEST_CASE("the time that is left of a stop is asked again before each further attempt") {
  GatewayPath* stopping = nullptr;
  RawUpstream first([&](const RawCall& call) {
    stopping->phase = StopPhase::kStopping;
    stopping->ends_at = SystemClock().Now() + seconds(10);
    call.Write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  RawUpstream second([](const RawCall& call) { call.Write(kWhole); });
  GatewayPath path(RouteOf(RouteKind::kAtMostOnce, milliseconds(20'000), milliseconds(100)));
  stopping = &path;
  path.SetUpstreams({first.Address(), second.Address()});
  CHECK(path.Send(Request()).Status() == 503);
  CHECK(first.Calls() == 1);
  CHECK(second.Calls() == 0);
}

// Guards against requests that the end of the process cuts off without an answer.
TEST_CASE("what an upstream has not answered shortly before the end of a stop gets its end") {
  for (const RouteKind kind :
       {RouteKind::kAtMostOnce, RouteKind::kIdempotent, RouteKind::kStream}) {
    CAPTURE(static_cast<int>(kind));
    GatewayPath* stopping = nullptr;
    // The stop begins while the request waits for its answer.
    RawUpstream upstream([&](const RawCall& call) {
      stopping->phase = StopPhase::kClosing;
      stopping->ends_at = SystemClock().Now() + seconds(1);
      call.AwaitClose();
    });
    Route route = RouteOf(kind, milliseconds(20'000), milliseconds(5000));
    route.max_attempts = 1;
    GatewayPath path(route);
    stopping = &path;
    path.SetUpstreams({upstream.Address()});
    const CallerSaw saw = path.Send(Request());
    // It may have run, so the answer promises nothing.
    CHECK(saw.Status() == 502);
    CHECK(saw.Has("stopping"));
    CHECK(path.metrics.refusals.Get(RefusalKind::kStopping) == 1);
  }
}

TEST_CASE("a stream that has begun is broken off shortly before the end of a stop, and counted") {
  GatewayPath* stopping = nullptr;
  RawUpstream upstream([&](const RawCall& call) {
    call.Write(kEvents);
    stopping->phase = StopPhase::kClosing;
    stopping->ends_at = SystemClock().Now() + seconds(1);
    call.AwaitClose();
  });
  GatewayPath path(RouteOf(RouteKind::kStream, milliseconds(20'000), milliseconds(5000)));
  stopping = &path;
  path.SetUpstreams({upstream.Address()});
  const CallerSaw saw = path.Send(Request());
  CHECK(saw.Has("data: one"));
  CHECK(saw.end == net::IoEnd::kReset);
  CHECK(path.metrics.refusals.Get(RefusalKind::kStopping) == 1);
  CHECK(path.metrics.cut.Get(StopPhase::kClosing) == 1);
}

// Guards against a request that is read so slowly that the end of the process cuts it off.
TEST_CASE("a request whose body comes too slowly is refused shortly before the end of a stop") {
  RawUpstream upstream([](const RawCall& call) { call.Write(kWhole); });
  GatewayPath path(RouteOf(RouteKind::kAtMostOnce, milliseconds(20'000), milliseconds(100)));
  path.SetUpstreams({upstream.Address()});
  path.phase = StopPhase::kClosing;
  path.ends_at = SystemClock().Now() + seconds(1);
  const auto caller = path.Connect();
  const std::string bytes = Request();
  caller->Write(bytes.substr(0, bytes.size() - 1), SystemClock().Now() + seconds(10));
  CHECK(GatewayPath::Read(*caller).Status() == 503);
  CHECK(upstream.Calls() == 0);
}

/// A gateway with one idempotent route to one upstream, under a lease of a control host.
std::unique_ptr<GatewayServer> StartGateway(const std::string& control, const std::string& upstream,
                                            int max_connections,
                                            EdgeProtocol edge = fakes::TestEdge()) {
  edge.read_declaration = [](const std::string&) -> Result<RouteTable> {
    Route route = RouteOf(RouteKind::kIdempotent, milliseconds(20'000), milliseconds(5000));
    route.id = RouteId("route");
    route.host = "host";
    route.path_prefix = "/";
    route.targets = {{fakes::kService, 1}};
    RouteTable table;
    table.revision = 1;
    table.routes.emplace(route.id, route);
    table.services[fakes::kService] = {fakes::kService, 0, {}, true, 1, {}};
    IndexRoutes(table);
    return table;
  };
  GatewayOptions options;
  options.node = NodeId("entry");
  options.shared_secret = fakes::kGatewaySecret;
  options.control_addresses = {control};
  options.caller_address = "127.0.0.1:0";
  options.status_address = "127.0.0.1:0";
  options.renew_interval = milliseconds(50);
  options.max_connections = max_connections;
  options.stop_accepting_after = Duration::zero();
  return HandleErrors(
      [&]() -> Result<std::unique_ptr<GatewayServer>> {
        return GatewayServer::Start(options, edge, [upstream]() -> Result<UpstreamList> {
          ListedUpstream listed;
          listed.id = UpstreamId("u");
          listed.service = fakes::kService;
          listed.address = upstream;
          listed.version = VersionId("v1");
          return UpstreamList{listed};
        });
      },
      [](const Error&) { return std::unique_ptr<GatewayServer>(); });
}

std::unique_ptr<net::SocketStream> SendTo(const std::string& address) {
  net::IoEnd end = net::IoEnd::kDone;
  auto caller =
      net::SocketStream::Connect(address, SystemClock().Now() + seconds(10), nullptr, end);
  caller->Write(Request("Wait-Ms: 8000\r\n"), SystemClock().Now() + seconds(10));
  return caller;
}

/// Whether the metrics of the gateway hold a line.
bool HasMetric(const GatewayServer& gateway, const std::string& line) {
  net::HttpClient client(gateway.StatusAddress(), {});
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(answer, client.Call({"GET", "/metrics", {}, ""}));
        return answer.body.find(line + "\n") != std::string::npos;
      },
      [](const Error&) { return false; });
}

// Guards against a stop that does not wait for what a young process has read.
TEST_CASE("a request that waits for the first configuration is answered before a stop ends") {
  RawUpstream upstream([](const RawCall& call) { call.Write(kWhole); });
  const auto gateway = StartGateway("127.0.0.1:1", upstream.Address(), 8);
  REQUIRE(gateway != nullptr);
  const auto caller = SendTo(gateway->CallerAddress());
  REQUIRE(fakes::WaitUntil([&] { return HasMetric(*gateway, "masticrill_gateway_in_flight 1"); }));
  gateway->Stop();
  CHECK(HasMetric(*gateway, "masticrill_gateway_in_flight 0"));
  CHECK(GatewayPath::Read(*caller).Status() == 503);
}

// Guards against connections that were accepted, or completed by the system, and are dropped when
// accepting stops.
TEST_CASE("a request on a connection that waits for a thread when a stop begins is answered") {
  constexpr int kConnections = 4;
  fakes::FakeControlHost control;
  control.length_ms = 60'000;
  std::atomic<bool> released = false;
  RawUpstream upstream([&](const RawCall& call) {
    fakes::WaitUntil([&] { return released.load(); });
    call.Write(kWhole);
  });
  const auto gateway = StartGateway(control.Address(), upstream.Address(), kConnections);
  REQUIRE(gateway != nullptr);
  REQUIRE(fakes::WaitUntil([&] { return gateway->IsReady(); }));
  std::vector<std::unique_ptr<net::SocketStream>> served;
  for (int index = 0; index < kConnections; ++index) {
    served.push_back(SendTo(gateway->CallerAddress()));
  }
  REQUIRE(fakes::WaitUntil([&] { return upstream.Calls() == kConnections; }));
  std::vector<std::unique_ptr<net::SocketStream>> waiting;
  for (int index = 0; index < kConnections; ++index) {
    waiting.push_back(SendTo(gateway->CallerAddress()));
  }
  std::thread stopper([&] { gateway->Stop(); });
  const auto is_refused = [&] {
    net::IoEnd end = net::IoEnd::kDone;
    return net::SocketStream::Connect(gateway->CallerAddress(), SystemClock().Now() + seconds(10),
                                      nullptr, end) == nullptr;
  };
  CHECK(fakes::WaitUntil(is_refused));
  released = true;
  for (const auto& caller : served) {
    CHECK(GatewayPath::Read(*caller).Status() == 200);
  }
  for (const auto& caller : waiting) {
    CHECK(GatewayPath::Read(*caller).Status() != 0);
  }
  stopper.join();
}

// Guards against an exception that closes a connection without an answer and leaves it counted, so
// that a stop waits for it.
TEST_CASE("a request that fails by an exception is answered, and its connection goes on") {
  fakes::FakeControlHost control;
  RawUpstream upstream([](const RawCall& call) { call.Write(kWhole); });
  EdgeProtocol edge = fakes::TestEdge();
  edge.read_call = [](const net::RequestHead&) -> CallMetadata {
    throw std::runtime_error("a field that cannot be read");
  };
  const auto gateway = StartGateway(control.Address(), upstream.Address(), 4, edge);
  REQUIRE(gateway != nullptr);
  for (int request = 0; request < 3; ++request) {
    CHECK(GatewayPath::Read(*SendTo(gateway->CallerAddress())).Status() == 500);
  }
  CHECK(fakes::WaitUntil([&] { return HasMetric(*gateway, "masticrill_gateway_connections 0"); }));
  CHECK(HasMetric(*gateway, "masticrill_gateway_in_flight 0"));
}

}  // namespace
}  // namespace masticrill::gateway
