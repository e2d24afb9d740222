#ifndef MASTICRILL_FAKES_EARLY_SERVER_H_
#define MASTICRILL_FAKES_EARLY_SERVER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace masticrill::fakes {

/// Ends the connection so that the peer sees a reset.
inline void Reset(Poco::Net::StreamSocket& socket) {
  socket.setLinger(true, 0);
  socket.close();
}

/// Answers the first bytes of each connection, whatever they are, and resets it some time later.
class EarlyServer {
 public:
  EarlyServer(std::string answer, int delay_steps)
      : answer(std::move(answer)), delay_steps(delay_steps), thread([this] { this->Run(); }) {}
  ~EarlyServer() {
    this->stopped = true;
    this->thread.join();
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;

  std::string Address() const { return this->listener.address().toString(); }

 private:
  void Run() {
    for (int call = 0; !this->stopped;) {
      if (!this->listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      Poco::Net::StreamSocket socket = this->listener.acceptConnection();
      // A reset before the first byte of the request may come to the client's connect.
      socket.poll(Poco::Timespan(10, 0), Poco::Net::Socket::SELECT_READ);
      socket.sendBytes(this->answer.data(), static_cast<int>(this->answer.size()));
      // The reset comes at different places of the upload.
      socket.poll(Poco::Timespan(0, 100L * (call++ % this->delay_steps)),
                  Poco::Net::Socket::SELECT_ERROR);
      Reset(socket);
    }
  }

  std::string answer;
  int delay_steps;
  std::atomic<bool> stopped = false;
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::thread thread;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_EARLY_SERVER_H_
