#ifndef MASTICRILL_ENTRY_TEAM_LIMITS_H_
#define MASTICRILL_ENTRY_TEAM_LIMITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "masticrill/common/name.h"

namespace masticrill::entry {

/// Bounds the requests that each team has in flight at this entry. Safe for several threads: shards
/// by team, each under its own lock.
class TeamLimits {
 public:
  /// A place that is given back when the slot ends.
  class Slot {
   public:
    Slot() = default;
    Slot(TeamLimits* limits, TeamId team) : limits(limits), team(std::move(team)) {}
    Slot(Slot&& other) noexcept
        : limits(std::exchange(other.limits, nullptr)), team(std::move(other.team)) {}
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    Slot& operator=(Slot&&) = delete;
    ~Slot() {
      if (this->limits != nullptr) {
        this->limits->Release(this->team);
      }
    }
    bool Taken() const { return this->limits != nullptr; }

   private:
    TeamLimits* limits = nullptr;
    TeamId team;
  };

  /// Takes a place, unless the team has its most already.
  Slot Take(const TeamId& team, std::uint32_t most);

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<TeamId, std::uint32_t> in_flight;
  };
  static constexpr std::size_t kShardCount = 16;

  void Release(const TeamId& team);
  Shard& ShardOf(const TeamId& team) {
    return this->shards.at(std::hash<TeamId>{}(team) % kShardCount);
  }

  std::array<Shard, kShardCount> shards;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_TEAM_LIMITS_H_
