#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>

#include "fakes/gateway_caller.h"
#include "fakes/gateway_control_host.h"
#include "fakes/wait_until.h"
#include "masticrill/gateway/gateway_server.h"

namespace masticrill::gateway {
namespace {

using fakes::FakeControlHost;

RouteTable EmptyTable(std::uint64_t revision) {
  RouteTable table;
  table.revision = revision;
  return table;
}

int StatusOf(const std::string& address) {
  net::IoEnd end = net::IoEnd::kDone;
  const auto caller =
      net::SocketStream::Connect(address, SystemClock().Now() + seconds(10), nullptr, end);
  caller->Write("GET / HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n",
                SystemClock().Now() + seconds(10));
  return fakes::GatewayPath::Read(*caller).Status();
}

// Guards against requests that are handled under the former configuration with the lease of the
// next one, while that is still being decoded.
TEST_CASE("a lease covers no requests until its own configuration is decoded") {
  FakeControlHost control;
  std::atomic<bool> decoding = false;
  std::atomic<bool> may_decode = false;
  EdgeProtocol edge = fakes::TestEdge();
  edge.read_declaration =
      [&, count = std::make_shared<std::atomic<int>>(0)](const std::string&) -> Result<RouteTable> {
    const int revision = ++*count;
    if (revision == 2) {
      decoding = true;
      fakes::WaitUntil([&] { return may_decode.load(); });
    }
    return EmptyTable(static_cast<std::uint64_t>(revision));
  };
  GatewayOptions options;
  options.node = NodeId("entry");
  options.shared_secret = fakes::kGatewaySecret;
  options.control_addresses = {control.Address()};
  options.caller_address = "127.0.0.1:0";
  options.status_address = "127.0.0.1:0";
  options.renew_interval = milliseconds(50);
  const std::unique_ptr<GatewayServer> gateway = HandleErrors(
      [&]() -> Result<std::unique_ptr<GatewayServer>> {
        return GatewayServer::Start(options, edge,
                                    []() -> Result<UpstreamList> { return UpstreamList{}; });
      },
      [](const Error&) { return std::unique_ptr<GatewayServer>(); });
  REQUIRE(gateway != nullptr);
  // No route matches: 404 is an answer under a configuration, 503 says that there is none.
  REQUIRE(fakes::WaitUntil([&] { return StatusOf(gateway->CallerAddress()) == 404; }));
  control.length_ms = 4000;
  control.number = 2;
  REQUIRE(fakes::WaitUntil([&] { return decoding.load(); }));
  const TimePoint former_end = SystemClock().Now() + milliseconds(500);
  fakes::WaitUntil([&] { return SystemClock().Now() > former_end; });
  CHECK(StatusOf(gateway->CallerAddress()) == 503);
  may_decode = true;
  CHECK(fakes::WaitUntil([&] { return StatusOf(gateway->CallerAddress()) == 404; }));
}

}  // namespace
}  // namespace masticrill::gateway
