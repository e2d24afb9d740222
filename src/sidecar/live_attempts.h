#ifndef MASTICRILL_SIDECAR_LIVE_ATTEMPTS_H_
#define MASTICRILL_SIDECAR_LIVE_ATTEMPTS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/kernel/upstream_plugin.h"
#include "masticrill/net/channel.h"
#include "masticrill/net/messages.h"

namespace masticrill::sidecar {

/// An attempt that is queued or running, and the channel that receives its answer.
struct LiveAttempt {
  net::AttemptRequest request;
  std::shared_ptr<net::Channel> channel;
  std::uint64_t correlation = 0;
  kernel::Cancellation cancellation;
  std::atomic<std::uint64_t> generated_tokens = 0;

  LiveAttempt(net::AttemptRequest request, std::shared_ptr<net::Channel> channel,
              std::uint64_t correlation)
      : request(std::move(request)), channel(std::move(channel)), correlation(correlation) {}

  template <typename Message>
  bool Send(const Message& message) {
    return this->channel->Send(this->correlation, message);
  }
};

using LiveAttemptPtr = std::shared_ptr<LiveAttempt>;

/// The attempts that are queued or running. Safe for use by several threads: sharded by attempt,
/// with one lock per shard.
class LiveAttempts {
 public:
  /// Returns false, and changes nothing, when the attempt is already present.
  bool Add(const LiveAttemptPtr& attempt);
  LiveAttemptPtr Find(const AttemptId& attempt) const;
  LiveAttemptPtr Take(const AttemptId& attempt);
  std::vector<LiveAttemptPtr> FindByChannel(const net::Channel* channel) const;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<AttemptId, LiveAttemptPtr> attempts;
  };
  static constexpr std::size_t kShardCount = 16;

  Shard& ShardOf(const AttemptId& attempt) const {
    return this->shards.at(std::hash<AttemptId>{}(attempt) % kShardCount);
  }

  mutable std::array<Shard, kShardCount> shards;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_LIVE_ATTEMPTS_H_
