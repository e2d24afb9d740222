#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
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

const std::string kHead = "HTTP/1.1 200 OK\r\nSigned: 1\r\n";
const std::string kWhole = kHead + "Content-Length: 4\r\n\r\ngood";
const std::string kWholeStream = kHead + "\r\nid: 1\ndata: 1\n\n";
const std::string kPost =
    "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\n"
    "Key: good-key\r\nContent-Length: 0\r\n\r\n";

Route RouteOf(RouteKind kind, std::uint32_t max_attempts = 2) {
  Route route;
  route.kind = kind;
  route.max_attempts = max_attempts;
  route.resumable = kind == RouteKind::kStream;
  return route;
}

/// Writes a prefix, then the same bytes without end, until the other side closes the connection.
/// Counts what was written.
class EndlessUpstream {
 public:
  EndlessUpstream(const std::string& prefix, const std::string& repeated)
      : upstream([this, prefix, repeated](const RawCall& call) {
          constexpr std::size_t kBlockBytes = 16'384;
          std::string block;
          while (block.size() < kBlockBytes) {
            block += repeated;
          }
          bool goes_on = call.Write(prefix);
          while (goes_on) {
            goes_on = call.Write(block);
            this->written += block.size();
          }
          this->closed = true;
        }) {}

  std::string Address() const { return this->upstream.Address(); }
  bool AwaitClosed() const {
    return fakes::WaitUntil([this] { return this->closed.load(); });
  }
  std::size_t Written() const { return this->written; }

 private:
  std::atomic<bool> closed = false;
  std::atomic<std::size_t> written = 0;
  RawUpstream upstream;
};

/// Bytes that may wait in the buffers of a loopback connection.
constexpr std::size_t kSocketBytes = std::size_t{16} << 20U;

TEST_CASE("bytes without end in the head of an answer are cut off, and another upstream answers") {
  const std::pair<std::string, std::string> cases[] = {
      {"", "x"},
      {kHead, "Filler: x\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const auto& test_case : cases) {
    const std::string& prefix = test_case.first;
    const std::string& repeated = test_case.second;
    CAPTURE(repeated);
    const EndlessUpstream endless(prefix, repeated);
    RawUpstream healthy([](const RawCall& call) { call.Write(kWhole); });
    GatewayPath path(RouteOf(RouteKind::kIdempotent));
    path.SetUpstreams({endless.Address(), healthy.Address()});
    CHECK(path.Send(kPost).Status() == 200);
    CHECK(endless.AwaitClosed());
    CHECK(endless.Written() < path.settings.max_answer_head_bytes + kSocketBytes);
  }
}

TEST_CASE("a body without end is cut off, and another upstream answers") {
  const std::pair<std::string, std::string> cases[] = {
      {kHead + "\r\n", "x"},
      {kHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Filler: x\r\n"},
      {kHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
  };
  for (const auto& test_case : cases) {
    const std::string& prefix = test_case.first;
    const std::string& repeated = test_case.second;
    CAPTURE(prefix);
    const EndlessUpstream endless(prefix, repeated);
    RawUpstream healthy([](const RawCall& call) { call.Write(kWhole); });
    GatewayPath path(RouteOf(RouteKind::kIdempotent));
    path.SetUpstreams({endless.Address(), healthy.Address()});
    CHECK(path.Send(kPost).Status() == 200);
    CHECK(endless.AwaitClosed());
    CHECK(endless.Written() < 8 * path.settings.max_answer_bytes + kSocketBytes);
    CHECK(path.buffers.HeldBytes() == 0);
  }
}

TEST_CASE("an event without end is cut off, and the stream goes on elsewhere") {
  for (const std::string repeated : {"x", ": comment\n"}) {
    CAPTURE(repeated);
    const EndlessUpstream endless(kHead + "\r\n", repeated);
    RawUpstream healthy([](const RawCall& call) { call.Write(kWholeStream); });
    GatewayPath path(RouteOf(RouteKind::kStream));
    path.SetUpstreams({endless.Address(), healthy.Address()});
    const CallerSaw saw = path.Send(kPost);
    CHECK(saw.Status() == 200);
    CHECK(saw.Has("data: 1"));
    CHECK_FALSE(saw.Has("comment"));
    CHECK(endless.AwaitClosed());
    CHECK(endless.Written() < 2 * (std::size_t{1} << 20U) + kSocketBytes);
  }
}

TEST_CASE("what an upstream sends without end is over at the request's deadline") {
  // Whole events, and a head that comes byte by byte: neither is ever silent.
  const EndlessUpstream events(kHead + "\r\n", "id: 1\ndata: 1\n\n");
  Route stream = RouteOf(RouteKind::kStream, 1);
  stream.timeout = milliseconds(300);
  GatewayPath path(stream);
  path.SetUpstreams({events.Address()});
  const CallerSaw saw = path.Send(kPost);
  CHECK_FALSE(saw.bytes.ends_with("0\r\n\r\n"));
  CHECK(events.AwaitClosed());

  std::atomic<bool> closed = false;
  RawUpstream dripping([&](const RawCall& call) {
    while (call.Write("x")) {
      if (call.socket.Fill(SystemClock().Now() + milliseconds(5)) != net::IoEnd::kTimeout) {
        break;
      }
    }
    closed = true;
  });
  Route once = RouteOf(RouteKind::kAtMostOnce, 1);
  once.timeout = milliseconds(300);
  GatewayPath slow(once);
  slow.SetUpstreams({dripping.Address()});
  CHECK(slow.Send(kPost).Status() == 504);
  CHECK(fakes::WaitUntil([&] { return closed.load(); }));
}

TEST_CASE("answers that are buffered at the same time are bounded together") {
  const EndlessUpstream endless(kHead + "\r\n", "x");
  GatewayPath path(RouteOf(RouteKind::kAtMostOnce, 1));
  path.SetUpstreams({endless.Address()});
  // Other requests of the service have buffered nearly as much as it may hold.
  const std::size_t most = path.buffers.MaxBytes() / 4 * 3;
  BufferShare first(path.buffers, BufferKind::kRequestBody, "service " + fakes::kService.Value());
  REQUIRE(first.Resize(most));
  const std::size_t held = path.buffers.HeldBytes();
  CHECK(path.Send(kPost).Status() == 502);
  CHECK(endless.Written() < kSocketBytes);
  CHECK(path.buffers.HeldBytes() == held);
}

// Guards against a process that runs out of memory, since many streams carry an event, or many
// answers a head or a body, that does not end: each within its own bound.
TEST_CASE("bytes without end from many connections are bounded together, beside sound requests") {
  struct Form {
    RouteKind kind;
    std::string prefix;
    std::string repeated;
  };
  const Form forms[] = {
      {RouteKind::kStream, kHead + "\r\n", "x"},
      {RouteKind::kStream, kHead + "\r\n", ": comment\n"},
      {RouteKind::kAtMostOnce, kHead + "\r\n", "x"},
      {RouteKind::kAtMostOnce, kHead, "Filler: x\r\n"},
  };
  constexpr int kCalls = 40;
  constexpr std::size_t kBlockBytes = 8192;
  for (const Form& form : forms) {
    CAPTURE(form.prefix);
    CAPTURE(form.repeated);
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> most = 0;
    GatewayPath path(RouteOf(form.kind, 1), std::size_t{4} << 20U);
    // Each connection sends a block at a time, so that all grow together. The gateway passes
    // nothing on, so it holds what was sent on connections that are open.
    RawUpstream faulty([&](const RawCall& call) {
      std::string block;
      while (block.size() < kBlockBytes) {
        block += form.repeated;
      }
      std::size_t own = 0;
      bool goes_on = call.Write(form.prefix);
      while (goes_on) {
        goes_on = call.Write(block) &&
                  call.socket.Fill(SystemClock().Now() + milliseconds(5)) == net::IoEnd::kTimeout;
        own += block.size();
        most = std::max(most.load(), sent += block.size());
      }
      sent -= own;
    });
    path.SetUpstreams({faulty.Address()});
    std::vector<std::thread> callers;
    std::atomic<int> answered = 0;
    std::vector<std::unique_ptr<net::SocketStream>> connections;
    for (int call = 0; call < kCalls; ++call) {
      connections.push_back(path.Connect());
      connections.back()->Write(kPost, SystemClock().Now() + seconds(10));
    }
    for (const auto& connection : connections) {
      callers.emplace_back([&answered, &connection] {
        answered += GatewayPath::Read(*connection).bytes.ends_with("0\r\n\r\n") ? 1 : 0;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(answered == 0);
    // A few blocks of each connection may be on their way.
    CHECK(most <= path.buffers.MaxBytes() + kCalls * (BufferBudget::kFreeBytes + 8 * kBlockBytes));
    CHECK(path.buffers.HeldBytes() == 0);
  }
}

}  // namespace
}  // namespace masticrill::gateway
