#include "masticrill/routing/prompt_evidence.h"

#include <algorithm>
#include <cstdlib>
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
  /// The upstreams that were lost under each request with the part.
  std::map<std::uint64_t, std::set<std::uint64_t>> requests;
  /// The attempts that were lost at each upstream.
  std::map<std::uint64_t, std::size_t> attempts;
  /// The other parts of the lost requests.
  std::set<PromptPartId> beside;
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

  /// The upstreams that were lost without the request that was there most often. A part of a
  /// request that ends its upstreams is there, too, each time.
  std::size_t WithoutMostFrequentRequest() const {
    std::size_t most = 0;
    for (const auto& [request, lost] : this->requests) {
      most = std::max(most, lost.size());
    }
    return this->upstreams.size() - most;
  }
};

using Streaks = std::map<PromptPartId, Streak>;

/// What is judged: the parts that requests share, or each request as a whole.
enum class Subject { kPromptPart, kWholeRequest };

/// When each upstream is known to have run, and when it was lost then, as ages.
class UpstreamLives {
 public:
  UpstreamLives(const std::vector<LostStart>& lost, const PromptSettings& settings)
      : settings(settings) {
    for (const LostStart& start : lost) {
      if (start.is_discarded) {
        this->discards.emplace(start.upstream, start.age_ms);
        continue;
      }
      if (start.answer_begun) {
        this->losses.emplace(start.upstream, start.age_ms);
      }
      const auto [first, added] = this->first_losses.try_emplace(start.upstream, start.age_ms);
      first->second = std::max(first->second, start.age_ms);
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

  /// Whether the upstream ended at that moment, where the end of a connection without an answer
  /// counts, too, if it was the first there: the upstream of a plain service answers nothing before
  /// it ends.
  bool EndedAtMoment(const LostStart& start) const {
    const std::int64_t near = this->settings.same_moment.count();
    const auto first = this->first_losses.find(start.upstream);
    return IsNear(this->losses, start.upstream, start.age_ms, {-near, near}) ||
           (first != this->first_losses.end() && std::abs(first->second - start.age_ms) <= near);
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
  std::map<std::uint64_t, std::int64_t> first_losses;
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

/// The lost attempts whose upstream ended then.
std::vector<const LostStart*> FindEnds(const PromptEvidence& evidence, Subject subject,
                                       const PromptSettings& settings) {
  const UpstreamLives lives(evidence.lost, settings);
  std::vector<const LostStart*> ends;
  for (const LostStart& lost : evidence.lost) {
    if (lost.age_ms <= settings.window.count() &&
        (subject == Subject::kWholeRequest ? lives.EndedAtMoment(lost) : lives.EndedAt(lost))) {
      ends.push_back(&lost);
    }
  }
  return ends;
}

void AddEnd(Streaks& streaks, const PromptEvidence& evidence, const LostStart& lost,
            std::size_t depth) {
  const PromptPartId& part = lost.parts[depth];
  const auto survival = evidence.survivals.find(part);
  const bool has_survived = survival != evidence.survivals.end();
  if (has_survived && lost.age_ms >= survival->second) {
    return;
  }
  Streak& streak = streaks[part];
  streak.has_survived = has_survived;
  streak.survival_age_ms = has_survived ? survival->second : 0;
  streak.depth = std::max(streak.depth, depth);
  streak.requests[lost.request].insert(lost.upstream);
  ++streak.attempts[lost.upstream];
  const auto [place, added] = streak.upstreams.try_emplace(lost.upstream, lost.age_ms);
  // Connections to one upstream are lost within moments; the first tells when it ended.
  place->second = std::max(place->second, lost.age_ms);
}

/// The streaks of prompt parts. Ends under a blocked part or request do not count, nor those from
/// before the latest block of a part: bystanders were lost with it.
Streaks FindPartStreaks(const PromptEvidence& evidence, const BlockedParts& blocked,
                        const PromptSettings& settings) {
  const std::set<std::uint64_t> explained = UpstreamsLostWith(evidence, blocked);
  std::int64_t latest_block_ms = settings.window.count();
  for (const auto& [part, age_ms] : blocked) {
    if (!IsWholeRequest(part)) {
      latest_block_ms = std::min(latest_block_ms, age_ms);
    }
  }
  Streaks streaks;
  for (const LostStart* lost : FindEnds(evidence, Subject::kPromptPart, settings)) {
    if (lost->age_ms > latest_block_ms || explained.contains(lost->upstream)) {
      continue;
    }
    for (std::size_t depth = 0; depth < lost->parts.size(); ++depth) {
      const PromptPartId& part = lost->parts[depth];
      if (!IsWholeRequest(part) && !blocked.contains(part)) {
        AddEnd(streaks, evidence, *lost, depth);
      }
    }
  }
  return streaks;
}

/// The streaks of whole requests that are not blocked.
Streaks FindRequestStreaks(const std::vector<const LostStart*>& ends,
                           const PromptEvidence& evidence, const BlockedParts& blocked) {
  Streaks streaks;
  for (const LostStart* lost : ends) {
    if (!lost->parts.empty() && IsWholeRequest(lost->parts.back()) &&
        !blocked.contains(lost->parts.back())) {
      AddEnd(streaks, evidence, *lost, lost->parts.size() - 1);
      if (const auto found = streaks.find(lost->parts.back()); found != streaks.end()) {
        found->second.beside.insert(lost->parts.begin(), lost->parts.end() - 1);
      }
    }
  }
  return streaks;
}

/// The ages of the upstreams' losses, newest first.
std::vector<std::int64_t> AgesOf(const Streak& streak) {
  std::vector<std::int64_t> ages;
  for (const auto& [upstream, age_ms] : streak.upstreams) {
    ages.push_back(age_ms);
  }
  std::sort(ages.begin(), ages.end());
  return ages;
}

std::size_t CountMoments(const Streak& streak, milliseconds same_moment) {
  std::size_t moments = 0;
  std::optional<std::int64_t> last;
  for (const std::int64_t age_ms : AgesOf(streak)) {
    if (!last || age_ms - *last > same_moment.count()) {
      ++moments;
      last = age_ms;
    }
  }
  return moments;
}

/// The age of an end, counted from 1 for the oldest.
std::int64_t AgeOfEnd(const Streak& streak, std::size_t number) {
  const std::vector<std::int64_t> ages = AgesOf(streak);
  return ages.at(ages.size() - number);
}

/// Whether requests without the part survived while those with it did not.
bool OthersSurvived(const PromptEvidence& evidence, const Streak& streak) {
  return std::any_of(evidence.survivals.begin(), evidence.survivals.end(),
                     [&](const auto& survival) { return survival.second < streak.OldestAge(); });
}

/// Whether the losses under a part or request that was survived before follow it, and not a time at
/// which upstreams ended for another reason: they go on while others survive. All requests of a
/// route may hold the part, so none without it may have been at the upstreams that were lost.
bool FollowsAfterSurvival(const PromptEvidence& evidence, const Streak& streak,
                          const PromptSettings& settings) {
  // A loss on the bound begins another event.
  const milliseconds apart = settings.same_event - milliseconds(1);
  return CountMoments(streak, apart) >= settings.min_events_after_survival &&
         AgesOf(streak).front() <= settings.losses_go_on.count() &&
         streak.OldestAge() >= settings.time_to_survive.count() && OthersSurvived(evidence, streak);
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
         streak.WithoutMostFrequentRequest() >= settings.min_ends_of_others &&
         (!streak.has_survived || FollowsAfterSurvival(evidence, streak, settings));
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

/// Whether the streak has half or more of the upstreams that ended lately without a known cause.
/// Where many end without it, the next attempt of a sound request may well be lost, too.
bool WasAtMostEnds(const Streak& streak, const std::vector<const LostStart*>& ends,
                   const std::set<std::uint64_t>& explained, const PromptSettings& settings) {
  const std::int64_t newest_ms = AgeOfEnd(streak, streak.upstreams.size());
  std::set<std::uint64_t> without;
  for (const LostStart* lost : ends) {
    if (lost->age_ms <= newest_ms + settings.storm_window.count() &&
        !streak.upstreams.contains(lost->upstream) && !explained.contains(lost->upstream)) {
      without.insert(lost->upstream);
    }
  }
  return streak.upstreams.size() >= without.size();
}

/// The whole requests that are judged together.
class RequestJudgement {
 public:
  RequestJudgement(const PromptEvidence& evidence, const BlockedParts& blocked,
                   const PromptSettings& settings)
      : evidence(evidence),
        settings(settings),
        ends(FindEnds(evidence, Subject::kWholeRequest, settings)),
        explained(UpstreamsLostWith(evidence, blocked)),
        streaks(FindRequestStreaks(this->ends, evidence, blocked)),
        parts(FindPartStreaks(evidence, blocked, settings)) {}

  const Streaks& All() const { return this->streaks; }

  /// The request that ended most upstreams, of those that are condemned.
  std::optional<PartVerdict> FindWorst() const {
    std::optional<PartVerdict> worst;
    for (const auto& [request, streak] : this->streaks) {
      const std::size_t count = streak.upstreams.size();
      if ((!worst || count > worst->lost_upstreams) && this->evidence.answered.contains(request) &&
          this->IsCondemned(request, streak)) {
        worst = {request, count, streak.requests.size()};
      }
    }
    return worst;
  }

  /// The requests that may well be the cause of several ends, where nothing has told for too long.
  std::vector<PartVerdict> FindUnresolved() const {
    std::vector<PartVerdict> unresolved;
    for (const auto& [request, streak] : this->streaks) {
      if (!streak.has_survived && this->evidence.answered.contains(request) &&
          streak.upstreams.size() >= this->settings.condemn_after &&
          this->CountUnexplained(streak) >= this->settings.suspect_after &&
          AgeOfEnd(streak, this->settings.condemn_after) >=
              this->settings.time_to_resolve.count()) {
        unresolved.push_back({request, streak.upstreams.size(), streak.requests.size(), false});
      }
    }
    return unresolved;
  }

 private:
  bool IsCondemned(const PromptPartId& request, const Streak& streak) const {
    if (streak.upstreams.size() < this->settings.condemn_after) {
      return false;
    }
    const bool needs_many = !this->evidence.is_complete || streak.has_survived ||
                            this->HasRival(request, streak) || this->HasRivalPart(streak) ||
                            !WasAtMostEnds(streak, this->ends, this->explained, this->settings);
    const std::size_t needed =
        needs_many ? this->settings.condemn_at_last : this->settings.condemn_after;
    return streak.upstreams.size() >= needed && this->CountUnexplained(streak) + 1 >= needed &&
           CountMoments(streak, this->settings.same_request_moment) >=
               this->settings.min_request_moments &&
           AgeOfEnd(streak, needed) >= this->settings.request_settling.count() &&
           (!streak.has_survived || FollowsAfterSurvival(this->evidence, streak, this->settings));
  }

  /// The upstreams, and the attempts there, whose ends no block explains.
  std::size_t CountUnexplained(const Streak& streak) const {
    return static_cast<std::size_t>(
        std::count_if(streak.upstreams.begin(), streak.upstreams.end(),
                      [&](const auto& end) { return !this->explained.contains(end.first); }));
  }
  std::size_t CountUnexplainedAttempts(const Streak& streak) const {
    std::size_t count = 0;
    for (const auto& [upstream, attempts] : streak.attempts) {
      count += this->explained.contains(upstream) ? 0 : attempts;
    }
    return count;
  }

  /// Whether another request was lost as often, and mostly at the same upstreams. Those whose end
  /// is explained do not count.
  bool HasRival(const PromptPartId& request, const Streak& streak) const {
    const std::size_t own = this->CountUnexplained(streak);
    const std::size_t attempts = this->CountUnexplainedAttempts(streak);
    return std::any_of(this->streaks.begin(), this->streaks.end(), [&](const auto& entry) {
      const Streak& rival = entry.second;
      if (entry.first == request || this->CountUnexplained(rival) < own ||
          this->CountUnexplainedAttempts(rival) < attempts ||
          (rival.has_survived && !streak.has_survived)) {
        return false;
      }
      const auto shared =
          std::count_if(streak.upstreams.begin(), streak.upstreams.end(), [&](const auto& end) {
            return rival.upstreams.contains(end.first) && !this->explained.contains(end.first);
          });
      return 2 * static_cast<std::size_t>(shared) > own;
    });
  }

  /// Whether more upstreams ended under a part of the prompt, also without this request.
  bool HasRivalPart(const Streak& streak) const {
    return std::any_of(streak.beside.begin(), streak.beside.end(), [&](const PromptPartId& part) {
      const auto rival = this->parts.find(part);
      return rival != this->parts.end() && !rival->second.has_survived &&
             rival->second.upstreams.size() > streak.upstreams.size() &&
             rival->second.WithoutMostFrequentRequest() > 0;
    });
  }

  const PromptEvidence& evidence;
  const PromptSettings& settings;
  std::vector<const LostStart*> ends;
  /// The upstreams that ended under blocked parts and requests.
  std::set<std::uint64_t> explained;
  Streaks streaks;
  Streaks parts;
};

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
    evidence.is_complete =
        evidence.is_complete && (is_recent || aged.age_ms > settings.silent_report.count());
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
  std::vector<std::pair<std::size_t, PromptPartId>> found;
  const auto add = [&](const Streaks& streaks) {
    for (const auto& [part, streak] : streaks) {
      if (streak.upstreams.size() >= settings.suspect_after) {
        found.emplace_back(streak.upstreams.size(), part);
      }
    }
  };
  add(FindPartStreaks(evidence, blocked, settings));
  add(RequestJudgement(evidence, blocked, settings).All());
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
  const auto candidates = FindCandidates(FindPartStreaks(evidence, blocked, settings), settings);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto& [part, streak] = candidates.front();
  const bool must_wait =
      IsAmbiguous(candidates) && streak.upstreams.size() < settings.condemn_at_last;
  const bool may_be_bystander =
      streak.has_survived &&
      !WasAtMostEnds(streak, FindEnds(evidence, Subject::kPromptPart, settings),
                     UpstreamsLostWith(evidence, blocked), settings);
  if (must_wait || may_be_bystander || !evidence.answered.contains(part) ||
      !IsCondemned(evidence, streak, settings)) {
    return std::nullopt;
  }
  return PartVerdict{part, streak.upstreams.size(), streak.requests.size(), !streak.has_survived};
}

std::vector<PartVerdict> JudgeWholeRequests(const PromptEvidence& evidence, BlockedParts blocked,
                                            const PromptSettings& settings) {
  std::vector<PartVerdict> verdicts;
  // What else ran at the upstreams that one request ended is less suspect afterwards.
  while (const auto worst = RequestJudgement(evidence, blocked, settings).FindWorst()) {
    blocked.emplace(worst->part, 0);
    verdicts.push_back(*worst);
  }
  const auto unresolved = RequestJudgement(evidence, blocked, settings).FindUnresolved();
  verdicts.insert(verdicts.end(), unresolved.begin(), unresolved.end());
  return verdicts;
}

std::vector<PartVerdict> FindVerdicts(const PromptEvidence& evidence, const BlockedParts& blocked,
                                      const PromptSettings& settings) {
  std::vector<PartVerdict> verdicts = JudgeWholeRequests(evidence, blocked, settings);
  BlockedParts known = blocked;
  for (const PartVerdict& verdict : verdicts) {
    if (verdict.is_certain) {
      known.emplace(verdict.part, 0);
    }
  }
  if (const auto verdict = JudgePromptParts(evidence, known, settings)) {
    verdicts.push_back(*verdict);
  }
  return verdicts;
}

}  // namespace masticrill::routing
