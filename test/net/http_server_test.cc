#include "masticrill/net/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fakes/wait_until.h"
#include "masticrill/net/http_client.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::net {
namespace {

constexpr seconds kTestTimeout{20};
const std::string kRequest = "GET /last HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";

std::unique_ptr<HttpServer> StartServer(int max_connections, HttpServer::Handler handler) {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.max_connections = max_connections;
  options.first_request_timeout = kTestTimeout;
  return HandleErrors([&] { return HttpServer::Start(options, std::move(handler)); },
                      [](const Error& error) {
                        FAIL(error.message);
                        return std::unique_ptr<HttpServer>();
                      });
}

std::unique_ptr<SocketStream> Connect(const std::string& address) {
  IoEnd end = IoEnd::kDone;
  auto stream = SocketStream::Connect(address, SystemClock().Now() + kTestTimeout, nullptr, end);
  REQUIRE(stream != nullptr);
  return stream;
}

void Send(SocketStream& stream) {
  REQUIRE(stream.Write(kRequest, SystemClock().Now() + kTestTimeout) == IoEnd::kDone);
}

/// All that comes until the server closes.
std::string ReadAll(SocketStream& stream) {
  while (stream.Fill(SystemClock().Now() + kTestTimeout) == IoEnd::kDone) {
  }
  return std::string(stream.Buffered());
}

bool IsWholeAnswer(const std::string& text) {
  return text.starts_with("HTTP/1.1 200 OK\r\n") && text.ends_with("\r\n\r\nok");
}

/// Holds requests to /held until it is told to let them go; answers all others at once.
class HoldingHandler {
 public:
  void operator()(const HttpRequest& request, HttpResponder& responder) {
    if (request.path == "/held") {
      ++this->held;
      this->release.wait(false);
    }
    responder.SendWhole({200, {}, "ok"});
  }

  void Release() {
    this->release = true;
    this->release.notify_all();
  }

  std::atomic<int> held = 0;

 private:
  std::atomic<bool> release = false;
};

/// Calls until the first request is in its handler; the answer's status is 0 until it comes.
struct HeldCall {
  HeldCall(const HttpServer& server, const HoldingHandler& handler)
      : thread([this, address = server.Address()] {
          HttpClient client(address, {});
          this->end = client.Stream(
              {"GET", "/held"}, false, nullptr, [](int, const auto&) {},
              [](std::string_view) { return true; });
        }) {
    fakes::WaitUntil([&] { return handler.held == 1; });
  }

  std::atomic<HttpCallEnd> end = HttpCallEnd::kConnectFailed;
  std::thread thread;
};

// Guards against a caller that is taken to wait, although it has left, since it sent more before.
TEST_CASE("a caller that has left is seen also behind bytes that it sent ahead") {
  std::atomic<bool> seen = false;
  std::atomic<bool> was_there = false;
  std::atomic<bool> closed = false;
  auto server = StartServer(2, [&](const HttpRequest&, HttpResponder& responder) {
    was_there = !responder.CallerLeft();
    fakes::WaitUntil([&] { return closed.load(); });
    seen = fakes::WaitUntil([&] { return responder.CallerLeft(); });
  });
  const auto caller = Connect(server->Address());
  Send(*caller);
  REQUIRE(fakes::WaitUntil([&] { return was_there.load(); }));
  // Comes too late to be read together with the first request.
  Send(*caller);
  caller->Close();
  closed = true;
  server->Stop();
  CHECK(seen);
}

// Guards against a request that ends without an answer because its handler failed.
TEST_CASE("a request whose handler throws is answered 500") {
  auto server = StartServer(2, [](const HttpRequest&, HttpResponder&) {
    throw std::runtime_error("the handler failed");
  });
  for (const bool keep : {false, true}) {
    HttpClient client(server->Address(), {});
    int status = 0;
    const HttpCallEnd end = client.Stream(
        {"GET", "/"}, keep, nullptr, [&](int received, const auto&) { status = received; },
        [](std::string_view) { return true; });
    CHECK(end == HttpCallEnd::kComplete);
    CHECK(status == 500);
  }
}

// Guards against an answer that looks whole although its handler failed in the middle of it.
TEST_CASE("an answer in parts whose handler throws is cut") {
  auto server = StartServer(2, [](const HttpRequest&, HttpResponder& responder) {
    responder.BeginStream(200, {});
    responder.Write("first part");
    throw std::runtime_error("the handler failed");
  });
  HttpClient client(server->Address(), {});
  std::string body;
  const HttpCallEnd end = client.Stream(
      {"GET", "/"}, false, nullptr, [](int, const auto&) {},
      [&](std::string_view data) {
        body += data;
        return true;
      });
  CHECK(end == HttpCallEnd::kReset);
  CHECK(body == "first part");
}

// Guards against accepted connections that are closed without an answer when a stop begins.
TEST_CASE("a connection that waits for a thread when a stop begins is answered") {
  HoldingHandler handler;
  auto server = StartServer(1, std::ref(handler));
  HeldCall held(*server, handler);
  std::vector<std::unique_ptr<SocketStream>> waiting;
  for (int index = 0; index < 4; ++index) {
    waiting.push_back(Connect(server->Address()));
    Send(*waiting.back());
  }
  server->StopAccepting();
  std::thread stopper([&] { server->Stop(); });
  handler.Release();
  for (const auto& stream : waiting) {
    CHECK(IsWholeAnswer(ReadAll(*stream)));
  }
  held.thread.join();
  CHECK(held.end == HttpCallEnd::kComplete);
  stopper.join();
}

// Guards against a stop that closes a connection whose first request is on its way.
TEST_CASE("a first request that comes while the server stops is answered") {
  HoldingHandler handler;
  auto server = StartServer(16, std::ref(handler));
  std::vector<std::unique_ptr<SocketStream>> late;
  for (int index = 0; index < 8; ++index) {
    late.push_back(Connect(server->Address()));
  }
  fakes::WaitUntil([&] { return server->OpenConnections() == 8; });
  HeldCall held(*server, handler);
  server->StopAccepting();
  std::thread stopper([&] { server->Stop(); });
  for (const auto& stream : late) {
    Send(*stream);
    CHECK(IsWholeAnswer(ReadAll(*stream)));
  }
  handler.Release();
  held.thread.join();
  CHECK(held.end == HttpCallEnd::kComplete);
  stopper.join();
}

// Guards against callers that wait in the listener of a stopping server until its process ends.
TEST_CASE("a caller that comes after a stop began is refused a connection") {
  HoldingHandler handler;
  auto server = StartServer(4, std::ref(handler));
  HeldCall held(*server, handler);
  server->StopAccepting();
  HttpClientOptions options;
  options.read_timeout = milliseconds(500);
  HttpClient client(server->Address(), options);
  const HttpCallEnd end = client.Stream(
      {"GET", "/"}, false, nullptr, [](int, const auto&) {}, [](std::string_view) { return true; });
  CHECK(end == HttpCallEnd::kConnectFailed);
  handler.Release();
  held.thread.join();
}

// Guards against a kept connection that holds up a stop, or is used by a caller after it.
TEST_CASE("a stop closes idle kept connections and ends those in use with their answer") {
  HoldingHandler handler;
  auto server = StartServer(4, std::ref(handler));
  HttpClient client(server->Address(), {});
  const auto call = [&](const std::string& path) {
    return client.Stream(
        {"GET", path}, true, nullptr, [](int, const auto&) {},
        [](std::string_view) { return true; });
  };
  CHECK(call("/") == HttpCallEnd::kComplete);
  HeldCall held(*server, handler);
  REQUIRE(server->OpenConnections() == 2);
  server->StopAccepting();
  std::thread stopper([&] { server->Stop(); });
  const bool idle_closed = fakes::WaitUntil(
      [&] { return server->OpenConnections() == 1 || held.end != HttpCallEnd::kConnectFailed; });
  CHECK(idle_closed);
  handler.Release();
  stopper.join();
  CHECK(server->OpenConnections() == 0);
  held.thread.join();
  CHECK(held.end == HttpCallEnd::kComplete);
}

}  // namespace
}  // namespace masticrill::net
