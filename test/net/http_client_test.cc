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

#include "fakes/raw_upstream.h"
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

/// What a call to a server that answers with some bytes and closes is told.
struct CallSaw {
  HttpCallEnd end = HttpCallEnd::kConnectFailed;
  int status = 0;
  std::string body;
};

CallSaw CallWithAnswer(const std::string& bytes) {
  fakes::RawUpstream server([&](const fakes::RawCall& call) { call.Write(bytes); });
  HttpClient client(server.Address(), {});
  CallSaw saw;
  saw.end = client.Stream(
      {"POST", "/a", {}, "body"}, false, nullptr,
      [&](int status, const std::vector<HeaderField>&) { saw.status = status; },
      [&](std::string_view data) {
        saw.body += data;
        return true;
      });
  return saw;
}

/// Heads of answers, each with its empty line, whose body may be empty.
const std::vector<std::string> kHeads = {
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSigned: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nSigned: 1\r\n\r\n",
    "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n",
};

// Guards against a server that stops in the middle of its answer's head and closes: the end of the
// connection was taken for the end of the head.
TEST_CASE("an answer whose head is cut after any byte is broken, and no status is told") {
  for (const std::string& head : kHeads) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      const std::string sent = head.substr(0, size);
      CAPTURE(sent);
      const CallSaw saw = CallWithAnswer(sent);
      CHECK(saw.end == HttpCallEnd::kReset);
      CHECK(saw.status == 0);
    }
  }
}

// Guards against a part of a body that is taken for the whole of it.
TEST_CASE("an answer whose body is cut after any byte is broken") {
  const std::string event_type = "Content-Type: text/event-stream\r\n";
  for (const std::string& type : {std::string(), event_type}) {
    const std::vector<std::pair<std::string, std::string>> answers = {
        {"HTTP/1.1 200 OK\r\n" + type + "Content-Length: 12\r\n\r\n", "data: four\n\n"},
        {"HTTP/1.1 200 OK\r\n" + type + "Transfer-Encoding: chunked\r\n\r\n",
         "c;x=y\r\ndata: four\n\n\r\n3\r\n: c\r\n0\r\nTrailer: 1\r\n\r\n"},
    };
    for (const auto& answer : answers) {
      for (std::size_t size = 0; size < answer.second.size(); ++size) {
        const std::string sent = answer.first + answer.second.substr(0, size);
        CAPTURE(sent);
        CHECK(CallWithAnswer(sent).end == HttpCallEnd::kReset);
      }
      const CallSaw whole = CallWithAnswer(answer.first + answer.second);
      CHECK(whole.end == HttpCallEnd::kComplete);
      CHECK(whole.status == 200);
      CHECK(whole.body.starts_with("data: four\n\n"));
    }
  }
}

TEST_CASE("an event stream that ends with its connection is whole only after a whole event") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const std::string events = "id: 1\ndata: a\n\ndata: b\n\n";
  for (std::size_t size = 1; size <= events.size(); ++size) {
    const std::string sent = events.substr(0, size);
    CAPTURE(sent);
    const bool is_whole = sent.ends_with("\n\n");
    CHECK(CallWithAnswer(head + sent).end ==
          (is_whole ? HttpCallEnd::kComplete : HttpCallEnd::kReset));
  }
}

TEST_CASE("an answer with a malformed head or an ambiguous length is broken") {
  for (const std::string sent :
       {"HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 4\n\nSigned: 1\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\nA: 1\r\n folded\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ngood",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\ngood"}) {
    CAPTURE(sent);
    const CallSaw saw = CallWithAnswer(sent);
    CHECK(saw.end == HttpCallEnd::kReset);
    CHECK(saw.status == 0);
  }
}

TEST_CASE("a head that comes in two pieces is one head") {
  fakes::RawUpstream server([](const fakes::RawCall& call) {
    call.Write("HTTP/1.1 200 OK\r\nContent-Len");
    call.Write("gth: 4\r\n\r\ngood");
  });
  HttpClient client(server.Address(), {});
  CHECK(BodyOf(client, "/a") == "good");
}

}  // namespace
}  // namespace masticrill::net
