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

/// A snapshot of what one entry knows about one upstream.
struct UpstreamSnapshot {
  /// Attempts of this entry that are still running.
  std::uint32_t own_in_flight = 0;
  /// Attempts of this entry plus the reported load of other entries, which decays with the report's
  /// age.
  double load = 0;
  /// The concurrency limit of the upstream in requests; absent without a fresh report.
  std::optional<double> limit = {};
  bool cold = false;
  /// For each class, the time until which the upstream counts as full after a refusal.
  std::array<TimePoint, kRequestClassCount> full_until{};
  /// Average time to the first token and between tokens; 0 if never measured.
  double first_token_seconds = 0;
  double token_seconds = 0;
  HealthView health = {};

  friend bool operator==(const UpstreamSnapshot&, const UpstreamSnapshot&) = default;
};

/// The load, latency and health of all upstreams of one entry. Safe for use by several threads: the
/// upstreams are spread over shards, each under its own lock.
class UpstreamTable {
 public:
  /// `transport` applies to lost connections and time-outs of an upstream, `answers` to the error
  /// answers of each version on it, so that a bad version doesn't eject the other versions.
  explicit UpstreamTable(HealthSettings transport = {.consecutive_failures = 3},
                         HealthSettings answers = {});

  /// Called when an attempt is dispatched. Every call must be followed by one OnResult.
  void OnDispatch(const UpstreamId& upstream, const ModelVersion& version, TimePoint now);
  void OnResult(const UpstreamId& upstream, const AttemptResult& result, TimePoint now);

  /// Applies a load report. Returns false if it was dropped as old, duplicate or impossible.
  bool OnLoadReport(const LoadReport& report, TimePoint now);

  void OnCacheHint(const CacheHint& hint, TimePoint now);
  /// The upstream that most recently announced the prefix, if its hint has not expired.
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
