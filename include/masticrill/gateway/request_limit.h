#ifndef MASTICRILL_GATEWAY_REQUEST_LIMIT_H_
#define MASTICRILL_GATEWAY_REQUEST_LIMIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"

namespace masticrill::gateway {

/// One of the entries that share the limits of upstreams.
struct EntryShare {
  /// The address by which all entries name it.
  std::string address;
  /// Its part of a limit, relative to the other entries'. An entry without any gets few turns.
  std::uint32_t weight = 1;

  friend bool operator==(const EntryShare&, const EntryShare&) = default;
};

/// Divides the request rate that an upstream takes from all entries together. Time is cut into
/// turns of one request each, and every turn belongs to one entry, by a weighted rendezvous hash of
/// the turn: entries that know about the same fleet agree without a word, and where they differ on
/// one entry or its weight, only few turns change hands. Immutable.
class RequestTurns {
 public:
  RequestTurns() = default;
  /// `own_address` is that of this entry. An entry that the list does not have takes part with the
  /// mean weight.
  RequestTurns(std::string own_address, std::vector<EntryShare> entries);

  /// The number of this entry's turn at the upstream now; absent while another entry has the turn.
  std::optional<std::int64_t> CurrentTurn(std::uint64_t upstream, double per_second,
                                          WallTimeMs now) const;
  /// Until this entry's next turn begins, if that is within `horizon` and the next few hundred
  /// turns; else the horizon.
  Duration UntilNextTurn(std::uint64_t upstream, double per_second, WallTimeMs now,
                         Duration horizon) const;

 private:
  bool IsOwn(std::uint64_t upstream, std::int64_t turn) const;

  std::string own_address;
  std::vector<EntryShare> entries;
};

/// Measures the requests a second over the last seconds. Used by one thread.
class DemandMeter {
 public:
  /// Takes the number of requests so far. Returns the rate in tenths a second.
  std::uint32_t Read(std::uint64_t received, TimePoint now);

 private:
  std::uint64_t last_received = 0;
  TimePoint last_read_at;
  double per_second = 0;
};

/// The rate to divide into turns, at most `stated`. It stays at `current` while that is a little
/// below the stated one: a new rate numbers all turns anew, so a limit that changes with each
/// answer would hand out more turns than it allows.
double TurnRate(std::optional<double> current, double stated);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_REQUEST_LIMIT_H_
