#include "sidecar/live_attempts.h"

namespace masticrill::sidecar {

bool LiveAttempts::Add(const LiveAttemptPtr& attempt) {
  Shard& shard = this->ShardOf(attempt->request.attempt);
  const std::lock_guard lock(shard.mutex);
  return shard.attempts.emplace(attempt->request.attempt, attempt).second;
}

LiveAttemptPtr LiveAttempts::Find(const AttemptId& attempt) const {
  const Shard& shard = this->ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.attempts.find(attempt);
  return found == shard.attempts.end() ? nullptr : found->second;
}

LiveAttemptPtr LiveAttempts::Take(const AttemptId& attempt) {
  Shard& shard = this->ShardOf(attempt);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.attempts.find(attempt);
  if (found == shard.attempts.end()) {
    return nullptr;
  }
  LiveAttemptPtr taken = std::move(found->second);
  shard.attempts.erase(found);
  return taken;
}

std::vector<LiveAttemptPtr> LiveAttempts::FindByChannel(const net::Channel* channel) const {
  std::vector<LiveAttemptPtr> matching;
  for (const Shard& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, attempt] : shard.attempts) {
      if (attempt->channel.get() == channel) {
        matching.push_back(attempt);
      }
    }
  }
  return matching;
}

}  // namespace masticrill::sidecar
