#ifndef MASTICRILL_PROCESS_ANSWERING_WORKERS_H_
#define MASTICRILL_PROCESS_ANSWERING_WORKERS_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/raw_upstream.h"

namespace masticrill::process {

/// A request that reached the first worker.
struct Arrival {
  TimePoint at;
  /// The first line of the request.
  std::string line;
};

/// Stand-in workers of the service "s", and the list that names them. All answer alike, but for the
/// first one, whose answers a function gives.
class AnsweringWorkers {
 public:
  /// The status and the header fields of an answer, each line with its end.
  using MakeHead = std::function<std::string()>;

  static std::string SoundHead() { return "200 OK\r\nX-Response-Signature: s\r\n"; }

  AnsweringWorkers(std::size_t count, MakeHead head_of_first)
      : head_of_first(std::move(head_of_first)),
        list([this](const fakes::RawCall& call) { this->ServeList(call); }) {
    for (std::size_t number = 0; number < count; ++number) {
      this->workers.push_back(std::make_unique<fakes::RawUpstream>(
          [this, number](const fakes::RawCall& call) { this->Serve(number, call); }));
    }
  }

  std::string ListAddress() const { return this->list.Address(); }
  /// The arrivals at the first worker.
  std::vector<Arrival> Arrivals() const {
    const std::scoped_lock lock(this->mutex);
    return this->arrivals;
  }

 private:
  static constexpr milliseconds kWork{30};
  /// A whole stream of one event.
  static constexpr std::string_view kBody = "id: 1\ndata: a\n\n";

  void Serve(std::size_t number, const fakes::RawCall& call) {
    if (number == 0) {
      const std::scoped_lock lock(this->mutex);
      this->arrivals.push_back({SystemClock().Now(), call.head.substr(0, call.head.find('\r'))});
    }
    call.socket.Fill(SystemClock().Now() + kWork);
    call.Write("HTTP/1.1 " + (number == 0 ? this->head_of_first() : SoundHead()) +
               "Content-Length: " + std::to_string(kBody.size()) + "\r\n\r\n" + std::string(kBody));
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

  MakeHead head_of_first;
  mutable std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::vector<std::unique_ptr<fakes::RawUpstream>> workers;
  fakes::RawUpstream list;
};

}  // namespace masticrill::process

#endif  // MASTICRILL_PROCESS_ANSWERING_WORKERS_H_
