#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <string>

#include "fakes/early_server.h"
#include "fakes/wait_until.h"
#include "masticrill/net/http_client.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::net {
namespace {

constexpr const char* kPart = "part of the answer";

// Guards against a part of an answer that passes for the whole of it: a failed write, or a look at
// the connection, took the only sign of the reset, and the next read ended in order.
TEST_CASE("a connection that an operation found broken never ends in order") {
  enum class Finder { kWrite, kPeerLeft, kReadable, kWatch };
  for (const Finder finder :
       {Finder::kWrite, Finder::kPeerLeft, Finder::kReadable, Finder::kWatch}) {
    CAPTURE(static_cast<int>(finder));
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    const TimePoint deadline = SystemClock().Now() + fakes::kGenerous;
    IoEnd end = IoEnd::kDone;
    const auto stream =
        SocketStream::Connect(listener.address().toString(), deadline, nullptr, end);
    REQUIRE(stream != nullptr);
    Poco::Net::StreamSocket peer = listener.acceptConnection();
    peer.sendBytes(kPart, static_cast<int>(std::string(kPart).size()));
    REQUIRE(fakes::WaitUntil([&] { return stream->Readable(); }));
    if (finder != Finder::kWrite) {
      REQUIRE(stream->Fill(deadline) == IoEnd::kDone);
      stream->Consume(stream->Buffered().size());
    }
    fakes::Reset(peer);
    REQUIRE(fakes::WaitUntil([&] { return stream->PeerEnded(); }));
    switch (finder) {
      case Finder::kWrite:
        CHECK(stream->Write("more of the request", deadline) == IoEnd::kReset);
        CHECK(stream->Fill(deadline) == IoEnd::kDone);
        CHECK(stream->Buffered() == kPart);
        break;
      case Finder::kPeerLeft:
        CHECK(stream->PeerLeft());
        break;
      case Finder::kReadable:
        CHECK(stream->Readable());
        break;
      case Finder::kWatch: {
        Poco::Net::ServerSocket other(Poco::Net::SocketAddress("127.0.0.1:0"));
        const auto waiting =
            SocketStream::Connect(other.address().toString(), deadline, nullptr, end);
        REQUIRE(waiting != nullptr);
        CHECK(waiting->Fill(deadline, stream.get()) == IoEnd::kWatchedLeft);
        break;
      }
    }
    CHECK(stream->Fill(deadline) == IoEnd::kReset);
    CHECK(stream->Fill(deadline) == IoEnd::kReset);
  }
}

TEST_CASE("an early answer without a length is broken if its connection is reset") {
  fakes::EarlyServer server(std::string("HTTP/1.1 200 OK\r\nA: b\r\n\r\n") + kPart, 11);
  HttpClient client(server.Address(), {});
  const std::string upload(std::size_t{8} << 20U, 'u');
  for (int call = 0; call < 100; ++call) {
    CAPTURE(call);
    std::string body;
    const HttpCallEnd end = client.Stream(
        {"POST", "/a", {}, upload}, true, nullptr, [](int, const std::vector<HeaderField>&) {},
        [&](std::string_view data) {
          body += data;
          return true;
        });
    CHECK(end == HttpCallEnd::kReset);
    CHECK(std::string(kPart).starts_with(body));
  }
}

}  // namespace
}  // namespace masticrill::net
