#ifndef MASTICRILL_HOSTILE_CROWD_H_
#define MASTICRILL_HOSTILE_CROWD_H_

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "masticrill/net/socket_stream.h"

namespace masticrill::hostile {

/// What each client of a crowd sends.
struct Behaviour {
  std::string name;
  /// Sent at once when the connection is open.
  std::string opening;
  /// Sent again and again after that; empty for a client that falls silent.
  std::string repeated;
  /// Whether the client reads the answers.
  bool reads = true;
};

/// Clients that keep their connections open, and open them anew when they are closed. Runs on a
/// thread of its own until it is destroyed.
class Crowd {
 public:
  Crowd(std::string address, std::size_t size, Behaviour behaviour)
      : address(std::move(address)), behaviour(std::move(behaviour)), clients(size) {
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Crowd() {
    this->stopped = true;
    this->thread.join();
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// How often every client has had its turn since all have sent their openings, as far as they
  /// were read, or were turned away.
  int Rounds() const { return this->rounds; }

 private:
  struct Client {
    std::unique_ptr<net::SocketStream> connection;
    std::string unsent;
  };

  static constexpr Duration kPatience = milliseconds(200);
  static constexpr Duration kPause = milliseconds(20);

  void Run() {
    while (!this->stopped) {
      const bool in_place = this->TakeTurns();
      this->rounds += in_place ? 1 : 0;
    }
  }

  /// Returns whether every client has a connection.
  bool TakeTurns() {
    bool in_place = true;
    for (Client& client : this->clients) {
      if (this->stopped) {
        return false;
      }
      if (client.connection == nullptr) {
        this->Open(client);
        in_place = in_place && client.connection != nullptr;
      } else {
        this->Continue(client);
      }
    }
    // Paces the crowd; ends early when an answer comes.
    if (const auto& last = this->clients.back().connection; last != nullptr) {
      last->Fill(SystemClock().Now() + kPause);
    }
    return in_place;
  }

  void Open(Client& client) const {
    net::IoEnd end = net::IoEnd::kDone;
    client.connection =
        net::SocketStream::Connect(this->address, SystemClock().Now() + kPatience, nullptr, end);
    client.unsent = this->behaviour.opening;
    if (client.connection != nullptr) {
      this->Send(client, kPatience);
    }
  }

  void Continue(Client& client) const {
    if (this->behaviour.reads) {
      while (client.connection->Fill(SystemClock().Now()) == net::IoEnd::kDone) {
        client.connection->Consume(client.connection->Buffered().size());
      }
    }
    if (client.unsent.empty()) {
      client.unsent = this->behaviour.repeated;
    }
    if (client.connection->PeerLeft() || !this->Send(client, Duration::zero())) {
      client.connection.reset();
    }
  }

  /// False where the connection has ended.
  static bool Send(Client& client, Duration patience) {
    std::string_view rest = client.unsent;
    const net::IoEnd end = client.connection->WriteFrom(rest, SystemClock().Now() + patience);
    client.unsent = std::string(rest);
    return end == net::IoEnd::kDone || end == net::IoEnd::kTimeout;
  }

  std::string address;
  Behaviour behaviour;
  std::vector<Client> clients;
  std::atomic<int> rounds = 0;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

}  // namespace masticrill::hostile

#endif  // MASTICRILL_HOSTILE_CROWD_H_
