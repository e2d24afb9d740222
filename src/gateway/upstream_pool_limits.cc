// The part of UpstreamPool that bounds the rate of requests at cold upstreams and at those that
// state a limit, and that keeps requests from those that ask for a pause
// or leave.
#include <algorithm>
#include <cmath>
#include <utility>

#include "gateway/pool_keys.h"
#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
/// How long an entry may use its turn at a cold upstream. In one second, all entries together then
/// send at most what the upstream's rate allows in a second plus this time, which is well below the
/// tolerated one and a half times the rate.
constexpr double kColdTurnMs = 250;

}  // namespace

std::uint64_t StartHash(const ListedUpstream& upstream) {
  return Hash64(upstream.id.Value() + "@" + std::to_string(upstream.started_at));
}

std::uint32_t LimitKey(const ListedUpstream& upstream) {
  constexpr unsigned kHalf = 32;
  return static_cast<std::uint32_t>(StartHash(upstream) >> kHalf);
}

/// All entries take turns by the time of day, with one request per turn. If each entry accumulated
/// its share of the rate instead, a large fleet could send one request of each entry at the same
/// moment.
std::optional<std::int64_t> UpstreamPool::ColdTurn(const ColdStartLimit& limit,
                                                   WallTimeMs wall_now) const {
  constexpr double kSecondMs = 1000;
  const double turn_ms = kSecondMs / limit.requests_per_second;
  const double round_ms = turn_ms * this->entry_position.count;
  const double since_first = static_cast<double>(wall_now) - turn_ms * this->entry_position.rank;
  const double turn = std::floor(since_first / round_ms);
  if (since_first - turn * round_ms > kColdTurnMs) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(turn);
}

/// Whether this entry may send the upstream another request now: always when it is not cold, or
/// once in each of the entry's turns.
bool UpstreamPool::MayUseCold(const Member& member, TimePoint now, WallTimeMs wall_now) const {
  const DeclaredService* service = this->rules.table == nullptr
                                       ? nullptr
                                       : this->rules.table->FindService(member.listed.service);
  if (now >= member.cold_until || service == nullptr ||
      service->cold_start.requests_per_second <= 0) {
    return true;
  }
  const std::optional<std::int64_t> turn = this->ColdTurn(service->cold_start, wall_now);
  return turn && *turn != member.last_cold_turn;
}

/// Whether this entry may send the upstream another request now: always when it states no limit, or
/// once in each of the entry's turns.
bool UpstreamPool::MayUseLimited(const Member& member, WallTimeMs wall_now) const {
  if (!member.turn_rate) {
    return true;
  }
  const std::optional<std::int64_t> turn =
      this->request_turns.CurrentTurn(StartHash(member.listed), *member.turn_rate, wall_now);
  return turn && *turn != member.last_limit_turn;
}

Duration UpstreamPool::UntilCapacity(const std::vector<Member*>& full, TimePoint now,
                                     WallTimeMs wall_now) const {
  constexpr Duration kColdRetry = milliseconds(50);
  Duration wait = seconds(5);
  for (const Member* member : full) {
    if (!this->MayUseCold(*member, now, wall_now) || !this->MayReturn(*member, now)) {
      wait = std::min(wait, kColdRetry);
    } else if (member->turn_rate) {
      wait = std::min(wait, this->request_turns.UntilNextTurn(StartHash(member->listed),
                                                              *member->turn_rate, wall_now, wait));
    }
  }
  return wait;
}

/// Whether the upstream may get a request as far as its last pause is concerned.
bool UpstreamPool::MayReturn(const Member& member, TimePoint now) const {
  return now >= member.paused_until &&
         (!member.is_returning || now >= member.tried_at + this->settings.return_interval);
}

void UpstreamPool::OnLeaving(const UpstreamId& upstream) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->members.find(upstream);
  if (found != this->members.end() && !std::exchange(found->second.says_leaving, true)) {
    kLog.Info("An upstream says that it is leaving; it gets no new work.",
              {{"upstream", upstream}, {"in_flight", found->second.in_flight}});
  }
}

std::size_t UpstreamPool::LeavingCount() const {
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(),
      [](const auto& entry) { return entry.second.present && entry.second.says_leaving; }));
}

void UpstreamPool::OnPause(const UpstreamId& upstream, Duration pause, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->members.find(upstream);
  if (found == this->members.end() || pause <= Duration::zero()) {
    return;
  }
  Member& member = found->second;
  const Duration granted = std::min(pause, this->settings.max_pause);
  const auto spread = duration_cast<Duration>(granted * this->settings.return_spread);
  const auto late = duration_cast<Duration>(std::min(spread, this->settings.max_return_spread) *
                                            this->random.Uniform());
  if (now >= member.paused_until) {
    kLog.Info("An upstream asks for a pause; it gets no requests until its end.",
              {{"upstream", upstream},
               {"asked_ms", duration_cast<milliseconds>(pause).count()},
               {"pause_ms", duration_cast<milliseconds>(granted + late).count()}});
  }
  member.paused_until = std::max(member.paused_until, now + granted + late);
  member.is_returning = true;
  member.tried_at = TimePoint();
}

void UpstreamPool::OnUnreadablePause(const UpstreamId& upstream) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->members.find(upstream);
  if (found != this->members.end() && !std::exchange(found->second.pause_was_unreadable, true)) {
    kLog.Warning("The pause that an upstream asks for cannot be read, and is not kept.",
                 {{"upstream", upstream}});
  }
}

bool UpstreamPool::MayStillSend(const UpstreamId& upstream, TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->members.find(upstream);
  return found == this->members.end() ||
         (!found->second.says_leaving && now >= found->second.paused_until);
}

std::size_t UpstreamPool::PausedCount(TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(),
      [&](const auto& entry) { return entry.second.present && now < entry.second.paused_until; }));
}

void UpstreamPool::OnColdReport(const UpstreamId& upstream, milliseconds cold_left, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (const auto found = this->members.find(upstream); found != this->members.end()) {
    found->second.cold_until = std::max(found->second.cold_until, now + Duration(cold_left));
  }
}

void UpstreamPool::OnLimitReport(const UpstreamId& upstream, std::optional<double> per_second,
                                 TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  if (const auto found = this->members.find(upstream); found != this->members.end()) {
    this->SetLimit(found->second, per_second, now);
    found->second.limit_is_own_news = true;
  }
}

void UpstreamPool::SetLimit(Member& member, std::optional<double> per_second, TimePoint at) {
  const bool was_limited = member.turn_rate.has_value();
  if (!was_limited && !per_second) {
    return;
  }
  member.limit_known_at = at;
  if (!per_second) {
    member.turn_rate.reset();
  } else {
    member.stated_rate = *per_second;
    member.turn_rate = TurnRate(member.turn_rate, *per_second);
  }
  if (was_limited != per_second.has_value()) {
    kLog.Info(per_second ? "An upstream states a request limit."
                         : "An upstream states no request limit any more.",
              {{"upstream", member.listed.id}, {"per_second", per_second.value_or(0)}});
  }
}

std::vector<StatedLimit> UpstreamPool::RecentLimits(bool forwards, TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  std::vector<StatedLimit> limits;
  for (const auto& [key, member] : this->members_by_limit_key) {
    const Duration age = now - member->limit_known_at;
    if (age > this->settings.limit_news_lifetime || (!forwards && !member->limit_is_own_news)) {
      continue;
    }
    limits.push_back({key, member->turn_rate ? static_cast<float>(member->stated_rate) : -1,
                      Saturate<std::uint32_t>(duration_cast<milliseconds>(age).count())});
  }
  return limits;
}

void UpstreamPool::OnPeerLimits(const std::vector<StatedLimit>& limits, TimePoint now) {
  const std::scoped_lock lock(this->mutex);
  for (const StatedLimit& limit : limits) {
    const auto found = this->members_by_limit_key.find(limit.upstream);
    const TimePoint said_at = now - Duration(milliseconds(limit.age_ms));
    if (found == this->members_by_limit_key.end() || said_at <= found->second->limit_known_at ||
        !std::isfinite(limit.per_second)) {
      continue;
    }
    this->SetLimit(*found->second,
                   limit.per_second < 0 ? std::nullopt : std::optional<double>(limit.per_second),
                   said_at);
    found->second->limit_is_own_news = false;
  }
}

std::size_t UpstreamPool::LimitedCount() const {
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(), [](const auto& entry) {
        return entry.second.present && entry.second.turn_rate.has_value();
      }));
}

}  // namespace masticrill::gateway
