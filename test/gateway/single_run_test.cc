#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"

namespace masticrill::gateway {
namespace {

using fakes::CallerSaw;
using fakes::GatewayPath;
using fakes::RawCall;
using fakes::RawUpstream;

const std::string kPost =
    "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nConnection: close\r\nKey: good-key\r\n"
    "Model: any\r\nContent-Length: 4\r\n\r\nbody";
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n";
const std::string kEvent = "id: 1\ndata: 1\n\n";
const std::string kChunk = "f\r\n" + kEvent + "\r\n";
const std::string kLastChunk = "0\r\n\r\n";

/// A kind of route whose requests must not run twice, or may.
struct Kind {
  std::string name;
  RouteKind kind = RouteKind::kAtMostOnce;
  bool resumable = false;
  bool repeatable = false;
};

const std::vector<Kind> kKinds = {
    {"at most once", RouteKind::kAtMostOnce, false, false},
    {"stream that cannot resume", RouteKind::kStream, false, false},
    {"idempotent", RouteKind::kIdempotent, false, true},
    {"stream that can resume", RouteKind::kStream, true, true},
};

/// What an upstream answers that is a reason to ask another one.
struct Reason {
  std::string name;
  std::string stream_answer;
  std::string whole_answer;
  /// Whether a request that must not run twice is answered with it nevertheless.
  bool is_answer = false;
};

const std::vector<Reason> kReasons = {
    {"weak answer", kStreamHead + "Sure: 0.1\r\n\r\n" + kChunk + kLastChunk,
     "HTTP/1.1 200 OK\r\nSigned: 1\r\nSure: 0.1\r\nContent-Length: 4\r\n\r\nweak", true},
    {"server error", "HTTP/1.1 500 Bad\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nbad",
     "HTTP/1.1 500 Bad\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nbad"},
    {"cut head", "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Ty", "HTTP/1.1 200 OK\r\nSigned"},
    {"no answer", "", ""},
    {"cut before the first event", kStreamHead + "\r\n5\r\nid: 1",
     "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\n"},
    {"cut after the first bytes", kStreamHead + "\r\n" + kChunk,
     "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nha"},
};

Route RouteOf(const Kind& kind) {
  Route route;
  route.kind = kind.kind;
  route.resumable = kind.resumable;
  route.max_attempts = 3;
  route.timeout = milliseconds(2000);
  route.models = {ModelId("small"), ModelId("large")};
  return route;
}

// Guards against a second run, of whatever cause, of a request that must not run twice.
TEST_CASE("a request that must not run twice reaches one upstream, whatever that one answers") {
  for (const Kind& kind : kKinds) {
    for (const Reason& reason : kReasons) {
      CAPTURE(kind.name);
      CAPTURE(reason.name);
      const bool is_stream = kind.kind == RouteKind::kStream;
      const std::string& bytes = is_stream ? reason.stream_answer : reason.whole_answer;
      const RawUpstream::Handler handler = [&](const RawCall& call) { call.Write(bytes); };
      RawUpstream first(handler);
      RawUpstream second(handler);
      GatewayPath path(RouteOf(kind));
      path.SetUpstreams({first.Address(), second.Address()});
      const CallerSaw saw = path.Send(kPost);
      const int runs = first.Calls() + second.Calls();
      if (kind.repeatable) {
        CHECK(runs > 1);
        continue;
      }
      CHECK(runs == 1);
      CHECK_FALSE(saw.Has("not_run\":true"));
      if (reason.is_answer) {
        CHECK(saw.Status() == 200);
        CHECK(saw.bytes.ends_with(is_stream ? kChunk + kLastChunk : "weak"));
      } else {
        CHECK_FALSE(saw.bytes.ends_with(kLastChunk));
      }
    }
  }
}

// Guards against a first model chosen as if a stronger one could follow.
TEST_CASE("the model of a request that runs once follows what the models have shown") {
  std::vector<std::string> models;
  RawUpstream upstream([&](const RawCall& call) {
    models.emplace_back(call.Has("Use-Model: small") ? "small" : "large");
    call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nSure: 0.9\r\nContent-Length: 4\r\n\r\ngood");
  });
  GatewayPath path(RouteOf(kKinds.front()));
  path.SetUpstreams({upstream.Address()});
  CHECK(path.Send(kPost).Status() == 200);
  for (int answer = 0; answer < 100; ++answer) {
    path.model_confidence.Add({"route", 0}, ModelId("small"), 0.9);
  }
  CHECK(path.Send(kPost).Status() == 200);
  CHECK(models == std::vector<std::string>{"large", "small"});
}

}  // namespace
}  // namespace masticrill::gateway
