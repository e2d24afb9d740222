#include <doctest/doctest.h>

#include <atomic>
#include <functional>
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

constexpr milliseconds kSilence{100};
/// Several times the silence after which a request looks for another upstream.
constexpr milliseconds kLongSilence{600};

const std::string kPost =
    "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n"
    "Parts: a,b,c\r\nContent-Length: 0\r\n\r\n";
const std::string kHead =
    "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
const std::string kEvent1 = "id: 1\ndata: 1\n\n";
const std::string kEvent2 = "id: 2\ndata: 2\n\n";
const std::string kChunk1 = "f\r\n" + kEvent1 + "\r\n";
const std::string kChunk2 = "f\r\n" + kEvent2 + "\r\n";
const std::string kLastChunk = "0\r\n\r\n";
const std::string kNotRun = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kWhole = "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood";

Route RouteOf(RouteKind kind, std::uint32_t max_attempts) {
  Route route;
  route.kind = kind;
  route.max_attempts = max_attempts;
  route.resumable = kind == RouteKind::kStream;
  route.latency_target = milliseconds(50);
  return route;
}

/// The events of a stream in chunked encoding, without the framing of its answer.
std::string EventsOf(const CallerSaw& saw) {
  std::string_view bytes = saw.bytes;
  bytes.remove_prefix(std::min(bytes.size(), bytes.find("\r\n\r\n") + 4));
  std::string text;
  net::BodyDecoder decoder(net::BodyFraming::kChunked);
  decoder.Feed(bytes, text);
  return decoder.Done() && bytes.empty() ? text : text + "(not complete)";
}

/// Sends nothing for several times the silence that the gateway bears, or until it closes.
void BeSilent(const RawCall& call) {
  const TimePoint until = SystemClock().Now() + Duration(kLongSilence);
  while (call.socket.Fill(until) == net::IoEnd::kDone) {
  }
}

void BearSilence(GatewayPath& path) {
  path.settings.upstream_silence = kSilence;
  path.settings.silence_check = milliseconds(20);
}

std::string ClosedAddress() {
  return RawUpstream([](const RawCall&) {}).Address();
}

/// A reason for which a request cannot go on at another upstream.
struct Obstacle {
  std::string name;
  bool has_second = true;
  bool second_runs = true;
  /// Put in its way once the first upstream works on the request.
  std::function<void(GatewayPath&, RouteKind)> raise = [](GatewayPath&, RouteKind) {};
};

std::vector<Obstacle> Obstacles() {
  const auto change_route = [](GatewayPath& path, RouteKind kind) {
    Route moved = RouteOf(kind, 3);
    moved.targets = {{ServiceId("other"), 1}};
    path.Declare(moved);
  };
  return {{.name = "there is no other upstream", .has_second = false},
          {.name = "no connection to the other upstream", .second_runs = false},
          {.name = "the other upstream is leaving",
           .raise = [](GatewayPath& path, RouteKind) { path.pool.OnLeaving(UpstreamId("u1")); }},
          {.name = "the other upstream has asked for a pause",
           .raise =
               [](GatewayPath& path, RouteKind) {
                 path.pool.OnPause(UpstreamId("u1"), seconds(30), SystemClock().Now());
               }},
          {.name = "a part of its prompt was blocked",
           .raise =
               [](GatewayPath& path, RouteKind) {
                 path.prompts.OnLease({PromptPartId("b")}, {}, SystemClock().Now());
               }},
          {.name = "the lease has ended",
           .raise = [](GatewayPath& path, RouteKind) { path.lease_valid = false; }},
          {.name = "its route leads elsewhere", .raise = change_route}};
}

// Guards against streams that are cut, although their upstream is only silent for a while, because
// it turned out too late that they could not go on elsewhere.
TEST_CASE("a stream stays at a silent upstream while it cannot go on elsewhere") {
  for (const Obstacle& obstacle : Obstacles()) {
    CAPTURE(obstacle.name);
    GatewayPath path(RouteOf(RouteKind::kStream, 3));
    BearSilence(path);
    RawUpstream silent([&](const RawCall& call) {
      call.Write(kHead + kChunk1);
      obstacle.raise(path, RouteKind::kStream);
      BeSilent(call);
      call.Write(kChunk2 + kLastChunk);
    });
    RawUpstream other([&](const RawCall& call) { call.Write(kHead + kChunk2 + kLastChunk); });
    std::vector<std::string> addresses = {silent.Address()};
    if (obstacle.has_second) {
      addresses.push_back(obstacle.second_runs ? other.Address() : ClosedAddress());
    }
    path.SetUpstreams(addresses);
    CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
    CHECK(other.Calls() == 0);
  }
}

// Guards against requests that are given up at a slow upstream, which would have answered, and then
// refused because no other one could take them.
TEST_CASE("a request stays at a slow upstream while it cannot go on elsewhere") {
  for (const Obstacle& obstacle : Obstacles()) {
    CAPTURE(obstacle.name);
    GatewayPath path(RouteOf(RouteKind::kIdempotent, 3));
    BearSilence(path);
    RawUpstream slow([&](const RawCall& call) {
      obstacle.raise(path, RouteKind::kIdempotent);
      BeSilent(call);
      call.Write(kWhole);
    });
    RawUpstream other([&](const RawCall& call) { call.Write(kWhole); });
    std::vector<std::string> addresses = {slow.Address()};
    if (obstacle.has_second) {
      addresses.push_back(obstacle.second_runs ? other.Address() : ClosedAddress());
    }
    path.SetUpstreams(addresses);
    CHECK(path.Send(kPost).Status() == 200);
    CHECK(other.Calls() == 0);
  }
}

// Guards against streams that are cut when the upstream that should take over does not run them.
TEST_CASE("a stream that the next upstream does not run is resumed at a further one") {
  for (const bool breaks : {false, true}) {
    CAPTURE(breaks);
    GatewayPath path(RouteOf(RouteKind::kStream, 2));
    BearSilence(path);
    RawUpstream first([&](const RawCall& call) {
      call.Write(kHead + kChunk1);
      if (!breaks) {
        BeSilent(call);
      }
    });
    RawUpstream sound([](const RawCall& call) { call.Write(kHead + kChunk2 + kLastChunk); });
    RawUpstream full([&](const RawCall& call) {
      path.SetUpstreams({first.Address(), ClosedAddress(), sound.Address()});
      call.Write(kNotRun);
    });
    path.SetUpstreams({first.Address(), full.Address()});
    CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
    CHECK(full.Calls() == 1);
    CHECK(sound.Calls() == 1);
  }
}

// Guards against streams that are cut because all upstreams are full for a moment.
TEST_CASE("a stream that breaks off while the other upstreams are full waits for a place") {
  GatewayPath path(RouteOf(RouteKind::kStream, 2));
  std::atomic<int> refusals = 0;
  RawUpstream second([&](const RawCall& call) {
    call.Write(++refusals <= 2 ? kNotRun : kHead + kChunk2 + kLastChunk);
  });
  // The first upstream does not come back.
  RawUpstream breaking([&](const RawCall& call) {
    path.SetUpstreams({ClosedAddress(), second.Address()});
    call.Write(kHead + kChunk1);
  });
  path.SetUpstreams({breaking.Address(), second.Address()});
  CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  CHECK(second.Calls() == 3);
}

// Guards against streams that are cut because the retry budget is empty for a moment.
TEST_CASE("a stream that breaks off waits for a place in the retry budget") {
  GatewayPath path(RouteOf(RouteKind::kStream, 2));
  std::atomic<bool> is_full = true;
  RawUpstream second([&](const RawCall& call) {
    call.Write(is_full ? kNotRun
                       : kHead + (call.Has("After: 1") ? "" : kChunk1) + kChunk2 + kLastChunk);
  });
  RawUpstream breaking([&](const RawCall& call) {
    path.SetUpstreams({ClosedAddress(), second.Address()});
    call.Write(kHead + kChunk1);
  });
  path.SetUpstreams({breaking.Address(), second.Address()});
  const auto caller = path.Connect();
  caller->Write(kPost, SystemClock().Now() + seconds(10));
  const int allowed = static_cast<int>(path.settings.retry_balance);
  REQUIRE(fakes::WaitUntil([&] { return second.Calls() == allowed; }));
  is_full = false;
  // Each request adds to the budget.
  CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  CHECK(EventsOf(GatewayPath::Read(*caller)) == kEvent1 + kEvent2);
  CHECK(second.Calls() == allowed + 3);
}

// Guards against callers that have left while their stream waits for an upstream.
TEST_CASE("a stream that waits for an upstream ends when its caller leaves") {
  GatewayPath path(RouteOf(RouteKind::kStream, 2));
  RawUpstream breaking([&](const RawCall& call) {
    path.SetUpstreams({ClosedAddress()});
    call.Write(kHead + kChunk1);
  });
  path.SetUpstreams({breaking.Address()});
  {
    const auto caller = path.Connect();
    caller->Write(kPost, SystemClock().Now() + seconds(10));
    std::string_view seen;
    while (seen.find(kEvent1) == std::string_view::npos &&
           caller->Fill(SystemClock().Now() + seconds(10)) == net::IoEnd::kDone) {
      seen = caller->Buffered();
    }
  }
  CHECK(fakes::WaitUntil([&] { return path.metrics.refusals.Get(RefusalKind::kCancelled) == 1; }));
}

// Guards against streams that are cut because their upstream broke off while the lease was not
// renewed for a moment.
TEST_CASE("a stream that breaks off while the lease has lapsed goes on when it is renewed") {
  GatewayPath path(RouteOf(RouteKind::kStream, 2));
  RawUpstream first([&](const RawCall& call) {
    path.lapsed_views = 3;
    call.Write(kHead + kChunk1);
  });
  RawUpstream second([](const RawCall& call) { call.Write(kHead + kChunk2 + kLastChunk); });
  path.SetUpstreams({first.Address(), second.Address()});
  CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  CHECK(second.Calls() == 1);
}

// Guards against streams that are cut by a change of their route which still allows them.
TEST_CASE("a stream that breaks off is resumed after a change of timeouts and weights") {
  for (const std::uint32_t weight : {0U, 3U}) {
    CAPTURE(weight);
    GatewayPath path(RouteOf(RouteKind::kStream, 2));
    RawUpstream first([&](const RawCall& call) {
      Route changed = RouteOf(RouteKind::kStream, 2);
      changed.timeout = milliseconds(7000);
      changed.latency_target = milliseconds(700);
      changed.targets = {{ServiceId("other"), 1}, {fakes::kService, weight}};
      path.Declare(changed);
      call.Write(kHead + kChunk1);
    });
    RawUpstream second([](const RawCall& call) { call.Write(kHead + kChunk2 + kLastChunk); });
    path.SetUpstreams({first.Address(), second.Address()});
    CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  }
}

// Guards against two upstreams that work on a request at the same time.
TEST_CASE("a request reaches the next upstream only after the connection to the first has closed") {
  GatewayPath path(RouteOf(RouteKind::kStream, 2));
  BearSilence(path);
  std::atomic<bool> closed = false;
  RawUpstream silent([&](const RawCall& call) {
    call.Write(kHead + kChunk1);
    closed = call.AwaitClose();
  });
  bool was_closed = false;
  RawUpstream second([&](const RawCall& call) {
    // The close was sent first; its reader may be a moment later.
    was_closed = fakes::WaitUntil([&] { return closed.load(); });
    call.Write(kHead + kChunk2 + kLastChunk);
  });
  path.SetUpstreams({silent.Address(), second.Address()});
  CHECK(EventsOf(path.Send(kPost)) == kEvent1 + kEvent2);
  CHECK(was_closed);
}

// Guards against an answer that is discarded for a stronger model's before another upstream is
// known to take the request.
TEST_CASE("an answer of a weak model is kept where no upstream can give a stronger one's") {
  for (const bool has_other : {false, true}) {
    CAPTURE(has_other);
    RawUpstream weak([](const RawCall& call) {
      call.Write(
          "HTTP/1.1 200 OK\r\nSigned: 1\r\nSure: 0.1\r\nLeaves: 1\r\n"
          "Content-Length: 4\r\n\r\nweak");
    });
    RawUpstream strong([](const RawCall& call) { call.Write(kWhole); });
    Route route = RouteOf(RouteKind::kIdempotent, 2);
    route.latency_target = milliseconds(5000);
    route.models = {ModelId("m0"), ModelId("m1")};
    GatewayPath path(route);
    path.SetUpstreams(has_other ? std::vector{weak.Address(), strong.Address()}
                                : std::vector{weak.Address()});
    const CallerSaw saw = path.Send(
        "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n"
        "Model: any\r\nContent-Length: 0\r\n\r\n");
    CHECK(saw.Status() == 200);
    CHECK(saw.bytes.ends_with(has_other ? "good" : "weak"));
  }
}

}  // namespace
}  // namespace masticrill::gateway
