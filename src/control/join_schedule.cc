#include "control/join_schedule.h"

#include <algorithm>

namespace masticrill::control {

bool JoinSchedule::MayAsk(const NodeId& host, TimePoint now) const {
  const auto found = this->attempts.find(host);
  if (found == this->attempts.end()) {
    return true;
  }
  const std::optional<TimePoint>& ended_at = found->second.ended_at;
  return ended_at && now - *ended_at >= kRetryInterval;
}

bool JoinSchedule::IsAwaitingAnswer(TimePoint now) const {
  return std::any_of(this->attempts.begin(), this->attempts.end(), [&](const auto& entry) {
    const Attempt& attempt = entry.second;
    return !attempt.ended_at && now - attempt.asked_at < kHedgeDelay;
  });
}

std::optional<NodeId> JoinSchedule::StartNext(const std::set<NodeId>& known,
                                              const NodeId& preferred, TimePoint now) {
  if (this->IsAwaitingAnswer(now)) {
    return std::nullopt;
  }
  std::optional<NodeId> next;
  TimePoint next_asked_at;
  for (const NodeId& host : known) {
    if (!this->MayAsk(host, now)) {
      continue;
    }
    const auto found = this->attempts.find(host);
    const TimePoint asked_at =
        found == this->attempts.end() ? TimePoint::min() : found->second.asked_at;
    if (!next || host == preferred || (*next != preferred && asked_at < next_asked_at)) {
      next = host;
      next_asked_at = asked_at;
    }
  }
  if (next) {
    this->attempts.insert_or_assign(*next, Attempt{now, std::nullopt});
    this->asked_in_round.insert(*next);
  }
  return next;
}

void JoinSchedule::End(const NodeId& host, TimePoint now) {
  if (const auto found = this->attempts.find(host); found != this->attempts.end()) {
    found->second.ended_at = now;
  }
}

bool JoinSchedule::CompletesRound(const std::set<NodeId>& known) {
  const bool complete = std::all_of(known.begin(), known.end(), [&](const NodeId& host) {
    return this->asked_in_round.contains(host);
  });
  if (complete) {
    this->asked_in_round.clear();
  }
  return complete;
}

}  // namespace masticrill::control
