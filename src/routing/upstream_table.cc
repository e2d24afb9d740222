#include "masticrill/routing/upstream_table.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "masticrill/common/hash.h"

namespace masticrill::routing {
namespace {

/// The age at which a reported load is weighted by one half.
constexpr double kReportHalfLifeSeconds = 2.0;
/// The age from which a report is ignored.
constexpr Duration kReportLifetime = seconds(10);
/// The maximum time for which an upstream is not chosen after a refusal for lack of room. Long
/// enough to spread a burst, short enough not to leave the upstream idle.
constexpr Duration kMaxFullBackoff = milliseconds(50);
/// A report of more running or queued requests than this is dropped as impossible.
constexpr std::uint32_t kMaxReportedRequests = 100'000;
/// The weight of the newest measurement in an average latency.
constexpr double kLatencyWeight = 0.1;
/// The number of prefixes kept per shard, and the time after which a cache hint expires.
constexpr std::size_t kMaxPrefixesPerShard = 1024;
constexpr Duration kCacheHintLifetime = seconds(120);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

void UpdateAverage(double& average, double value) {
  average = average == 0 ? value : average + kLatencyWeight * (value - average);
}

/// What an attempt result says about the connection to the upstream and about the version on it.
enum class HealthSignal { kSuccess, kTransportFailure, kErrorAnswer, kNoSignal };

HealthSignal ClassifyOutcome(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return HealthSignal::kSuccess;
    case AttemptOutcome::kFailed:
      return HealthSignal::kErrorAnswer;
    case AttemptOutcome::kUnreachable:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kBroken:
      return HealthSignal::kTransportFailure;
    case AttemptOutcome::kRefusedFull:
    case AttemptOutcome::kRefusedOther:
    case AttemptOutcome::kCancelled:
      break;
  }
  return HealthSignal::kNoSignal;
}

/// Combines two views of one upstream: the worse state, the later end and the higher error rate.
HealthView WorseOf(const HealthView& left, const HealthView& right) {
  const auto rank = [](const HealthView& view) {
    switch (view.state) {
      case HealthState::kHealthy:
        return 0;
      case HealthState::kHalfOpen:
        return view.probe_allowed ? 1 : 2;
      case HealthState::kEjected:
        return 3;
    }
    return 3;
  };
  HealthView worse = rank(left) >= rank(right) ? left : right;
  worse.ejected_until = std::max(left.ejected_until, right.ejected_until);
  worse.error_rate = std::max(left.error_rate, right.error_rate);
  return worse;
}

}  // namespace

struct UpstreamTable::UpstreamRecord {
  std::uint32_t own_in_flight = 0;
  bool reported = false;
  LoadReport report;
  TimePoint reported_at;
  /// The reported load minus the running attempts of this entry.
  double other_entries_load = 0;
  std::array<TimePoint, kRequestClassCount> full_until{};
  double first_token_seconds = 0;
  double token_seconds = 0;
  UpstreamHealth transport_health;
  std::map<ModelVersion, UpstreamHealth> answer_health;
};

struct UpstreamTable::Shard {
  mutable std::mutex mutex;
  std::unordered_map<UpstreamId, UpstreamRecord> records;
};

struct UpstreamTable::CacheShard {
  struct CacheLocation {
    UpstreamId upstream;
    TimePoint announced_at;
  };
  mutable std::mutex mutex;
  std::unordered_map<std::uint64_t, CacheLocation> locations;
};

struct UpstreamTable::Shards {
  std::array<Shard, kShardCount> upstreams;
  std::array<CacheShard, kShardCount> prefixes;
};

UpstreamTable::UpstreamTable(HealthSettings transport, HealthSettings answers)
    : transport_settings(transport), answer_settings(answers), shards(std::make_shared<Shards>()) {}

UpstreamTable::Shard& UpstreamTable::ShardOf(const UpstreamId& upstream) const {
  return this->shards->upstreams.at(Hash64(upstream.Value()) % kShardCount);
}

UpstreamTable::CacheShard& UpstreamTable::CacheShardOf(std::uint64_t prefix_hash) const {
  return this->shards->prefixes.at(prefix_hash % kShardCount);
}

void UpstreamTable::OnDispatch(const UpstreamId& upstream, const ModelVersion& version,
                               TimePoint now) {
  Shard& shard = this->ShardOf(upstream);
  const std::lock_guard lock(shard.mutex);
  UpstreamRecord& record = shard.records[upstream];
  ++record.own_in_flight;
  record.transport_health.OnDispatch(this->transport_settings, now);
  record.answer_health[version].OnDispatch(this->answer_settings, now);
}

void UpstreamTable::OnResult(const UpstreamId& upstream, const AttemptResult& result,
                             TimePoint now) {
  Shard& shard = this->ShardOf(upstream);
  const std::lock_guard lock(shard.mutex);
  UpstreamRecord& record = shard.records[upstream];
  record.own_in_flight -= std::min(record.own_in_flight, 1U);
  UpstreamHealth& version_health = record.answer_health[result.version];
  switch (ClassifyOutcome(result.outcome)) {
    case HealthSignal::kSuccess:
      record.transport_health.OnResult(this->transport_settings, true, now);
      version_health.OnResult(this->answer_settings, true, now);
      break;
    case HealthSignal::kTransportFailure:
      record.transport_health.OnResult(this->transport_settings, false, now);
      version_health.OnNeutralResult();
      break;
    case HealthSignal::kErrorAnswer:
      // An error answer shows that the connection to the upstream works.
      record.transport_health.OnResult(this->transport_settings, true, now);
      version_health.OnResult(this->answer_settings, false, now);
      break;
    case HealthSignal::kNoSignal:
      record.transport_health.OnNeutralResult();
      version_health.OnNeutralResult();
      break;
  }
  if (result.outcome == AttemptOutcome::kRefusedFull) {
    const Duration backoff = result.retry_after ? Duration(*result.retry_after) : kMaxFullBackoff;
    const TimePoint until = now + std::clamp(backoff, Duration(0), kMaxFullBackoff);
    // The upstream has no room for less urgent classes either.
    for (auto i = static_cast<std::size_t>(result.request_class); i < kRequestClassCount; ++i) {
      record.full_until.at(i) = std::max(record.full_until.at(i), until);
    }
  }
  if (result.outcome == AttemptOutcome::kAnswered) {
    const double total = Seconds(result.total);
    const double first = result.first_token
                             ? Seconds(*result.first_token)
                             : std::max(0.0, total - result.tokens * record.token_seconds);
    UpdateAverage(record.first_token_seconds, std::min(first, total));
    if (result.tokens > 0 && result.first_token) {
      UpdateAverage(record.token_seconds, std::max(0.0, total - first) / result.tokens);
    }
  }
}

bool UpstreamTable::OnLoadReport(const LoadReport& report, TimePoint now) {
  if (report.in_flight > kMaxReportedRequests || report.queued > kMaxReportedRequests) {
    return false;
  }
  Shard& shard = this->ShardOf(report.upstream);
  const std::lock_guard lock(shard.mutex);
  UpstreamRecord& record = shard.records[report.upstream];
  if (record.reported) {
    if (report.incarnation < record.report.incarnation) {
      return false;
    }
    const bool same = report.incarnation == record.report.incarnation;
    if (same && report.sequence <= record.report.sequence) {
      return false;
    }
    if (!same) {
      record.transport_health.OnRestart(now);
      record.answer_health.clear();
      record.full_until.fill(TimePoint{});
      record.first_token_seconds = 0;
      record.token_seconds = 0;
    }
  }
  const double reported_load = static_cast<double>(report.in_flight) + report.queued;
  record.other_entries_load = std::max(0.0, reported_load - record.own_in_flight);
  record.reported = true;
  record.report = report;
  record.reported_at = now;
  return true;
}

UpstreamSnapshot UpstreamTable::Read(const UpstreamId& upstream, const ModelVersion& version,
                                     TimePoint now) const {
  const Shard& shard = this->ShardOf(upstream);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.records.find(upstream);
  if (found == shard.records.end()) {
    return {};
  }
  const UpstreamRecord& record = found->second;
  UpstreamSnapshot snapshot;
  snapshot.own_in_flight = record.own_in_flight;
  snapshot.load = record.own_in_flight;
  const Duration age = now - record.reported_at;
  if (record.reported && age < kReportLifetime) {
    const double decay = std::exp2(-std::max(0.0, Seconds(age)) / kReportHalfLifeSeconds);
    snapshot.load += record.other_entries_load * decay;
    snapshot.limit = record.report.limit;
    snapshot.cold = record.report.cold;
  }
  snapshot.full_until = record.full_until;
  snapshot.first_token_seconds = record.first_token_seconds;
  snapshot.token_seconds = record.token_seconds;
  snapshot.health = record.transport_health.Read(this->transport_settings, now);
  if (const auto version_health = record.answer_health.find(version);
      version_health != record.answer_health.end()) {
    snapshot.health =
        WorseOf(snapshot.health, version_health->second.Read(this->answer_settings, now));
  }
  return snapshot;
}

void UpstreamTable::OnCacheHint(const CacheHint& hint, TimePoint now) {
  if (hint.prefix_hash == 0) {
    return;
  }
  CacheShard& shard = this->CacheShardOf(hint.prefix_hash);
  const std::lock_guard lock(shard.mutex);
  if (const auto found = shard.locations.find(hint.prefix_hash); found != shard.locations.end()) {
    if (hint.present) {
      found->second = {hint.upstream, now};
    } else if (found->second.upstream == hint.upstream) {
      shard.locations.erase(found);
    }
    return;
  }
  if (!hint.present) {
    return;
  }
  if (shard.locations.size() >= kMaxPrefixesPerShard) {
    // Losing a hint costs only a cache miss, so any prefix may be evicted.
    shard.locations.erase(shard.locations.begin());
  }
  shard.locations.emplace(hint.prefix_hash, CacheShard::CacheLocation{hint.upstream, now});
}

std::optional<UpstreamId> UpstreamTable::CachedAt(std::uint64_t prefix_hash, TimePoint now) const {
  if (prefix_hash == 0) {
    return std::nullopt;
  }
  const CacheShard& shard = this->CacheShardOf(prefix_hash);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.locations.find(prefix_hash);
  if (found == shard.locations.end() || now - found->second.announced_at > kCacheHintLifetime) {
    return std::nullopt;
  }
  return found->second.upstream;
}

}  // namespace masticrill::routing
