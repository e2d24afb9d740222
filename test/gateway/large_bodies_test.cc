#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"
#include "fakes/wait_until.h"

namespace masticrill::gateway {
namespace {

using fakes::CallerSaw;
using fakes::GatewayPath;
using fakes::RawCall;
using fakes::RawUpstream;

constexpr std::size_t kBudgetBytes = std::size_t{1} << 20U;
constexpr std::size_t kBodyBytes = 200'000;
/// A team may hold three quarters of the budget.
constexpr int kBodiesWithRoom = 4;

std::string HeadOf(const std::string& framing) {
  return "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n" +
         framing + "\r\n\r\n";
}

std::string Declared(std::size_t bytes) {
  return HeadOf("Content-Length: " + std::to_string(bytes)) + std::string(bytes, 'x');
}

std::string Chunked(std::size_t bytes) {
  constexpr std::size_t kChunkBytes = 4096;
  std::string text = HeadOf("Transfer-Encoding: chunked");
  for (std::size_t sent = 0; sent < bytes; sent += kChunkBytes) {
    text += "1000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

Route OnceRoute() {
  Route route;
  route.kind = RouteKind::kAtMostOnce;
  return route;
}

/// An upstream that holds large requests until it is told to let them go.
class HoldingUpstream {
 public:
  std::string Address() const { return this->upstream.Address(); }
  int Calls() const { return this->upstream.Calls(); }
  void Release() { this->released = true; }

 private:
  std::atomic<bool> released = false;
  RawUpstream upstream{[this](const RawCall& call) {
    if (call.Has("Content-Length: 4\r\n") ||
        fakes::WaitUntil([this] { return this->released.load(); })) {
      call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood");
    }
  }};
};

// Guards against a process that runs out of memory by the bodies of many callers, each within its
// own bound, and loses the requests of all.
TEST_CASE("bodies beyond the budget are refused, and have not run; small requests go on") {
  for (const bool is_chunked : {false, true}) {
    CAPTURE(is_chunked);
    HoldingUpstream upstream;
    GatewayPath path(OnceRoute(), kBudgetBytes);
    path.SetUpstreams({upstream.Address()});
    const std::string request = is_chunked ? Chunked(kBodyBytes) : Declared(kBodyBytes);
    std::vector<std::unique_ptr<net::SocketStream>> callers;
    // A buffer of unknown length grows in steps, which take up to twice as much.
    const int expected = is_chunked ? kBodiesWithRoom / 2 : kBodiesWithRoom;
    int refused = 0;
    for (int caller = 0; caller < 3 * kBodiesWithRoom; ++caller) {
      auto connection = path.Connect();
      connection->Write(request, SystemClock().Now() + seconds(10));
      const int sent = caller - refused + 1;
      bool is_refused = false;
      REQUIRE(fakes::WaitUntil([&] {
        is_refused = connection->Readable();
        return is_refused || upstream.Calls() == sent;
      }));
      if (!is_refused) {
        callers.push_back(std::move(connection));
        continue;
      }
      ++refused;
      const CallerSaw saw = GatewayPath::Read(*connection);
      CHECK(saw.Status() == 503);
      CHECK(saw.Has("Retry-After: 0.40\r\n"));
    }
    CHECK(static_cast<int>(callers.size()) >= expected);
    CHECK(refused > 0);
    CHECK(path.buffers.HeldBytes() <= kBudgetBytes);
    CHECK(upstream.Calls() == static_cast<int>(callers.size()));
    CHECK(path.Send(Declared(4)).Status() == 200);
    upstream.Release();
    for (const auto& caller : callers) {
      CHECK(GatewayPath::Read(*caller).Status() == 200);
    }
    CHECK(path.Send(request).Status() == 200);
    CHECK(path.buffers.HeldBytes() == 0);
  }
}

// Guards against a body that is read to its limit although its length was declared to be beyond it.
TEST_CASE("a body that is declared too large is refused before it is read") {
  RawUpstream upstream([](const RawCall&) {});
  GatewayPath path(OnceRoute());
  path.SetUpstreams({upstream.Address()});
  const std::size_t too_large = CallerLimits().max_body_bytes + 1;
  const CallerSaw saw = path.Send(HeadOf("Content-Length: " + std::to_string(too_large)));
  CHECK(saw.Status() == 413);
  CHECK(upstream.Calls() == 0);
}

}  // namespace
}  // namespace masticrill::gateway
