#include "masticrill/routing/prompt_evidence.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/routing/request_identity.h"

namespace masticrill::routing {
namespace {

constexpr std::size_t kMaxIdBytes = 64;

bool IsPlain(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
         c == '_' || c == '.';
}

/// The upstreams that were lost under requests with one part since its last survival.
struct Streak {
  /// The age of each upstream's loss.
  std::map<std::uint64_t, std::int64_t> upstreams;
  std::set<std::uint64_t> requests;
  bool has_survived = false;
  std::int64_t survival_age_ms = 0;
  /// The part's place in the prompt, from 0.
  std::size_t depth = 0;

  std::int64_t OldestAge() const {
    std::int64_t oldest = 0;
    for (const auto& [upstream, age_ms] : this->upstreams) {
      oldest = std::max(oldest, age_ms);
    }
    return oldest;
  }
};

using Streaks = std::map<PromptPartId, Streak>;

/// When each upstream is known to have run, and when it was lost then, as ages.
class UpstreamLives {
 public:
  UpstreamLives(const std::vector<LostStart>& lost, const PromptSettings& settings)
      : settings(settings) {
    for (const LostStart& start : lost) {
      if (start.is_discarded) {
        this->discards.emplace(start.upstream, start.age_ms);
      } else if (start.answer_begun) {
        this->losses.emplace(start.upstream, start.age_ms);
      }
    }
    // An attempt without an answer tells of the end if another answer began shortly before.
    for (const LostStart& start : lost) {
      if (!start.is_discarded && !start.answer_begun &&
          IsNear(this->discards, start.upstream, start.age_ms,
                 {0, settings.survival_time.count()})) {
        this->losses.emplace(start.upstream, start.age_ms);
      }
    }
  }

  /// Whether the upstream ended when the connection was lost or, if the answer was discarded,
  /// shortly afterwards. False for attempts at an upstream that was gone.
  bool EndedAt(const LostStart& start) const {
    const std::int64_t near = this->settings.same_moment.count();
    return start.is_discarded ? IsNear(this->losses, start.upstream, start.age_ms,
                                       {-near - this->settings.survival_time.count(), near})
                              : IsNear(this->losses, start.upstream, start.age_ms, {-near, near});
  }

 private:
  using Ages = std::multimap<std::uint64_t, std::int64_t>;
  struct Range {
    std::int64_t least = 0;
    std::int64_t most = 0;
  };

  /// Whether an age of the upstream exceeds the given one by an amount in the range.
  static bool IsNear(const Ages& ages, std::uint64_t upstream, std::int64_t age_ms, Range range) {
    const auto [begin, end] = ages.equal_range(upstream);
    return std::any_of(begin, end, [&](const auto& entry) {
      const std::int64_t difference = entry.second - age_ms;
      return difference >= range.least && difference <= range.most;
    });
  }

  const PromptSettings& settings;
  Ages discards;
  Ages losses;
};

std::set<std::uint64_t> UpstreamsLostWith(const PromptEvidence& evidence,
                                          const BlockedParts& parts) {
  std::set<std::uint64_t> upstreams;
  for (const LostStart& lost : evidence.lost) {
    if (std::any_of(lost.parts.begin(), lost.parts.end(),
                    [&](const PromptPartId& part) { return parts.contains(part); })) {
      upstreams.insert(lost.upstream);
    }
  }
  return upstreams;
}

Streaks FindStreaks(const PromptEvidence& evidence, const BlockedParts& blocked,
                    const PromptSettings& settings) {
  const std::set<std::uint64_t> explained = UpstreamsLostWith(evidence, blocked);
  std::int64_t latest_block_ms = settings.window.count();
  for (const auto& [part, age_ms] : blocked) {
    latest_block_ms = std::min(latest_block_ms, age_ms);
  }
  const UpstreamLives lives(evidence.lost, settings);
  Streaks streaks;
  for (const LostStart& lost : evidence.lost) {
    if (lost.age_ms > latest_block_ms || explained.contains(lost.upstream) ||
        !lives.EndedAt(lost)) {
      continue;
    }
    for (std::size_t depth = 0; depth < lost.parts.size(); ++depth) {
      const PromptPartId& part = lost.parts[depth];
      const auto survival = evidence.survivals.find(part);
      const bool has_survived = survival != evidence.survivals.end();
      if (blocked.contains(part) || (has_survived && lost.age_ms >= survival->second)) {
        continue;
      }
      Streak& streak = streaks[part];
      streak.has_survived = has_survived;
      streak.survival_age_ms = has_survived ? survival->second : 0;
      streak.depth = std::max(streak.depth, depth);
      streak.requests.insert(lost.request);
      const auto [place, added] = streak.upstreams.try_emplace(lost.upstream, lost.age_ms);
      // Connections to one upstream are lost within moments; the first tells when it ended.
      place->second = std::max(place->second, lost.age_ms);
    }
  }
  return streaks;
}

std::size_t CountMoments(const Streak& streak, milliseconds same_moment) {
  std::vector<std::int64_t> ages;
  for (const auto& [upstream, age_ms] : streak.upstreams) {
    ages.push_back(age_ms);
  }
  std::sort(ages.begin(), ages.end());
  std::size_t moments = 0;
  std::optional<std::int64_t> last;
  for (const std::int64_t age_ms : ages) {
    if (!last || age_ms - *last > same_moment.count()) {
      ++moments;
      last = age_ms;
    }
  }
  return moments;
}

/// Whether requests without the part survived while those with it did not.
bool OthersSurvived(const PromptEvidence& evidence, const Streak& streak) {
  return std::any_of(evidence.survivals.begin(), evidence.survivals.end(),
                     [&](const auto& survival) { return survival.second < streak.OldestAge(); });
}

bool IsCondemned(const PromptEvidence& evidence, const Streak& streak,
                 const PromptSettings& settings) {
  const std::size_t needed =
      streak.has_survived ? settings.condemn_at_last : settings.condemn_after;
  const bool are_many = streak.upstreams.size() >= settings.condemn_at_last;
  return streak.upstreams.size() >= needed &&
         streak.requests.size() >=
             (are_many ? settings.min_requests_of_many : settings.min_requests) &&
         CountMoments(streak, settings.same_moment) >=
             (are_many ? settings.min_moments_of_many : settings.min_moments) &&
         (!streak.has_survived || (streak.OldestAge() >= settings.time_to_survive.count() &&
                                   OthersSurvived(evidence, streak)));
}

/// Orders the parts that explain about the same losses: a part that no request has survived is more
/// suspicious than one with earlier survivals, and a specific part more than one that many share.
bool IsMoreSuspicious(const Streak& left, const Streak& right) {
  if (left.has_survived != right.has_survived) {
    return !left.has_survived;
  }
  if (left.upstreams.size() != right.upstreams.size()) {
    return left.upstreams.size() > right.upstreams.size();
  }
  if (left.survival_age_ms != right.survival_age_ms) {
    return left.survival_age_ms > right.survival_age_ms;
  }
  return left.depth > right.depth;
}

/// The parts whose streaks are nearly as long as the longest, the most suspicious one first.
std::vector<std::pair<PromptPartId, Streak>> FindCandidates(const Streaks& streaks,
                                                            const PromptSettings& settings) {
  std::size_t longest = 0;
  for (const auto& [part, streak] : streaks) {
    longest = std::max(longest, streak.upstreams.size());
  }
  std::vector<std::pair<PromptPartId, Streak>> candidates;
  for (const auto& [part, streak] : streaks) {
    const auto length = static_cast<double>(streak.upstreams.size());
    if (streak.requests.size() >= settings.min_requests_of_many &&
        length >= settings.nearly_longest * static_cast<double>(longest)) {
      candidates.emplace_back(part, streak);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
    return IsMoreSuspicious(left.second, right.second);
  });
  return candidates;
}

/// Whether another part was present at as many losses and has as good a record.
bool IsAmbiguous(const std::vector<std::pair<PromptPartId, Streak>>& candidates) {
  if (candidates.size() < 2) {
    return false;
  }
  const Streak& first = candidates[0].second;
  const Streak& second = candidates[1].second;
  return first.has_survived == second.has_survived &&
         first.upstreams.size() == second.upstreams.size();
}

}  // namespace

PromptPartId MakePromptPartId(std::string_view id) {
  const bool is_plain = id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), IsPlain) &&
                        !IsWholeRequest(PromptPartId(std::string(id)));
  return PromptPartId(is_plain ? std::string(id) : "sha256." + Sha256Hex(id).substr(0, 32));
}

PromptEvidence MergePromptReports(const std::vector<AgedPromptReport>& reports,
                                  const PromptSettings& settings) {
  PromptEvidence evidence;
  std::map<PromptPartId, std::size_t> answers;
  std::size_t recent_reports = 0;
  for (const AgedPromptReport& aged : reports) {
    const bool is_recent = aged.age_ms <= settings.recent_report.count();
    recent_reports += is_recent ? 1 : 0;
    for (LostStart lost : aged.report.lost) {
      lost.age_ms += aged.age_ms;
      evidence.lost.push_back(std::move(lost));
    }
    for (const PartSurvival& survival : aged.report.survivals) {
      answers[survival.part] += is_recent ? 1 : 0;
      if (survival.age_ms < 0) {
        continue;
      }
      const std::int64_t age_ms = survival.age_ms + aged.age_ms;
      const auto [place, added] = evidence.survivals.try_emplace(survival.part, age_ms);
      place->second = std::min(place->second, age_ms);
    }
  }
  for (const auto& [part, count] : answers) {
    if (count == recent_reports) {
      evidence.answered.insert(part);
    }
  }
  return evidence;
}

void ForgetOlder(PromptEvidence& evidence, const PromptPartId& part, std::int64_t age_ms) {
  for (LostStart& lost : evidence.lost) {
    if (lost.age_ms >= age_ms) {
      std::erase(lost.parts, part);
    }
  }
}

std::vector<PromptPartId> FindSuspects(const PromptEvidence& evidence, const BlockedParts& blocked,
                                       const PromptSettings& settings) {
  const Streaks streaks = FindStreaks(evidence, blocked, settings);
  std::vector<std::pair<std::size_t, PromptPartId>> found;
  for (const auto& [part, streak] : streaks) {
    if (streak.upstreams.size() >= settings.suspect_after) {
      found.emplace_back(streak.upstreams.size(), part);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : left.second < right.second;
  });
  found.resize(std::min(found.size(), settings.max_suspects));
  std::vector<PromptPartId> suspects;
  std::transform(found.begin(), found.end(), std::back_inserter(suspects),
                 [](const auto& entry) { return entry.second; });
  return suspects;
}

std::optional<PartVerdict> JudgePromptParts(const PromptEvidence& evidence,
                                            const BlockedParts& blocked,
                                            const PromptSettings& settings) {
  const auto candidates = FindCandidates(FindStreaks(evidence, blocked, settings), settings);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto& [part, streak] = candidates.front();
  const bool must_wait =
      IsAmbiguous(candidates) && streak.upstreams.size() < settings.condemn_at_last;
  if (must_wait || !evidence.answered.contains(part) || !IsCondemned(evidence, streak, settings)) {
    return std::nullopt;
  }
  return PartVerdict{part, streak.upstreams.size(), streak.requests.size()};
}

}  // namespace masticrill::routing
