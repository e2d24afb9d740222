#ifndef MASTICRILL_SOAK_OPERATOR_H_
#define MASTICRILL_SOAK_OPERATOR_H_

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "masticrill/common/random.h"
#include "soak/fleet.h"
#include "soak/records.h"

namespace masticrill::soak {

/// The configuration with this revision and timeout of routes. It has the newest routes and keys
/// beside constant ones.
std::string Configuration(std::uint64_t revision, milliseconds timeout);

/// Changes the configuration and reads it back, at any control host.
class Operator {
 public:
  Operator(const Fleet& fleet, Acknowledged& acknowledged, Timeline& timeline,
           milliseconds route_timeout)
      : fleet(fleet),
        acknowledged(acknowledged),
        timeline(timeline),
        route_timeout(route_timeout) {}
  ~Operator() { this->Stop(); }
  Operator(const Operator&) = delete;
  Operator& operator=(const Operator&) = delete;

  /// Changes and reads now and then until Stop.
  void Begin(std::uint64_t seed);
  void Stop();

  /// Sends the next revision to one host after another until it is acknowledged. Returns the number
  /// of the host that did.
  std::optional<std::size_t> Change(TimePoint deadline, Random& random);
  /// Takes a zone out, at one host after another, until that is acknowledged. Returns whether it
  /// was.
  bool Evacuate(const std::string& zone, TimePoint deadline, Random& random);
  /// The revision that a host reads back; none when it gives no answer. The answer is checked.
  std::optional<std::uint64_t> Read(const HostAddresses& host);

 private:
  void Run(Random random);
  bool Put(const HostAddresses& host, std::uint64_t revision);
  void PutInvalid(const HostAddresses& host);

  const Fleet& fleet;
  Acknowledged& acknowledged;
  Timeline& timeline;
  milliseconds route_timeout;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_OPERATOR_H_
