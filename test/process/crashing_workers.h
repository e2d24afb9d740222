#ifndef MASTICRILL_PROCESS_CRASHING_WORKERS_H_
#define MASTICRILL_PROCESS_CRASHING_WORKERS_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/raw_upstream.h"

namespace masticrill::process {

/// Stand-in workers of the service "s", and the list that names them. A worker that begins to run
/// a request whose head holds the marker ends, with all that it runs, and starts again under
/// another name after `kAway`. Answers to streams end with their connection.
class CrashingWorkers {
 public:
  /// With `answers_first`, a worker ends after the head of its answer, else before.
  CrashingWorkers(std::size_t count, std::string marker, bool answers_first)
      : marker(std::move(marker)),
        answers_first(answers_first),
        list([this](const fakes::RawCall& call) { this->ServeList(call); }) {
    for (std::size_t number = 0; number < count; ++number) {
      this->workers.push_back(std::make_unique<Worker>());
    }
    for (std::size_t number = 0; number < count; ++number) {
      this->workers[number]->server = std::make_unique<fakes::RawUpstream>(
          [this, number](const fakes::RawCall& call) { this->Serve(number, call); });
    }
  }

  std::string ListAddress() const { return this->list.Address(); }
  /// Requests with the marker that reached a worker.
  int BadArrivals() const {
    const std::scoped_lock lock(this->mutex);
    return this->bad_arrivals;
  }
  int Crashes() const {
    const std::scoped_lock lock(this->mutex);
    return this->crashes;
  }

 private:
  static constexpr milliseconds kAway{300};
  /// A sound stream takes this long, so that some are cut by the end of their worker.
  static constexpr milliseconds kStreamTime{40};

  struct Worker {
    int starts = 1;
    TimePoint back_at;
    std::unique_ptr<fakes::RawUpstream> server;
  };

  std::string IdOf(std::size_t number) const {
    return "i-" + std::to_string(number) + "-" + std::to_string(this->workers[number]->starts);
  }

  void Serve(std::size_t number, const fakes::RawCall& call) {
    std::unique_lock lock(this->mutex);
    Worker& worker = *this->workers[number];
    const bool is_bad = call.Has(this->marker);
    this->bad_arrivals += is_bad ? 1 : 0;
    if (SystemClock().Now() < worker.back_at) {
      call.socket.Close(true);
      return;
    }
    if (!call.Has("X-Target-Instance: " + this->IdOf(number) + "\r\n")) {
      call.Write(
          "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nConnection: close\r\n"
          "Content-Length: 0\r\n\r\n");
      return;
    }
    if (!is_bad || this->answers_first) {
      call.Write(
          "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\nid: 1\nda");
    }
    if (is_bad) {
      ++this->crashes;
      ++worker.starts;
      worker.back_at = SystemClock().Now() + kAway;
      this->crashed.notify_all();
      return;
    }
    const int start = worker.starts;
    if (!this->crashed.wait_for(lock, kStreamTime, [&] { return worker.starts != start; })) {
      call.Write("ta: a\n\n");
    }
  }

  void ServeList(const fakes::RawCall& call) {
    nlohmann::json instances = nlohmann::json::array();
    {
      const std::scoped_lock lock(this->mutex);
      for (std::size_t number = 0; number < this->workers.size(); ++number) {
        instances.push_back({{"Id", this->IdOf(number)},
                             {"Service", "s"},
                             {"Address", this->workers[number]->server->Address()},
                             {"Zone", "north"},
                             {"Version", "v1"},
                             {"Slots", 8},
                             {"State", "ready"},
                             {"ColdRemainingMs", 0}});
      }
    }
    const std::string page = nlohmann::json{{"Instances", instances}, {"Next", nullptr}}.dump();
    call.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page);
  }

  std::string marker;
  bool answers_first;
  mutable std::mutex mutex;
  std::condition_variable crashed;
  int bad_arrivals = 0;
  int crashes = 0;
  std::vector<std::unique_ptr<Worker>> workers;
  fakes::RawUpstream list;
};

}  // namespace masticrill::process

#endif  // MASTICRILL_PROCESS_CRASHING_WORKERS_H_
