#ifndef MASTICRILL_SOAK_RECORDS_H_
#define MASTICRILL_SOAK_RECORDS_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/header_field.h"
#include "soak/timeline.h"

namespace masticrill::soak {

using Headers = std::vector<net::HeaderField>;

/// Begins the ids of requests that only ask whether an entry serves.
inline constexpr const char* kProbePrefix = "probe-";
/// A configuration has the routes, and the keys, that so many of the last revisions added.
inline constexpr std::uint64_t kRoutesKept = 4;
inline constexpr std::uint64_t kKeysKept = 2;

enum class CallKind { kSafe, kOnce, kStream };

/// One request of a caller. Revision 0 stands for the route, or the key, of all configurations.
struct Attempt {
  std::string id;
  CallKind kind = CallKind::kSafe;
  std::string path;
  std::uint64_t route_revision = 0;
  std::uint64_t key_revision = 0;
  /// Whether no configuration holds the route or the key.
  bool forbidden = false;
  /// The host to whose entry it goes.
  std::size_t host = 0;
  /// The deadline that is sent with it.
  milliseconds timeout = kCallTimeout;
  /// How long the sending of the body takes.
  Duration body_time{0};
  TimePoint sent_at = {};
};

/// What an upstream got of a request.
struct Run {
  std::string id;
  std::string path;
  std::string team;
  bool has_key = false;
  std::string body;
  std::string worker;
  /// When the upstream began to work and when it ended.
  TimePoint begun_at = {};
  TimePoint ended_at = {};
  /// Whether the upstream broke off, or failed, by itself.
  bool broke_off = false;
};

/// The configurations that operators sent, and when the first of each was acknowledged.
class Acknowledged {
 public:
  void Sent(std::uint64_t revision) {
    const std::scoped_lock lock(this->mutex);
    this->highest_sent = std::max(this->highest_sent, revision);
  }
  void Confirmed(std::uint64_t revision, TimePoint at) {
    const std::scoped_lock lock(this->mutex);
    this->confirmed_at.emplace(revision, at);
  }
  /// The newest revision that was confirmed by then; 0 when none was.
  std::uint64_t NewestAt(TimePoint at) const {
    const std::scoped_lock lock(this->mutex);
    std::uint64_t newest = 0;
    for (const auto& [revision, confirmed] : this->confirmed_at) {
      newest = confirmed <= at ? std::max(newest, revision) : newest;
    }
    return newest;
  }
  std::uint64_t HighestSent() const {
    const std::scoped_lock lock(this->mutex);
    return this->highest_sent;
  }

 private:
  mutable std::mutex mutex;
  std::uint64_t highest_sent = 0;
  std::map<std::uint64_t, TimePoint> confirmed_at;
};

/// When the fleet was last disturbed; checks that hold for calm hosts ask it.
class Calm {
 public:
  explicit Calm(TimePoint begin) : disturbed_until(begin) {}
  /// The faults of now may show until then.
  void Disturb(TimePoint until) {
    this->disturbed_until = std::max(this->disturbed_until.load(), until);
  }
  /// Whether nothing was disturbed in the `span` before `at`, nor since.
  bool Held(TimePoint at, Duration span) const { return this->disturbed_until.load() + span <= at; }

 private:
  std::atomic<TimePoint> disturbed_until;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_RECORDS_H_
