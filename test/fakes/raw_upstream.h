#ifndef MASTICRILL_FAKES_RAW_UPSTREAM_H_
#define MASTICRILL_FAKES_RAW_UPSTREAM_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "masticrill/net/socket_stream.h"

namespace masticrill::fakes {

/// One connection to a RawUpstream, after its request was read.
struct RawCall {
  /// The whole header of the request, and its body.
  std::string head;
  std::string body;
  net::SocketStream& socket;

  bool Has(std::string_view text) const { return this->head.find(text) != std::string::npos; }
  bool Write(std::string_view bytes) const {
    return this->socket.Write(bytes, SystemClock().Now() + seconds(10)) == net::IoEnd::kDone;
  }
  /// Waits until the other side has ended the connection.
  bool AwaitClose() const {
    net::IoEnd end = net::IoEnd::kDone;
    while (end == net::IoEnd::kDone) {
      end = this->socket.Fill(SystemClock().Now() + seconds(30));
    }
    return end == net::IoEnd::kClosed || end == net::IoEnd::kReset;
  }
};

/// A server on a loopback port whose answers are the bytes that a function writes. Each connection
/// takes one request and is closed when the function returns.
class RawUpstream {
 public:
  using Handler = std::function<void(const RawCall&)>;

  explicit RawUpstream(Handler handler)
      : handler(std::move(handler)), listener(Poco::Net::SocketAddress("127.0.0.1:0")) {
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~RawUpstream() {
    this->stopped = true;
    this->acceptor.join();
    for (Connection& connection : this->connections) {
      connection.thread.join();
    }
  }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

  std::string Address() const { return this->listener.address().toString(); }
  /// Requests that were read whole.
  int Calls() const { return this->calls; }

 private:
  struct Connection {
    std::thread thread;
    std::atomic<bool> ended = false;
  };

  void Accept() {
    while (!this->stopped) {
      if (this->listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
        this->JoinEnded();
        Connection& connection = this->connections.emplace_back();
        connection.thread =
            std::thread([this, &connection, socket = this->listener.acceptConnection()] {
              this->Serve(socket);
              connection.ended = true;
            });
      }
    }
  }

  /// Frees the stacks of connections that have ended, of which a long test has thousands.
  void JoinEnded() {
    this->connections.remove_if([](Connection& connection) {
      if (connection.ended) {
        connection.thread.join();
      }
      return connection.ended.load();
    });
  }

  void Serve(const Poco::Net::StreamSocket& accepted) {
    net::SocketStream socket(accepted);
    const TimePoint deadline = SystemClock().Now() + seconds(10);
    std::size_t head_end = std::string::npos;
    while ((head_end = socket.Buffered().find("\r\n\r\n")) == std::string::npos) {
      if (socket.Fill(deadline) != net::IoEnd::kDone) {
        return;
      }
    }
    std::string head(socket.Buffered().substr(0, head_end + 4));
    socket.Consume(head_end + 4);
    std::size_t length = 0;
    if (const std::size_t place = head.find("Content-Length: "); place != std::string::npos) {
      length = std::stoul(head.substr(place + 16));
    }
    while (socket.Buffered().size() < length) {
      if (socket.Fill(deadline) != net::IoEnd::kDone) {
        return;
      }
    }
    std::string body(socket.Buffered().substr(0, length));
    socket.Consume(length);
    ++this->calls;
    this->handler({std::move(head), std::move(body), socket});
  }

  Handler handler;
  Poco::Net::ServerSocket listener;
  std::atomic<bool> stopped = false;
  std::atomic<int> calls = 0;
  std::thread acceptor;
  std::list<Connection> connections;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_RAW_UPSTREAM_H_
