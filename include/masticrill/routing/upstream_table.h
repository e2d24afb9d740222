#ifndef MASTICRILL_ROUTING_UPSTREAM_TABLE_H_
#define MASTICRILL_ROUTING_UPSTREAM_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"
#include "masticrill/routing/health.h"
#include "masticrill/routing/load.h"

namespace masticrill::routing {

/// What one entry knows of one upstream at one time.
struct UpstreamSnapshot {
  /// Attempts of this entry that have not ended.
  std::uint32_t own_in_flight = 0;
  /// Own attempts plus the aged share of what others run and queue there.
  double load = 0;
  /// Requests it runs at once; absent when no report is fresh.
  std::optional<double> limit = {};
  bool cold = false;
  /// Until when its last refusal for lack of room is remembered, for each class.
  std::array<TimePoint, kRequestClassCount> full_until{};
  /// Time to the first token, and from one token to the next; 0 when never measured.
  double first_token_seconds = 0;
  double token_seconds = 0;
  HealthView health = {};

  friend bool operator==(const UpstreamSnapshot&, const UpstreamSnapshot&) = default;
};

/// The entry's view of all its upstreams. Safe for use by several threads: the upstreams are spread
/// over shards, each under its own lock.
class UpstreamTable {
 public:
  /// `transport` judges the way to an upstream by lost connections and silence, `answers` judges
  /// each version on it by its error answers, so that a bad version doesn't eject its neighbours.
  explicit UpstreamTable(HealthSettings transport = {.consecutive_failures = 3},
                         HealthSettings answers = {});

  /// An attempt goes out. Every call is followed by one OnResult.
  void OnDispatch(const UpstreamId& upstream, const ModelVersion& version, TimePoint now);
  void OnResult(const UpstreamId& upstream, const AttemptResult& result, TimePoint now);

  /// Takes in a report. Returns false when it was dropped as old, doubled or impossible.
  bool OnLoadReport(const LoadReport& report, TimePoint now);

  void OnCacheHint(const CacheHint& hint, TimePoint now);
  /// The upstream that most recently announced the prefix, if the notice is fresh.
  std::optional<UpstreamId> CachedAt(std::uint64_t prefix_hash, TimePoint now) const;

  UpstreamSnapshot Read(const UpstreamId& upstream, const ModelVersion& version,
                        TimePoint now) const;

 private:
  struct UpstreamRecord;
  struct Shard;
  struct CacheShard;
  struct Shards;
  static constexpr std::size_t kShardCount = 64;

  Shard& ShardOf(const UpstreamId& upstream) const;
  CacheShard& CacheShardOf(std::uint64_t prefix_hash) const;

  HealthSettings transport_settings;
  HealthSettings answer_settings;
  std::shared_ptr<Shards> shards;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_UPSTREAM_TABLE_H_
