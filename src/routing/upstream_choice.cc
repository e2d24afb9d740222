#include "masticrill/routing/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace masticrill::routing {
namespace {

/// A factor on the service time for each full load: engines slow down as their batch grows.
constexpr double kSlowdownAtFullLoad = 0.5;
/// The smallest limit that is reckoned with, so that a limit of zero means a long wait.
constexpr double kSmallestLimit = 0.25;
constexpr milliseconds kShortestRetryAfter{10};
/// Told where nothing says when an upstream will be there.
constexpr milliseconds kUnknownRetryAfter{1000};

/// One candidate with what is known of it.
struct Scored {
  const RoutableUpstream* entry = nullptr;
  UpstreamSnapshot snapshot;
  double utilisation = 0;
  double expected_seconds = 0;
  double expected_first_seconds = 0;
  /// The expected time with the factors and bonuses that decide the choice.
  double score = 0;
  bool full = false;
  ChoiceReason affinity = ChoiceReason::kLeastExpectedLatency;

  bool Healthy() const { return this->snapshot.health.state == HealthState::kHealthy; }
  bool HasRoom() const { return !this->full && this->utilisation <= 1; }
};

bool Better(const Scored& left, const Scored& right) {
  if (left.HasRoom() != right.HasRoom()) {
    return left.HasRoom();
  }
  return left.score < right.score;
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

milliseconds Until(TimePoint time, TimePoint now) {
  return std::max(kShortestRetryAfter, std::chrono::ceil<milliseconds>(time - now));
}

/// Mixes two hashes into one rendezvous rank.
std::uint64_t Mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t value = left ^ (right * 0x9e3779b97f4a7c15ULL);
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93ULL;
  value ^= value >> 32U;
  return value;
}

/// One choice among the candidates.
class Chooser {
 public:
  Chooser(const std::vector<RoutableUpstream>& candidates, const UpstreamTable& table,
          const ChoiceRequest& request, const ChoiceSettings& settings, TimePoint now,
          Random& random)
      : candidates(candidates),
        table(table),
        request(request),
        settings(settings),
        now(now),
        random(random) {}

  UpstreamDecision Choose() {
    if (this->candidates.empty()) {
      return {.reason = ChoiceReason::kRefusedNoneServes, .retry_after = kUnknownRetryAfter};
    }
    this->FindAffinity();
    if (const std::optional<Scored> sampled = this->BestOfSample()) {
      return this->Chosen(*sampled);
    }
    return this->BestOfAll();
  }

 private:
  bool Excluded(const RoutableUpstream& entry) const {
    const auto& excluded = this->request.excluded;
    return std::find(excluded.begin(), excluded.end(), entry.id) != excluded.end();
  }

  /// Finds the upstream that is likely to hold the prefix or the session.
  void FindAffinity() {
    if (const std::optional<UpstreamId> cached =
            this->table.CachedAt(this->request.prefix_hash, this->now)) {
      const auto place = std::find_if(this->candidates.begin(), this->candidates.end(),
                                      [&](const auto& entry) { return entry.id == *cached; });
      this->cached = place == this->candidates.end() ? nullptr : &*place;
    }
    const std::uint64_t key =
        this->request.prefix_hash != 0 ? this->request.prefix_hash : this->request.session_hash;
    if (key == 0) {
      return;
    }
    const auto best = std::max_element(this->candidates.begin(), this->candidates.end(),
                                       [&](const auto& left, const auto& right) {
                                         return Mix(left.id_hash, key) < Mix(right.id_hash, key);
                                       });
    this->usual = &*best;
  }

  Scored Score(const RoutableUpstream& entry) const {
    Scored scored;
    scored.entry = &entry;
    scored.snapshot = this->table.Read(entry.id, this->request.version, this->now);
    const UpstreamSnapshot& snapshot = scored.snapshot;
    const double most = entry.max_concurrency;
    const double limit = std::clamp(snapshot.limit.value_or(most), kSmallestLimit, most);
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
    const double rounds_waiting = std::max(0.0, scored.utilisation - 1);
    scored.expected_seconds = service * (1 + kSlowdownAtFullLoad * batch + rounds_waiting);

    scored.expected_first_seconds =
        first * (1 + kSlowdownAtFullLoad * batch) + service * rounds_waiting;

    scored.score = scored.expected_seconds;
    if (!entry.same_region) {
      scored.score *= this->settings.other_region_factor;
    } else if (!entry.same_domain) {
      scored.score *= this->settings.other_domain_factor;
    }
    if (&entry == this->cached) {
      scored.score -= first * this->settings.cached_prefix_bonus;
      scored.affinity = ChoiceReason::kCachedPrefix;
    } else if (&entry == this->usual) {
      scored.score *= 1 - this->settings.session_bonus;
      scored.affinity = ChoiceReason::kSessionAffinity;
    }
    return scored;
  }

  /// A random candidate, by weight of its concurrency.
  const RoutableUpstream& Sample() {
    constexpr int kTries = 4;
    const RoutableUpstream* entry = nullptr;
    for (int i = 0; i < kTries; ++i) {
      entry = &this->candidates[this->random.Below(this->candidates.size())];
      this->largest_weight = std::max(this->largest_weight, entry->max_concurrency);
      if (this->random.Below(this->largest_weight) < entry->max_concurrency) {
        break;
      }
    }
    return *entry;
  }

  /// The best of a few with room; absent when the sample holds none.
  std::optional<Scored> BestOfSample() {
    constexpr int kTries = 8;
    constexpr int kWantedLocal = 2;
    constexpr int kWantedOther = 2;
    std::optional<Scored> best;
    const auto consider = [&](const RoutableUpstream& entry) {
      if (this->Excluded(entry)) {
        return;
      }
      Scored scored = this->Score(entry);
      if (this->request.may_probe && scored.snapshot.health.probe_allowed) {
        this->probe = this->probe ? this->probe : scored;
      }
      if (scored.Healthy() && scored.HasRoom() && (!best || Better(scored, *best))) {
        best = scored;
      }
    };
    int local = 0;
    int other = 0;
    const RoutableUpstream* last = nullptr;
    for (int i = 0; i < kTries && (local < kWantedLocal || other < kWantedOther); ++i) {
      const RoutableUpstream& entry = this->Sample();
      int& count = entry.same_domain ? local : other;
      const int wanted = entry.same_domain ? kWantedLocal : kWantedOther;
      if (&entry == last || count == wanted) {
        continue;
      }
      last = &entry;
      ++count;
      consider(entry);
    }
    if (this->cached != nullptr) {
      consider(*this->cached);
    }
    if (this->usual != nullptr && this->usual != this->cached) {
      consider(*this->usual);
    }
    return this->probe ? this->probe : best;
  }

  UpstreamDecision BestOfAll() {
    std::vector<Scored> all;
    for (const RoutableUpstream& entry : this->candidates) {
      if (!this->Excluded(entry)) {
        all.push_back(this->Score(entry));
      }
    }
    if (all.empty()) {
      return {.reason = ChoiceReason::kRefusedAllExcluded, .retry_after = kUnknownRetryAfter};
    }
    const Scored* best = nullptr;
    const Scored* probe = nullptr;
    TimePoint first_room = TimePoint::max();
    for (const Scored& scored : all) {
      if (!scored.Healthy()) {
        if (scored.snapshot.health.probe_allowed && (probe == nullptr || Better(scored, *probe))) {
          probe = &scored;
        }
        continue;
      }
      if (scored.full) {
        first_room = std::min(first_room, this->FullUntil(scored));
        continue;
      }
      if (best == nullptr || Better(scored, *best)) {
        best = &scored;
      }
    }
    const Scored* least_bad = this->LeastBadAboveShare(all);
    if (best != nullptr && best->HasRoom()) {
      return this->Chosen(*best);
    }
    if (least_bad != nullptr && least_bad->HasRoom()) {
      return this->Chosen(*least_bad);
    }
    if (best != nullptr) {
      return this->Chosen(*best);
    }
    if (probe != nullptr) {
      return this->Chosen(*probe);
    }
    if (first_room != TimePoint::max()) {
      return {.reason = ChoiceReason::kRefusedAllFull, .retry_after = Until(first_room, this->now)};
    }
    return this->RefusedAllEjected(all);
  }

  TimePoint FullUntil(const Scored& scored) const {
    return scored.snapshot.full_until.at(static_cast<std::size_t>(this->request.request_class));
  }

  /// Where more than the allowed share is ejected, failure domains apart that are so wholly: the
  /// ejected upstream with the lowest error rate.
  const Scored* LeastBadAboveShare(const std::vector<Scored>& all) const {
    struct Count {
      std::size_t total = 0;
      std::size_t ejected = 0;
    };
    std::map<FailureDomainId, Count> domains;
    for (const Scored& scored : all) {
      Count& count = domains[scored.entry->failure_domain];
      ++count.total;
      count.ejected += scored.Healthy() ? 0 : 1;
    }
    Count outside;
    for (const auto& [id, count] : domains) {
      if (count.ejected < count.total) {
        outside.total += count.total;
        outside.ejected += count.ejected;
      }
    }
    const double allowed = this->settings.max_ejected_share * static_cast<double>(outside.total);
    if (static_cast<double>(outside.ejected) <= allowed) {
      return nullptr;
    }
    const Scored* least_bad = nullptr;
    for (const Scored& scored : all) {
      const Count& count = domains[scored.entry->failure_domain];
      if (scored.Healthy() || count.ejected == count.total) {
        continue;
      }
      if (least_bad == nullptr ||
          scored.snapshot.health.error_rate < least_bad->snapshot.health.error_rate) {
        least_bad = &scored;
      }
    }
    return least_bad;
  }

  UpstreamDecision RefusedAllEjected(const std::vector<Scored>& all) const {
    TimePoint soonest = TimePoint::max();
    for (const Scored& scored : all) {
      soonest = std::min(soonest, std::max(this->now, scored.snapshot.health.ejected_until));
    }
    return {.reason = ChoiceReason::kRefusedAllEjected, .retry_after = Until(soonest, this->now)};
  }

  UpstreamDecision Chosen(const Scored& scored) const {
    ChoiceReason reason = scored.affinity;
    if (!scored.Healthy()) {
      reason = ChoiceReason::kProbe;
    } else if (!scored.HasRoom()) {
      reason = ChoiceReason::kQueued;
    } else if (reason == ChoiceReason::kLeastExpectedLatency && !scored.entry->same_domain) {
      reason = ChoiceReason::kSpilled;
    }
    return {.upstream = scored.entry->id,
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
  const RoutableUpstream* usual = nullptr;
  std::optional<Scored> probe;
  std::uint32_t largest_weight = 1;
};

}  // namespace

UpstreamDecision ChooseUpstream(const std::vector<RoutableUpstream>& candidates,
                                const UpstreamTable& table, const ChoiceRequest& request,
                                const ChoiceSettings& settings, TimePoint now, Random& random) {
  return Chooser(candidates, table, request, settings, now, random).Choose();
}

}  // namespace masticrill::routing
