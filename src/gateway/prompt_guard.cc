#include "masticrill/gateway/prompt_guard.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/routing/request_identity.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
constexpr std::size_t kMaxParts = 16;
constexpr std::size_t kMaxLost = 96;
constexpr std::size_t kMaxDiscarded = 64;
constexpr std::size_t kMaxPartSurvivals = 1024;
constexpr std::size_t kMaxRequestSurvivals = 4096;
/// Leases are renewed several times within this time. After it, control hosts are unreachable.
constexpr Duration kLeaseSilence = milliseconds(2500);

std::uint64_t KeyOf(const PromptPartId& part) { return Hash64(part.Value()); }

/// Identifies the upstream and its start.
std::uint64_t HashOf(const ListedUpstream& upstream) {
  return Hash64(upstream.id.Value() + "@" + std::to_string(upstream.started_at));
}

std::int64_t AgeMs(TimePoint then, TimePoint now) {
  return std::max<std::int64_t>(duration_cast<milliseconds>(now - then).count(), 0);
}

}  // namespace

std::vector<PromptPartId> SharedPartsOf(const std::vector<PromptPart>& prompt) {
  std::vector<PromptPartId> parts;
  for (std::size_t index = 0; index + 1 < prompt.size() && index < kMaxParts; ++index) {
    parts.push_back(routing::MakePromptPartId(prompt[index].id));
  }
  return parts;
}

std::vector<PromptPartId> RequestParts::All() const {
  std::vector<PromptPartId> all = this->shared;
  all.push_back(this->whole);
  return all;
}

PromptGuard::PromptGuard(std::function<void()> on_evidence, routing::PromptSettings settings)
    : on_evidence(std::move(on_evidence)), settings(settings) {}

void PromptGuard::OnLease(std::set<PromptPartId> next_blocked,
                          std::vector<PromptPartId> next_suspects, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  this->blocked = std::move(next_blocked);
  this->suspects = std::move(next_suspects);
  this->blocked_alone.clear();
  this->last_lease_at = now;
  this->ForgetOld(now);
}

void PromptGuard::OnDiscarded(const ListedUpstream& upstream, const RequestParts& parts,
                              TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  this->discarded.push_back(
      {{HashOf(upstream), KeyOf(parts.whole), parts.All(), true, true, 0}, now});
  while (this->discarded.size() > kMaxDiscarded ||
         now - this->discarded.front().at > this->settings.window) {
    this->discarded.pop_front();
  }
}

void PromptGuard::OnLost(const ListedUpstream& upstream, const RequestParts& parts,
                         std::optional<Duration> answer_age, TimePoint now) {
  if (answer_age && *answer_age >= this->settings.survival_time) {
    this->OnSurvived(parts, now - *answer_age, now);
    const std::scoped_lock lock(this->mutex);
    this->AddLost({HashOf(upstream), 0, {}, true, false, 0}, now);
    return;
  }
  {
    const std::scoped_lock lock(this->mutex);
    this->AddLost(
        {HashOf(upstream), KeyOf(parts.whole), parts.All(), answer_age.has_value(), false, 0}, now);
    if (this->IsOnItsOwn(now)) {
      this->JudgeAlone(now);
    }
  }
  if (this->on_evidence) {
    this->on_evidence();
  }
}

void PromptGuard::AddLost(routing::LostStart start, TimePoint now) {
  if (!this->IsKnown(start, now)) {
    this->lost.push_back({std::move(start), now});
    this->ForgetOld(now);
  }
}

/// Whether a loss adds nothing: it only shows that the upstream was running, as another one does,
/// or it is that of a request that was tried there before.
bool PromptGuard::IsKnown(const routing::LostStart& start, TimePoint now) const {
  return std::any_of(this->lost.begin(), this->lost.end(), [&](const Lost& entry) {
    const bool is_same_moment = now - entry.at <= this->settings.same_moment;
    const bool is_same_request =
        entry.start.request == start.request && entry.start.answer_begun >= start.answer_begun;
    return entry.start.upstream == start.upstream &&
           (start.parts.empty() ? entry.start.answer_begun && is_same_moment : is_same_request);
  });
}

/// Whether the upstream was running until then, as far as this entry knows: an answer had begun
/// there, or no connection was lost there before.
bool PromptGuard::HasProof(const Lost& entry) const {
  bool is_among_first = true;
  for (const Lost& other : this->lost) {
    if (other.start.upstream != entry.start.upstream) {
      continue;
    }
    const Duration apart = std::max(entry.at, other.at) - std::min(entry.at, other.at);
    if (other.start.answer_begun && apart <= this->settings.same_moment) {
      return true;
    }
    is_among_first = is_among_first && entry.at - other.at <= this->settings.same_moment;
  }
  return is_among_first;
}

/// Drops what a survival refutes: parts of attempts that were lost before.
void PromptGuard::AcquitUntil(const std::vector<PromptPartId>& parts, TimePoint begun_at) {
  for (Lost& entry : this->lost) {
    if (entry.at <= begun_at) {
      std::erase_if(entry.start.parts, [&](const PromptPartId& part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
      });
    }
  }
  std::erase_if(this->lost, [](const Lost& entry) {
    return entry.start.parts.empty() && !entry.start.answer_begun;
  });
}

/// Makes room for new evidence: drops an attempt at an upstream that was probably gone already or,
/// if there is none, the oldest one whose parts were lost with the fewest upstreams, leaving out
/// parts that were survived.
void PromptGuard::DropLeastTelling() {
  std::map<PromptPartId, std::set<std::uint64_t>> upstreams;
  for (const Lost& entry : this->lost) {
    for (const PromptPartId& part : entry.start.parts) {
      upstreams[part].insert(entry.start.upstream);
    }
  }
  const auto weight = [&](const Lost& entry) {
    std::size_t most = 0;
    for (const PromptPartId& part : entry.start.parts) {
      const bool has_survived = this->SurvivalsOf(part).contains(KeyOf(part));
      most = std::max(most, has_survived ? 0 : upstreams[part].size());
    }
    return entry.start.answer_begun || this->HasProof(entry) ? 1 + most : 0;
  };
  auto least = this->lost.begin();
  std::size_t least_weight = weight(*least);
  for (auto entry = std::next(least); entry != this->lost.end() && least_weight > 0; ++entry) {
    if (const std::size_t own = weight(*entry); own < least_weight) {
      least = entry;
      least_weight = own;
    }
  }
  this->lost.erase(least);
}

void PromptGuard::OnSurvived(const RequestParts& parts, TimePoint begun_at, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (!this->lost.empty()) {
    this->AcquitUntil(parts.All(), begun_at);
  }
  for (const PromptPartId& part : parts.shared) {
    TimePoint& last = this->part_survivals[KeyOf(part)];
    last = std::max(last, begun_at);
  }
  TimePoint& last = this->request_survivals[KeyOf(parts.whole)];
  last = std::max(last, begun_at);
  if (this->part_survivals.size() > kMaxPartSurvivals ||
      this->request_survivals.size() > kMaxRequestSurvivals) {
    this->ForgetOld(now);
  }
}

std::optional<PromptPartId> PromptGuard::FindBlocked(const RequestParts& parts,
                                                     TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  const bool is_alone = this->IsOnItsOwn(now);
  if (this->blocked.empty() && (!is_alone || this->blocked_alone.empty())) {
    return std::nullopt;
  }
  const std::vector<PromptPartId> all = parts.All();
  const auto found = std::find_if(all.begin(), all.end(), [&](const PromptPartId& part) {
    return this->blocked.contains(part) || (is_alone && this->blocked_alone.contains(part));
  });
  return found == all.end() ? std::nullopt : std::optional(*found);
}

bool PromptGuard::MayRetry(const RequestParts& parts) const {
  const std::scoped_lock lock(this->mutex);
  const std::vector<PromptPartId> all = parts.All();
  return std::none_of(all.begin(), all.end(),
                      [&](const PromptPartId& part) { return this->IsSuspect(part, parts.whole); });
}

bool PromptGuard::IsSuspect(const PromptPartId& part, const PromptPartId& whole) const {
  if (this->SurvivalsOf(part).contains(KeyOf(part))) {
    return false;
  }
  const auto has_part = [&](const std::vector<PromptPartId>& parts) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  if (has_part(this->suspects)) {
    return true;
  }
  if (part == whole) {
    return this->CountLostUpstreams(whole) >= this->settings.suspect_after;
  }
  return std::any_of(this->lost.begin(), this->lost.end(), [&](const Lost& entry) {
    return entry.start.request != KeyOf(whole) && has_part(entry.start.parts);
  });
}

std::size_t PromptGuard::CountLostUpstreams(const PromptPartId& whole) const {
  std::set<std::uint64_t> upstreams;
  for (const Lost& entry : this->lost) {
    if (entry.start.request == KeyOf(whole)) {
      upstreams.insert(entry.start.upstream);
    }
  }
  return upstreams.size();
}

const PromptGuard::Survivals& PromptGuard::SurvivalsOf(const PromptPartId& part) const {
  return routing::IsWholeRequest(part) ? this->request_survivals : this->part_survivals;
}

routing::PromptReport PromptGuard::Report(TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  return this->MakeReport(this->suspects, now);
}

std::size_t PromptGuard::BlockedCount(TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  return this->blocked.size() + (this->IsOnItsOwn(now) ? this->blocked_alone.size() : 0);
}

bool PromptGuard::IsOnItsOwn(TimePoint now) const {
  return now - this->last_lease_at > kLeaseSilence;
}

routing::PromptReport PromptGuard::MakeReport(const std::vector<PromptPartId>& asked,
                                              TimePoint now) const {
  routing::PromptReport report;
  const auto add = [&](const Lost& entry) {
    if (now - entry.at <= this->settings.window) {
      report.lost.push_back(entry.start);
      report.lost.back().age_ms = AgeMs(entry.at, now);
    }
  };
  std::for_each(this->lost.begin(), this->lost.end(), add);
  // Discarded answers matter only while upstreams end.
  if (!report.lost.empty() || !asked.empty()) {
    std::for_each(this->discarded.begin(), this->discarded.end(), add);
  }
  for (const PromptPartId& part : asked) {
    const Survivals& survivals = this->SurvivalsOf(part);
    const auto found = survivals.find(KeyOf(part));
    report.survivals.push_back({part, found == survivals.end() ? -1 : AgeMs(found->second, now)});
  }
  return report;
}

void PromptGuard::ForgetOld(TimePoint now) {
  while (!this->lost.empty() && now - this->lost.front().at > this->settings.window) {
    this->lost.pop_front();
  }
  if (this->lost.size() > kMaxLost) {
    this->DropLeastTelling();
  }
  this->ForgetSurvivals(this->part_survivals, kMaxPartSurvivals, now);
  this->ForgetSurvivals(this->request_survivals, kMaxRequestSurvivals, now);
}

/// Drops old survivals and, if too many are recent, the older half.
void PromptGuard::ForgetSurvivals(Survivals& survivals, std::size_t most, TimePoint now) const {
  std::erase_if(survivals,
                [&](const auto& entry) { return now - entry.second > this->settings.window; });
  if (survivals.size() <= most) {
    return;
  }
  std::vector<TimePoint> times;
  for (const auto& [part, at] : survivals) {
    times.push_back(at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(survivals, [&](const auto& entry) { return entry.second < *middle; });
}

void PromptGuard::JudgeAlone(TimePoint now) {
  std::set<PromptPartId> asked;
  for (const Lost& entry : this->lost) {
    asked.insert(entry.start.parts.begin(), entry.start.parts.end());
  }
  const routing::PromptEvidence evidence = routing::MergePromptReports(
      {{this->MakeReport({asked.begin(), asked.end()}, now), 0}}, this->settings);
  routing::BlockedParts known;
  for (const PromptPartId& part : this->blocked) {
    known.emplace(part, this->settings.window.count());
  }
  for (const auto& [part, at] : this->blocked_alone) {
    known.emplace(part, AgeMs(at, now));
  }
  // This entry knows all survivals that its own evidence could be refuted by.
  routing::PromptSettings alone = this->settings;
  alone.request_settling = milliseconds(0);
  for (const routing::PartVerdict& verdict : routing::FindVerdicts(evidence, known, alone)) {
    kLog.Warning(
        "Upstreams end under a request or a part of prompts; requests with it are refused until "
        "control hosts are reachable.",
        {{"part", verdict.part},
         {"lost_upstreams", verdict.lost_upstreams},
         {"requests", verdict.requests}});
    this->blocked_alone.emplace(verdict.part, now);
  }
}

}  // namespace masticrill::gateway
