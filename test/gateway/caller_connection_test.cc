#include "gateway/caller_connection.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"
#include "fakes/wait_until.h"

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

/// A connection that is served on a thread of its own, whose receive queue can be looked at. The
/// caller sees the end of what is sent to it, but not that the descriptor is closed.
class ObservedConnection {
 public:
  /// `phase` is called by the connection's thread.
  explicit ObservedConnection(std::function<StopPhase()> phase) {
    net::IoEnd end = net::IoEnd::kDone;
    this->caller = net::SocketStream::Connect(this->listener.address().toString(),
                                              SystemClock().Now() + seconds(10), nullptr, end);
    Poco::Net::StreamSocket accepted = this->listener.acceptConnection();
    this->observer = ::dup(static_cast<int>(accepted.impl()->sockfd()));
    this->thread = std::thread([this, accepted, phase = std::move(phase)] {
      CallerConnection connection(
          net::SocketStream(accepted), [] { return CallerLimits{}; }, phase,
          [] { return std::nullopt; },
          {this->buffers, this->reads, [](const net::RequestHead&) { return std::string(); },
           milliseconds(100)},
          [](const net::RequestHead&, const std::string&, CallerStream& stream, TimePoint) {
            stream.SendWhole(200, {}, "ok", SystemClock().Now() + seconds(10));
          });
      connection.Run();
      this->ended = true;
    });
  }
  ~ObservedConnection() {
    this->thread.join();
    ::close(this->observer);
  }
  ObservedConnection(const ObservedConnection&) = delete;
  ObservedConnection& operator=(const ObservedConnection&) = delete;

  bool HasUnreadBytes() const {
    char byte = 0;
    return ::recv(this->observer, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  std::unique_ptr<net::SocketStream> caller;
  std::atomic<bool> ended = false;

 private:
  BufferBudget buffers{std::size_t{1} << 20U};
  net::PendingReads reads{seconds(60)};
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  int observer = -1;
  std::thread thread;
};

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

// Guards against requests that were read together with the one before, or arrived during it, and
// are dropped when a stop has begun meanwhile.
TEST_CASE("a request that has arrived when the answer before it ends is answered during a stop") {
  for (const StopPhase phase : {StopPhase::kStopping, StopPhase::kClosing}) {
    for (const bool is_pipelined : {true, false}) {
      CAPTURE(ToString(phase));
      CAPTURE(is_pipelined);
      std::unique_ptr<net::SocketStream> caller;
      GatewayPath* stopping = nullptr;
      RawUpstream upstream([&](const RawCall& call) {
        if (stopping->phase.exchange(phase) == StopPhase::kServing && !is_pipelined) {
          caller->Write(kGet, SystemClock().Now() + seconds(10));
        }
        call.Write(kAnswer);
      });
      GatewayPath path(IdempotentRoute());
      stopping = &path;
      path.SetUpstreams({upstream.Address()});
      caller = path.Connect();
      caller->Write(is_pipelined ? kGet + kGet : kGet, SystemClock().Now() + seconds(10));
      const fakes::CallerSaw saw = GatewayPath::Read(*caller);
      CHECK(upstream.Calls() == 2);
      const std::size_t second = saw.bytes.find("HTTP/1.1 200", 1);
      CHECK(second != std::string::npos);
      CHECK(saw.bytes.find("Connection: close", second) != std::string::npos);
      CHECK(saw.bytes.ends_with("ok"));
      CHECK(saw.end == net::IoEnd::kClosed);
    }
  }
}

// Guards against an idle connection that is closed over a request that has just arrived.
TEST_CASE("a request that arrives right before an idle connection is closed is answered") {
  const ObservedConnection* observed = nullptr;
  std::atomic<bool> connected = false;
  bool is_sent = false;
  ObservedConnection connection([&] {
    fakes::WaitUntil([&] { return connected.load(); });
    if (!std::exchange(is_sent, true)) {
      observed->caller->Write(kGet, SystemClock().Now() + seconds(10));
      fakes::WaitUntil([&] { return observed->HasUnreadBytes(); });
    }
    return StopPhase::kClosing;
  });
  observed = &connection;
  connected = true;
  CHECK(ReadUntil(*connection.caller, "ok").starts_with("HTTP/1.1 200"));
}

// Guards against a request that crosses the close and is read all the same: its caller cannot tell
// that it was not handled.
TEST_CASE("nothing more is read from an idle connection that is closed") {
  ObservedConnection connection([] { return StopPhase::kClosing; });
  REQUIRE(fakes::WaitUntil([&] { return connection.ended || connection.caller->PeerLeft(); }));
  connection.caller->Write(kGet, SystemClock().Now() + seconds(10));
  REQUIRE(fakes::WaitUntil([&] { return connection.ended.load(); }));
  CHECK(fakes::WaitUntil([&] { return connection.HasUnreadBytes(); }));
}

// Guards against the same after an answer whose head was sent before the stop began.
TEST_CASE("nothing more is read from a connection that is closed after an answer in a stop") {
  int asked = 0;
  ObservedConnection connection(
      [&] { return asked++ == 0 ? StopPhase::kServing : StopPhase::kStopping; });
  connection.caller->Write(kGet, SystemClock().Now() + seconds(10));
  CHECK(ReadUntil(*connection.caller, "ok").find("Connection: close") == std::string::npos);
  REQUIRE(fakes::WaitUntil([&] { return connection.ended || connection.caller->PeerLeft(); }));
  connection.caller->Write(kGet, SystemClock().Now() + seconds(10));
  REQUIRE(fakes::WaitUntil([&] { return connection.ended.load(); }));
  CHECK(fakes::WaitUntil([&] { return connection.HasUnreadBytes(); }));
}

}  // namespace
}  // namespace masticrill::gateway
