#ifndef MASTICRILL_PROCESS_LIMITED_WORKERS_H_
#define MASTICRILL_PROCESS_LIMITED_WORKERS_H_

#include <algorithm>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/raw_upstream.h"

namespace masticrill::process {

/// Stand-in workers of the service "s", and the list that names them. The first one names in its
/// answers how many requests a second it takes.
class LimitedWorkers {
 public:
  LimitedWorkers(std::size_t count, std::string limit)
      : limit(std::move(limit)),
        list([this](const fakes::RawCall& call) { this->ServeList(call); }) {
    for (std::size_t number = 0; number < count; ++number) {
      this->workers.push_back(std::make_unique<fakes::RawUpstream>(
          [this, number](const fakes::RawCall& call) { this->Serve(number, call); }));
    }
  }

  std::string ListAddress() const { return this->list.Address(); }
  /// The arrivals at the first worker.
  std::vector<TimePoint> Arrivals() const {
    const std::scoped_lock lock(this->mutex);
    return this->arrivals;
  }

 private:
  static constexpr milliseconds kWork{30};

  void Serve(std::size_t number, const fakes::RawCall& call) {
    if (number == 0) {
      const std::scoped_lock lock(this->mutex);
      this->arrivals.push_back(SystemClock().Now());
    }
    call.socket.Fill(SystemClock().Now() + kWork);
    call.Write("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" +
               std::string(number == 0 ? "Server-Limit: " + this->limit + "\r\n" : "") +
               "Content-Length: 4\r\n\r\ndone");
  }

  void ServeList(const fakes::RawCall& call) const {
    nlohmann::json instances = nlohmann::json::array();
    for (std::size_t number = 0; number < this->workers.size(); ++number) {
      instances.push_back({{"Id", "i-" + std::to_string(number)},
                           {"Service", "s"},
                           {"Address", this->workers[number]->Address()},
                           {"Zone", "north"},
                           {"Version", "v1"},
                           {"Slots", 8},
                           {"State", "ready"},
                           {"ColdRemainingMs", 0}});
    }
    const std::string page = nlohmann::json{{"Instances", instances}, {"Next", nullptr}}.dump();
    call.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page);
  }

  std::string limit;
  mutable std::mutex mutex;
  std::vector<TimePoint> arrivals;
  std::vector<std::unique_ptr<fakes::RawUpstream>> workers;
  fakes::RawUpstream list;
};

}  // namespace masticrill::process

#endif  // MASTICRILL_PROCESS_LIMITED_WORKERS_H_
