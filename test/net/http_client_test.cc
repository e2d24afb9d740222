#include "masticrill/net/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/wait_until.h"

namespace masticrill::net {
namespace {

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that keeps connections, answers each request with its path, and writes some bytes more
/// after each answer: at once, or when the test asks for them.
class TalkativeServer {
 public:
  explicit TalkativeServer(std::string at_once)
      : at_once(std::move(at_once)), acceptor([this] { this->Accept(); }) {}

  ~TalkativeServer() {
    this->stopped = true;
    this->acceptor.join();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  std::string Address() const { return this->listener.address().toString(); }
  int Connections() const { return this->connections; }

  std::atomic<bool> write_more = false;
  std::atomic<bool> has_written_more = false;

 private:
  void Accept() {
    while (!this->stopped) {
      if (this->listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
        ++this->connections;
        this->threads.emplace_back(
            [this, socket = this->listener.acceptConnection()]() mutable { this->Serve(socket); });
      }
    }
  }

  void Serve(Poco::Net::StreamSocket& socket) {
    std::string received;
    std::array<char, 4096> buffer{};
    try {
      while (!this->stopped) {
        if (this->write_more.exchange(false)) {
          const std::string more = Answer("stray");
          socket.sendBytes(more.data(), static_cast<int>(more.size()));
          this->has_written_more = true;
        }
        if (!socket.poll(Poco::Timespan(0, 5'000), Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        const int size = socket.receiveBytes(buffer.data(), buffer.size());
        if (size <= 0) {
          return;
        }
        received.append(buffer.data(), static_cast<std::size_t>(size));
        if (const std::size_t end = received.find("\r\n\r\n"); end != std::string::npos) {
          const std::size_t path_begin = received.find(' ') + 1;
          const std::string path =
              received.substr(path_begin, received.find(' ', path_begin) - path_begin);
          received.erase(0, end + 4);
          const std::string bytes = Answer(path) + this->at_once;
          socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
      }
    } catch (const Poco::Exception&) {
      // The client has ended the connection.
    }
  }

  std::string at_once;
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::atomic<bool> stopped = false;
  std::atomic<int> connections = 0;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

/// The body of the answer to a call on a connection that may be kept.
std::string BodyOf(HttpClient& client, const std::string& path) {
  std::string body;
  client.Stream(
      {"GET", path, {}, ""}, true, nullptr, [](int, const std::vector<HeaderField>&) {},
      [&](std::string_view data) {
        body += data;
        return true;
      });
  return body;
}

TEST_CASE("a connection is kept for the next call") {
  TalkativeServer server("");
  HttpClient client(server.Address(), {});
  CHECK(BodyOf(client, "/a") == "/a");
  CHECK(BodyOf(client, "/b") == "/b");
  CHECK(server.Connections() == 1);
}

// Guards against an answer of before that is taken for that of the next call.
TEST_CASE("bytes that follow an answer are not the next call's answer") {
  TalkativeServer server(Answer("stray"));
  HttpClient client(server.Address(), {});
  for (const std::string path : {"/a", "/b", "/c"}) {
    CHECK(BodyOf(client, path) == path);
  }
}

TEST_CASE("bytes that come while a connection is idle are not the next call's answer") {
  TalkativeServer server("");
  HttpClient client(server.Address(), {});
  CHECK(BodyOf(client, "/a") == "/a");
  server.write_more = true;
  REQUIRE(fakes::WaitUntil([&] { return server.has_written_more.load(); }));
  CHECK(BodyOf(client, "/b") == "/b");
  CHECK(server.Connections() == 2);
}

}  // namespace
}  // namespace masticrill::net
