#include "masticrill/routing/cascade_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "masticrill/common/hash.h"

namespace masticrill::routing {
namespace {

/// The assumed pass rate of a step without ratings.
constexpr double kPriorPassRate = 0.5;

bool HasUpstream(const CascadeStep& step) { return step.expected < Duration::max(); }

bool ValidScore(double score) { return std::isfinite(score) && score >= 0 && score <= 1; }

}  // namespace

struct CascadePolicy::Statistics {
  struct Step {
    double pass_rate = kPriorPassRate;
    std::uint32_t ratings = 0;
  };
  std::vector<Step> steps;
};

struct CascadePolicy::Shard {
  mutable std::mutex mutex;
  std::map<CascadeKey, Statistics> statistics;

  Statistics::Step Read(const CascadeKey& key, std::size_t step) const {
    const std::lock_guard lock(this->mutex);
    const auto found = this->statistics.find(key);
    if (found == this->statistics.end() || step >= found->second.steps.size()) {
      return {};
    }
    return found->second.steps[step];
  }
};

struct CascadePolicy::Shards {
  std::array<Shard, kShardCount> list;
};

struct CascadePolicy::RatingHealth {
  mutable std::mutex mutex;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t equal_ratings = 0;
  double last_score = -1;
  std::uint32_t requests_while_down = 0;
};

CascadePolicy::CascadePolicy(CascadeSettings settings)
    : settings(settings),
      shards(std::make_shared<Shards>()),
      rating_health(std::make_shared<RatingHealth>()) {}

CascadePolicy::Shard& CascadePolicy::ShardOf(const CascadeKey& key) const {
  const std::uint64_t hash =
      Hash64(key.team.Value(), Hash64(key.cascade.Value(), static_cast<int>(key.request_class)));
  return this->shards->list.at(hash % kShardCount);
}

double CascadePolicy::PassRate(const CascadeKey& key, std::size_t step) const {
  return this->ShardOf(key).Read(key, step).pass_rate;
}

bool CascadePolicy::RatingTrusted() const {
  const std::lock_guard lock(this->rating_health->mutex);
  return this->rating_health->consecutive_failures < this->settings.failures_until_down &&
         this->rating_health->equal_ratings < this->settings.equal_ratings_until_stuck;
}

bool CascadePolicy::ShouldRequestRating() {
  if (this->RatingTrusted()) {
    return true;
  }
  const std::lock_guard lock(this->rating_health->mutex);
  ++this->rating_health->requests_while_down;
  return this->rating_health->requests_while_down % this->settings.down_probe_interval == 0;
}

bool CascadePolicy::RecordRating(const Rating& rating) {
  const bool valid_score = rating.outcome == RatingOutcome::kScore && ValidScore(rating.score);
  {
    const std::lock_guard lock(this->rating_health->mutex);
    RatingHealth& health = *this->rating_health;
    health.consecutive_failures = valid_score ? 0 : health.consecutive_failures + 1;
    if (valid_score) {
      health.equal_ratings = rating.score == health.last_score ? health.equal_ratings + 1 : 1;
      health.last_score = rating.score;
    }
  }
  return valid_score && this->RatingTrusted();
}

void CascadePolicy::UpdatePassRate(const CascadeKey& key, std::size_t step, bool passed) {
  Shard& shard = this->ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  std::vector<Statistics::Step>& steps = shard.statistics[key].steps;
  if (steps.size() <= step) {
    steps.resize(step + 1);
  }
  Statistics::Step& learned = steps[step];
  ++learned.ratings;
  // The prior counts as one rating.
  const double weight = std::max(this->settings.pass_rate_weight, 1.0 / (learned.ratings + 1.0));
  learned.pass_rate += weight * ((passed ? 1.0 : 0.0) - learned.pass_rate);
}

CascadePolicy::Plan CascadePolicy::PlanSteps(const CascadeKey& key,
                                             const std::vector<CascadeStep>& steps,
                                             std::size_t first) const {
  Plan plan;
  double cost_after = 0;
  Duration time_after{0};
  bool stronger_step_found = false;
  for (std::size_t i = steps.size(); i-- > first;) {
    if (!HasUpstream(steps[i])) {
      continue;
    }
    const Statistics::Step learned = this->ShardOf(key).Read(key, i);
    const bool known = learned.ratings >= this->settings.ratings_before_skip;
    const double pass_rate = stronger_step_found ? learned.pass_rate : 1.0;
    const double cost = steps[i].cost + (1 - pass_rate) * cost_after;
    const bool cost_effective = !stronger_step_found || !known || cost <= cost_after;
    // Except for the strongest step, the time must also allow one escalation.
    const Duration time = steps[i].expected + time_after;
    plan.steps.push_back(
        {.step = i, .cost_effective = cost_effective, .time = time, .last = !stronger_step_found});
    if (cost_effective) {
      cost_after = cost;
      time_after = steps[i].expected;
    }
    stronger_step_found = true;
  }
  std::reverse(plan.steps.begin(), plan.steps.end());
  return plan;
}

CascadeDecision CascadePolicy::DecisionToRun(const PlannedStep& planned, CascadeReason reason) {
  const bool rate = !planned.last && this->ShouldRequestRating();
  return {.step = planned.step, .degraded = !planned.last && !rate, .rate = rate, .reason = reason};
}

CascadeDecision CascadePolicy::Begin(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                                     Duration time_left, Random& random) {
  const Plan plan = this->PlanSteps(key, steps, 0);
  if (plan.steps.empty()) {
    // No step has an upstream; running the first step yields the refusal with the actual reason.
    return {.step = 0, .reason = CascadeReason::kLastStep};
  }
  const bool sampled = random.Uniform() < this->settings.sampling_share;
  const bool trusted = this->RatingTrusted();
  CascadeReason reason = CascadeReason::kCheapestFirst;
  for (const PlannedStep& planned : plan.steps) {
    const CascadeStep& step = steps[planned.step];
    if (planned.last) {
      break;
    }
    const bool strongest_short = this->ShortOfCapacity(steps[plan.steps.back().step]);
    if (planned.time > time_left) {
      reason = CascadeReason::kSkippedByDeadline;
      continue;
    }
    const bool strongest_has_room = steps[plan.steps.back().step].wait_factor <= 0;
    if (step.wait_factor >= this->settings.spill_wait_factor && strongest_has_room) {
      reason = CascadeReason::kSkippedByLoad;
      continue;
    }
    if (!trusted && !strongest_short &&
        this->PassRate(key, planned.step) < this->settings.accept_unrated_pass_rate) {
      reason = CascadeReason::kRatingDownEscalated;
      continue;
    }
    if (planned.cost_effective || strongest_short) {
      return this->DecisionToRun(planned, reason);
    }
    if (sampled && step.expected < time_left) {
      return this->DecisionToRun(planned, CascadeReason::kSampled);
    }
    reason = CascadeReason::kSkippedByCost;
  }
  const PlannedStep& last = plan.steps.back();
  if (steps[last.step].expected <= time_left || plan.steps.size() == 1) {
    const bool only = plan.steps.size() == 1;
    return this->DecisionToRun(last, only ? CascadeReason::kLastStep : reason);
  }
  return this->DecisionToRun(StrongestInTime(plan, steps, time_left),
                             CascadeReason::kSkippedByDeadline);
}

CascadeDecision CascadePolicy::BeginSingleRun(const CascadeKey& key,
                                              const std::vector<CascadeStep>& steps,
                                              Duration time_left) const {
  const Plan plan = this->PlanSteps(key, steps, 0);
  if (plan.steps.empty()) {
    return {.step = 0, .reason = CascadeReason::kLastStep};
  }
  const bool strongest_short = this->ShortOfCapacity(steps[plan.steps.back().step]);
  for (const PlannedStep& planned : plan.steps) {
    const Statistics::Step learned = this->ShardOf(key).Read(key, planned.step);
    const bool likely_to_pass = learned.ratings >= this->settings.ratings_before_skip &&
                                learned.pass_rate >= this->settings.accept_unrated_pass_rate;
    if (!planned.last && steps[planned.step].expected <= time_left &&
        (likely_to_pass || strongest_short)) {
      return {.step = planned.step, .degraded = true, .reason = CascadeReason::kSingleRun};
    }
  }
  const PlannedStep& chosen = StrongestInTime(plan, steps, time_left);
  return {.step = chosen.step, .degraded = !chosen.last, .reason = CascadeReason::kSingleRun};
}

const CascadePolicy::PlannedStep& CascadePolicy::StrongestInTime(
    const Plan& plan, const std::vector<CascadeStep>& steps, Duration time_left) {
  const PlannedStep& last = plan.steps.back();
  if (steps[last.step].expected <= time_left) {
    return last;
  }
  // Not even the strongest step alone meets the deadline: the fastest step is the most likely to.
  return *std::min_element(plan.steps.begin(), plan.steps.end(),
                           [&](const auto& left, const auto& right) {
                             return steps[left.step].expected < steps[right.step].expected;
                           });
}

bool CascadePolicy::ShortOfCapacity(const CascadeStep& step) const {
  return step.wait_factor >= this->settings.short_wait_factor;
}

CascadeDecision CascadePolicy::Next(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                                    std::size_t step, const Rating& rating, double quality_target,
                                    Duration time_left, Random& random) {
  const bool rating_trusted = this->RecordRating(rating);
  const bool passed = rating_trusted && rating.score >= quality_target;
  if (rating_trusted) {
    this->UpdatePassRate(key, step, passed);
  }
  const auto finish = [&](CascadeReason reason) {
    return CascadeDecision{.step = step, .finish = true, .degraded = !passed, .reason = reason};
  };
  if (passed) {
    return finish(CascadeReason::kPassed);
  }
  if (!rating_trusted && this->PassRate(key, step) >= this->settings.accept_unrated_pass_rate) {
    return finish(CascadeReason::kRatingDownAccepted);
  }
  const Plan plan = this->PlanSteps(key, steps, step + 1);
  if (plan.steps.empty()) {
    return finish(step + 1 < steps.size() ? CascadeReason::kEscalationFailed
                                          : CascadeReason::kLastStep);
  }
  const CascadeReason reason =
      rating_trusted ? CascadeReason::kEscalated : CascadeReason::kRatingDownEscalated;
  bool any_step_fits = false;
  for (const PlannedStep& planned : plan.steps) {
    const CascadeStep& next = steps[planned.step];
    if (next.expected > time_left) {
      continue;
    }
    any_step_fits = true;
    if (!planned.last && !planned.cost_effective) {
      continue;
    }
    if (this->ShortOfCapacity(next) &&
        random.Uniform() >= this->settings.escalation_share_when_short) {
      return finish(CascadeReason::kEscalationLimited);
    }
    return this->DecisionToRun(planned, reason);
  }
  return finish(any_step_fits ? CascadeReason::kEscalationFailed
                              : CascadeReason::kNoTimeToEscalate);
}

}  // namespace masticrill::routing
