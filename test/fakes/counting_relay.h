#ifndef MASTICRILL_FAKES_COUNTING_RELAY_H_
#define MASTICRILL_FAKES_COUNTING_RELAY_H_

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace masticrill::fakes {

/// Passes TCP connections on to a target and counts the bytes that come back.
class CountingRelay {
 public:
  explicit CountingRelay(std::string target) : target(std::move(target)) {
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  ~CountingRelay() {
    this->stopped = true;
    this->acceptor.join();
    for (const auto& connection : this->connections) {
      Close(connection->caller);
      Close(connection->callee);
      connection->forward.join();
      connection->back.join();
    }
  }

  std::string Address() const { return this->listener.address().toString(); }
  std::uint64_t BytesBack() const { return this->bytes_back; }

 private:
  struct Connection {
    Poco::Net::StreamSocket caller;
    Poco::Net::StreamSocket callee;
    std::thread forward;
    std::thread back;
  };

  static void Close(Poco::Net::StreamSocket& socket) {
    try {
      socket.shutdown();
    } catch (const Poco::Exception&) {
      // It is closed already.
    }
  }

  static void Copy(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to,
                   std::atomic<std::uint64_t>& count) {
    std::array<char, 16384> buffer{};
    try {
      while (const int size = from.receiveBytes(buffer.data(), buffer.size())) {
        count += static_cast<std::uint64_t>(size);
        to.sendBytes(buffer.data(), size);
      }
    } catch (const Poco::Exception&) {
      // One of the two has ended the connection.
    }
    Close(to);
  }

  void Accept() {
    while (!this->stopped) {
      if (!this->listener.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      auto connection = std::make_unique<Connection>();
      connection->caller = this->listener.acceptConnection();
      try {
        connection->callee.connect(Poco::Net::SocketAddress(this->target));
      } catch (const Poco::Exception&) {
        continue;
      }
      Connection& open = *this->connections.emplace_back(std::move(connection));
      open.forward = std::thread([&] { Copy(open.caller, open.callee, this->bytes_forward); });
      open.back = std::thread([&] { Copy(open.callee, open.caller, this->bytes_back); });
    }
  }

  std::string target;
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::atomic<bool> stopped = false;
  std::atomic<std::uint64_t> bytes_forward = 0;
  std::atomic<std::uint64_t> bytes_back = 0;
  std::list<std::unique_ptr<Connection>> connections;
  std::thread acceptor;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_COUNTING_RELAY_H_
