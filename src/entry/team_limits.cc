#include "entry/team_limits.h"

namespace masticrill::entry {

TeamLimits::Slot TeamLimits::Take(const TeamId& team, std::uint32_t most) {
  Shard& shard = this->ShardOf(team);
  const std::lock_guard lock(shard.mutex);
  std::uint32_t& count = shard.in_flight[team];
  if (count >= most) {
    return {};
  }
  ++count;
  return {this, team};
}

void TeamLimits::Release(const TeamId& team) {
  Shard& shard = this->ShardOf(team);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.in_flight.find(team);
  if (--found->second == 0) {
    shard.in_flight.erase(found);
  }
}

}  // namespace masticrill::entry
