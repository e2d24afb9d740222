#include "masticrill/routing/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace masticrill::routing {
namespace {

/// The relative increase of the service time at full load: engines slow down as their batch grows.
constexpr double kSlowdownAtFullLoad = 0.5;
/// A smaller reported limit is raised to this one, so that a limit of zero means a long wait.
constexpr double kMinLimit = 0.25;
constexpr milliseconds kMinRetryAfter{10};
/// The Retry-After time if nothing indicates when an upstream will be available.
constexpr milliseconds kDefaultRetryAfter{1000};

/// One candidate with its snapshot and its score.
struct ScoredUpstream {
  const RoutableUpstream* upstream = nullptr;
  UpstreamSnapshot snapshot;
  double utilisation = 0;
  double expected_seconds = 0;
  double expected_first_seconds = 0;
  /// The expected time in seconds, adjusted by the factors and bonuses; the lowest score is chosen.
  double score = 0;
  bool full = false;
  ChoiceReason affinity = ChoiceReason::kLeastExpectedLatency;

  bool Healthy() const { return this->snapshot.health.state == HealthState::kHealthy; }
  bool HasRoom() const { return !this->full && this->utilisation <= 1; }
};

bool RanksBefore(const ScoredUpstream& left, const ScoredUpstream& right) {
  if (left.HasRoom() != right.HasRoom()) {
    return left.HasRoom();
  }
  return left.score < right.score;
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

milliseconds RetryAfterUntil(TimePoint time, TimePoint now) {
  return std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(time - now));
}

/// Combines two hashes into a rendezvous rank.
std::uint64_t RendezvousRank(std::uint64_t left, std::uint64_t right) {
  std::uint64_t value = left ^ (right * 0x9e3779b97f4a7c15ULL);
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93ULL;
  value ^= value >> 32U;
  return value;
}

/// Makes one choice among the candidates. Used by one thread; the arguments must outlive it.
class UpstreamSelector {
 public:
  UpstreamSelector(const std::vector<RoutableUpstream>& candidates, const UpstreamTable& table,
                   const ChoiceRequest& request, const ChoiceSettings& settings, TimePoint now,
                   Random& random)
      : candidates(candidates),
        table(table),
        request(request),
        settings(settings),
        now(now),
        random(random) {}

  UpstreamDecision Select() {
    if (this->candidates.empty()) {
      return {.reason = ChoiceReason::kRefusedNoneServes, .retry_after = kDefaultRetryAfter};
    }
    this->FindPreferred();
    if (const std::optional<ScoredUpstream> sampled = this->BestOfSample()) {
      return this->DecisionFor(*sampled);
    }
    return this->BestOfAll();
  }

 private:
  bool Excluded(const RoutableUpstream& upstream) const {
    const auto& excluded = this->request.excluded;
    return std::find(excluded.begin(), excluded.end(), upstream.id) != excluded.end();
  }

  /// Finds the upstream that announced the prefix, and the one that is preferred by hash for the
  /// prefix or the session.
  void FindPreferred() {
    if (const std::optional<UpstreamId> cached =
            this->table.CachedAt(this->request.prefix_hash, this->now)) {
      const auto found = std::find_if(this->candidates.begin(), this->candidates.end(),
                                      [&](const auto& upstream) { return upstream.id == *cached; });
      this->cached = found == this->candidates.end() ? nullptr : &*found;
    }
    const std::uint64_t key =
        this->request.prefix_hash != 0 ? this->request.prefix_hash : this->request.session_hash;
    if (key == 0) {
      return;
    }
    const auto best = std::max_element(
        this->candidates.begin(), this->candidates.end(), [&](const auto& left, const auto& right) {
          return RendezvousRank(left.id_hash, key) < RendezvousRank(right.id_hash, key);
        });
    this->preferred = &*best;
  }

  ScoredUpstream Score(const RoutableUpstream& upstream) const {
    ScoredUpstream scored;
    scored.upstream = &upstream;
    scored.snapshot = this->table.Read(upstream.id, this->request.version, this->now);
    const UpstreamSnapshot& snapshot = scored.snapshot;
    const double max_concurrency = upstream.max_concurrency;
    const double limit =
        std::clamp(snapshot.limit.value_or(max_concurrency), kMinLimit, max_concurrency);
    scored.utilisation = (snapshot.load + 1) / limit;
    const auto class_index = static_cast<std::size_t>(this->request.request_class);
    scored.full = snapshot.full_until.at(class_index) > this->now;

    const double first = snapshot.first_token_seconds > 0
                             ? snapshot.first_token_seconds
                             : this->settings.default_first_token_seconds;
    const double token =
        snapshot.token_seconds > 0 ? snapshot.token_seconds : this->settings.default_token_seconds;
    const double service = first + token * this->request.expected_tokens;
    const double batch = std::min(scored.utilisation, 1.0);
    const double queued_rounds = std::max(0.0, scored.utilisation - 1);
    scored.expected_seconds = service * (1 + kSlowdownAtFullLoad * batch + queued_rounds);

    scored.expected_first_seconds =
        first * (1 + kSlowdownAtFullLoad * batch) + service * queued_rounds;

    scored.score = scored.expected_seconds;
    if (!upstream.same_region) {
      scored.score *= this->settings.other_region_factor;
    } else if (!upstream.same_domain) {
      scored.score *= this->settings.other_domain_factor;
    }
    if (&upstream == this->cached) {
      scored.score -= first * this->settings.cached_prefix_bonus;
      scored.affinity = ChoiceReason::kCachedPrefix;
    } else if (&upstream == this->preferred) {
      scored.score *= 1 - this->settings.session_bonus;
      scored.affinity = ChoiceReason::kSessionAffinity;
    }
    return scored;
  }

  /// A random candidate, weighted by its maximum concurrency.
  const RoutableUpstream& Sample() {
    constexpr int kMaxDraws = 4;
    const RoutableUpstream* upstream = nullptr;
    for (int i = 0; i < kMaxDraws; ++i) {
      upstream = &this->candidates[this->random.Below(this->candidates.size())];
      this->largest_weight = std::max(this->largest_weight, upstream->max_concurrency);
      if (this->random.Below(this->largest_weight) < upstream->max_concurrency) {
        break;
      }
    }
    return *upstream;
  }

  /// A probe if the sample has one, else the best upstream with room; absent if there is neither.
  std::optional<ScoredUpstream> BestOfSample() {
    constexpr int kMaxDraws = 8;
    constexpr int kWantedLocal = 2;
    constexpr int kWantedOther = 2;
    std::optional<ScoredUpstream> best;
    const auto consider = [&](const RoutableUpstream& upstream) {
      if (this->Excluded(upstream)) {
        return;
      }
      ScoredUpstream scored = this->Score(upstream);
      if (this->request.may_probe && scored.snapshot.health.probe_allowed) {
        this->probe = this->probe ? this->probe : scored;
      }
      if (scored.Healthy() && scored.HasRoom() && (!best || RanksBefore(scored, *best))) {
        best = scored;
      }
    };
    int local = 0;
    int other = 0;
    const RoutableUpstream* last = nullptr;
    for (int i = 0; i < kMaxDraws && (local < kWantedLocal || other < kWantedOther); ++i) {
      const RoutableUpstream& upstream = this->Sample();
      int& count = upstream.same_domain ? local : other;
      const int wanted = upstream.same_domain ? kWantedLocal : kWantedOther;
      if (&upstream == last || count == wanted) {
        continue;
      }
      last = &upstream;
      ++count;
      consider(upstream);
    }
    if (this->cached != nullptr) {
      consider(*this->cached);
    }
    if (this->preferred != nullptr && this->preferred != this->cached) {
      consider(*this->preferred);
    }
    return this->probe ? this->probe : best;
  }

  UpstreamDecision BestOfAll() {
    std::vector<ScoredUpstream> all;
    for (const RoutableUpstream& upstream : this->candidates) {
      if (!this->Excluded(upstream)) {
        all.push_back(this->Score(upstream));
      }
    }
    if (all.empty()) {
      return {.reason = ChoiceReason::kRefusedAllExcluded, .retry_after = kDefaultRetryAfter};
    }
    const ScoredUpstream* best = nullptr;
    const ScoredUpstream* probe = nullptr;
    TimePoint earliest_room = TimePoint::max();
    for (const ScoredUpstream& scored : all) {
      if (!scored.Healthy()) {
        if (scored.snapshot.health.probe_allowed &&
            (probe == nullptr || RanksBefore(scored, *probe))) {
          probe = &scored;
        }
        continue;
      }
      if (scored.full) {
        earliest_room = std::min(earliest_room, this->FullUntil(scored));
        continue;
      }
      if (best == nullptr || RanksBefore(scored, *best)) {
        best = &scored;
      }
    }
    const ScoredUpstream* best_ejected = this->BestEjectedOverLimit(all);
    if (best != nullptr && best->HasRoom()) {
      return this->DecisionFor(*best);
    }
    if (best_ejected != nullptr && best_ejected->HasRoom()) {
      return this->DecisionFor(*best_ejected);
    }
    if (best != nullptr) {
      return this->DecisionFor(*best);
    }
    if (probe != nullptr) {
      return this->DecisionFor(*probe);
    }
    if (earliest_room != TimePoint::max()) {
      return {.reason = ChoiceReason::kRefusedAllFull,
              .retry_after = RetryAfterUntil(earliest_room, this->now)};
    }
    return this->RefusedAllEjected(all);
  }

  TimePoint FullUntil(const ScoredUpstream& scored) const {
    return scored.snapshot.full_until.at(static_cast<std::size_t>(this->request.request_class));
  }

  /// If more than the allowed share of upstreams is ejected, not counting failure domains that are
  /// wholly ejected: the ejected upstream with the lowest error rate. Otherwise null.
  const ScoredUpstream* BestEjectedOverLimit(const std::vector<ScoredUpstream>& all) const {
    struct Count {
      std::size_t total = 0;
      std::size_t ejected = 0;
    };
    std::map<FailureDomainId, Count> domains;
    for (const ScoredUpstream& scored : all) {
      Count& count = domains[scored.upstream->failure_domain];
      ++count.total;
      count.ejected += scored.Healthy() ? 0 : 1;
    }
    Count partly_ejected;
    for (const auto& [id, count] : domains) {
      if (count.ejected < count.total) {
        partly_ejected.total += count.total;
        partly_ejected.ejected += count.ejected;
      }
    }
    const double allowed =
        this->settings.max_ejected_share * static_cast<double>(partly_ejected.total);
    if (static_cast<double>(partly_ejected.ejected) <= allowed) {
      return nullptr;
    }
    const ScoredUpstream* best_ejected = nullptr;
    for (const ScoredUpstream& scored : all) {
      const Count& count = domains[scored.upstream->failure_domain];
      if (scored.Healthy() || count.ejected == count.total) {
        continue;
      }
      if (best_ejected == nullptr ||
          scored.snapshot.health.error_rate < best_ejected->snapshot.health.error_rate) {
        best_ejected = &scored;
      }
    }
    return best_ejected;
  }

  UpstreamDecision RefusedAllEjected(const std::vector<ScoredUpstream>& all) const {
    TimePoint soonest = TimePoint::max();
    for (const ScoredUpstream& scored : all) {
      soonest = std::min(soonest, std::max(this->now, scored.snapshot.health.ejected_until));
    }
    return {.reason = ChoiceReason::kRefusedAllEjected,
            .retry_after = RetryAfterUntil(soonest, this->now)};
  }

  UpstreamDecision DecisionFor(const ScoredUpstream& scored) const {
    ChoiceReason reason = scored.affinity;
    if (!scored.Healthy()) {
      reason = ChoiceReason::kProbe;
    } else if (!scored.HasRoom()) {
      reason = ChoiceReason::kQueued;
    } else if (reason == ChoiceReason::kLeastExpectedLatency && !scored.upstream->same_domain) {
      reason = ChoiceReason::kSpilled;
    }
    return {.upstream = scored.upstream->id,
            .reason = reason,
            .expected = FromSeconds(scored.expected_seconds),
            .expected_first_token = FromSeconds(scored.expected_first_seconds),
            .utilisation = scored.utilisation,
            .retry_after = std::nullopt};
  }

  const std::vector<RoutableUpstream>& candidates;
  const UpstreamTable& table;
  const ChoiceRequest& request;
  const ChoiceSettings& settings;
  TimePoint now;
  Random& random;
  const RoutableUpstream* cached = nullptr;
  const RoutableUpstream* preferred = nullptr;
  std::optional<ScoredUpstream> probe;
  std::uint32_t largest_weight = 1;
};

}  // namespace

UpstreamDecision ChooseUpstream(const std::vector<RoutableUpstream>& candidates,
                                const UpstreamTable& table, const ChoiceRequest& request,
                                const ChoiceSettings& settings, TimePoint now, Random& random) {
  return UpstreamSelector(candidates, table, request, settings, now, random).Select();
}

}  // namespace masticrill::routing
