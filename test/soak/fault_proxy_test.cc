#include "soak/fault_proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>

#include "masticrill/net/http_client.h"
#include "masticrill/net/http_server.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::soak {
namespace {

constexpr milliseconds kSilenceTimeout{400};

/// A server that counts its requests, behind a proxy.
class ProxiedServer {
 public:
  ProxiedServer()
      : server(HandleErrors(
            [this] {
              return net::HttpServer::Start(
                  {.address = "127.0.0.1:0"},
                  [this](const net::HttpRequest&, net::HttpResponder& responder) {
                    ++this->requests;
                    responder.SendWhole({200, {}, "answer"});
                  });
            },
            [](const Error&) { return std::unique_ptr<net::HttpServer>(); })),
        proxy(this->server->Address()) {}

  /// The status of a call on a new connection; 0 when it gets no answer.
  int Ask() {
    net::HttpClient client(this->proxy.Address(), {.read_timeout = kSilenceTimeout});
    return HandleErrors([&] { return client.Call({}); },
                        [](const Error&) {
                          return net::HttpAnswer{0, {}, {}};
                        })
        .status;
  }

  std::atomic<int> requests = 0;
  std::unique_ptr<net::HttpServer> server;
  FaultProxy proxy;
};

TEST_CASE("a proxy passes calls on, and again after each fault") {
  ProxiedServer proxied;
  for (const LinkFault fault :
       {LinkFault::kNone, LinkFault::kReset, LinkFault::kCutForward, LinkFault::kSilence}) {
    CAPTURE(ToString(fault));
    const int before = proxied.requests;
    proxied.proxy.Set(fault);
    const bool passes = fault == LinkFault::kNone;
    CHECK(proxied.Ask() == (passes ? 200 : 0));
    CHECK(proxied.requests - before == (passes ? 1 : 0));
    proxied.proxy.Set(LinkFault::kNone);
    CHECK(proxied.Ask() == 200);
  }
}

TEST_CASE("a proxy that is cut back lets requests through and holds the answers") {
  ProxiedServer proxied;
  proxied.proxy.Set(LinkFault::kCutBack);
  CHECK(proxied.Ask() == 0);
  CHECK(proxied.requests == 1);
}

TEST_CASE("an answer that is cut at any place is not taken for a whole one") {
  ProxiedServer proxied;
  constexpr int kPlaces = 9;
  proxied.proxy.Set(LinkFault::kCutAnswers);
  for (int place = 0; place < kPlaces; ++place) {
    CAPTURE(place);
    CHECK(proxied.Ask() == 0);
  }
  CHECK(proxied.requests == kPlaces);
  proxied.proxy.Set(LinkFault::kNone);
  CHECK(proxied.Ask() == 200);
}

TEST_CASE("a delay is seen by the caller and loses nothing") {
  ProxiedServer proxied;
  proxied.proxy.Set(LinkFault::kDelay);
  const TimePoint begin = SystemClock().Now();
  CHECK(proxied.Ask() == 200);
  CHECK(SystemClock().Now() - begin >= 2 * kLinkDelay);
}

TEST_CASE("old connections stay silent for good while new ones work") {
  ProxiedServer proxied;
  const SystemClock clock;
  net::IoEnd end = net::IoEnd::kDone;
  const auto old = net::SocketStream::Connect(proxied.proxy.Address(),
                                              clock.Now() + kSilenceTimeout, nullptr, end);
  REQUIRE(old != nullptr);
  const auto ask_old = [&] {
    old->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n", clock.Now() + kSilenceTimeout);
    return old->Fill(clock.Now() + kSilenceTimeout);
  };
  CHECK(ask_old() == net::IoEnd::kDone);
  proxied.proxy.Set(LinkFault::kSilenceOld);
  CHECK(proxied.Ask() == 200);
  proxied.proxy.Set(LinkFault::kNone);
  CHECK(ask_old() == net::IoEnd::kTimeout);
}

}  // namespace
}  // namespace masticrill::soak
