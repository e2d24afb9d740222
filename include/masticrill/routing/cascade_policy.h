#ifndef MASTICRILL_ROUTING_CASCADE_POLICY_H_
#define MASTICRILL_ROUTING_CASCADE_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/random.h"
#include "masticrill/common/request_class.h"

namespace masticrill::routing {

struct CascadeSettings {
  /// The share of requests that run a step which the cost estimate would skip, to keep its pass
  /// rate known.
  double sampling_share = 0.02;
  /// The weight of the newest rating in a pass rate.
  double pass_rate_weight = 0.02;
  /// Ratings of a step that are needed before it may be skipped.
  std::uint32_t ratings_before_skip = 20;
  /// Consecutive ratings that fail, time out or are out of range before the rating service counts
  /// as down.
  std::uint32_t failures_until_down = 5;
  /// While the rating service counts as down, one in this many answers is still rated, as a probe.
  std::uint32_t down_probe_interval = 20;
  /// Consecutive equal scores before the rating service counts as stuck.
  std::uint32_t equal_ratings_until_stuck = 64;
  /// The share of requests that may escalate into a strong step that is short of capacity.
  double escalation_share_when_short = 0.1;
  /// The pass rate from which an answer that could not be rated is returned to the caller.
  double accept_unrated_pass_rate = 0.8;
  /// The expected wait of a step, in its own service times, from which it counts as short of
  /// capacity.
  double short_wait_factor = 2.0;
  /// The expected wait of a cheap step, in its own service times, from which the strongest step
  /// runs instead, if it has room.
  double spill_wait_factor = 1.0;

  friend bool operator==(const CascadeSettings&, const CascadeSettings&) = default;
};

/// Why a step runs, is skipped, ends the cascade or escalates to a stronger step.
enum class CascadeReason {
  kCheapestFirst,        // The cheapest step that may run is tried first.
  kSampled,              // The step runs to keep its pass rate known.
  kSkippedByCost,        // The step costs more than it saves on average.
  kSkippedByDeadline,    // The deadline leaves no time for this step and a stronger one.
  kPassed,               // The answer reached the target.
  kLastStep,             // No stronger step is left.
  kEscalated,            // Below the target: the next step runs.
  kNoTimeToEscalate,     // Below the target, and the deadline leaves no time.
  kEscalationLimited,    // Below the target, and the strong step is short of capacity.
  kEscalationFailed,     // No stronger step gave an answer.
  kSkippedByLoad,        // The step would queue, and the strongest step has room.
  kStepUnavailable,      // No upstream can run the step now: the next one runs.
  kRatingDownAccepted,   // No trusted rating; accepted by the learned pass rate.
  kRatingDownEscalated,  // No trusted rating; escalated by the learned pass rate.
  kSingleRun,            // The request must not run twice, so no other step can follow.
};

inline constexpr std::array kAllCascadeReasons = {
    CascadeReason::kCheapestFirst,
    CascadeReason::kSampled,
    CascadeReason::kSkippedByCost,
    CascadeReason::kSkippedByDeadline,
    CascadeReason::kPassed,
    CascadeReason::kLastStep,
    CascadeReason::kEscalated,
    CascadeReason::kNoTimeToEscalate,
    CascadeReason::kEscalationLimited,
    CascadeReason::kEscalationFailed,
    CascadeReason::kSkippedByLoad,
    CascadeReason::kStepUnavailable,
    CascadeReason::kRatingDownAccepted,
    CascadeReason::kRatingDownEscalated,
    CascadeReason::kSingleRun,
};

std::string_view ToString(CascadeReason reason);

/// The estimates for one step when the cascade is planned.
struct CascadeStep {
  /// Cost of one answer at this step, in any unit that all steps share.
  double cost = 0;
  /// Expected time to the complete answer and its rating at the present load; Duration::max() if no
  /// upstream can run the step.
  Duration expected{0};
  /// Expected queueing time before the step starts, in service times of the step.
  double wait_factor = 0;

  friend bool operator==(const CascadeStep&, const CascadeStep&) = default;
};

/// Identifies the learned statistics: they are kept for each team, class and cascade.
struct CascadeKey {
  TeamId team = {};
  RequestClass request_class = RequestClass::kTag;
  CascadeId cascade = {};

  friend auto operator<=>(const CascadeKey&,
                          const CascadeKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// The step to run next, or the end of the cascade.
struct CascadeDecision {
  /// The step to run; the step that was rated if `finish` is set.
  std::size_t step = 0;
  /// The cascade ends: the best answer so far is returned to the caller.
  bool finish = false;
  /// The answer may be below the quality target: it did not pass a rating, or the step to run has
  /// a stronger step after it and is not rated.
  bool degraded = false;
  /// The answer of the step is rated before it is returned; otherwise it goes to the caller
  /// directly.
  bool rate = false;
  CascadeReason reason = CascadeReason::kLastStep;

  friend bool operator==(const CascadeDecision&, const CascadeDecision&) = default;
};

enum class RatingOutcome { kScore, kFailed, kLate };

struct Rating {
  RatingOutcome outcome = RatingOutcome::kFailed;
  double score = 0;

  friend bool operator==(const Rating&, const Rating&) = default;
};

/// Decides which steps of a cascade run. Learns, for each team, class and cascade, how often a step
/// reaches the target. Safe for use by several threads; keys are spread over locked shards.
class CascadePolicy {
 public:
  explicit CascadePolicy(CascadeSettings settings = {});

  /// The first step of a request.
  CascadeDecision Begin(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                        Duration time_left, Random& random);

  /// The only step of a request that must not run twice: the cheapest one whose answers are known
  /// to pass mostly, else the strongest one. Its answer goes to the caller unrated.
  CascadeDecision BeginSingleRun(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                                 Duration time_left) const;

  /// Called with the rating of the answer of `step`: ends the cascade or names the step to run
  /// next.
  CascadeDecision Next(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                       std::size_t step, const Rating& rating, double quality_target,
                       Duration time_left, Random& random);

  /// The learned pass rate of a step.
  double PassRate(const CascadeKey& key, std::size_t step) const;
  /// False while the rating service counts as down or stuck.
  bool RatingTrusted() const;

 private:
  struct Statistics;
  struct Shard;
  struct Shards;
  struct RatingHealth;
  static constexpr std::size_t kShardCount = 16;

  /// One step that an upstream can run, assessed by the learned pass rates.
  struct PlannedStep {
    std::size_t step = 0;
    bool cost_effective = true;
    /// Expected time of this step and of the next one, which runs if this one fails its rating.
    Duration time{0};
    bool last = false;
  };
  struct Plan {
    std::vector<PlannedStep> steps = {};
  };

  Shard& ShardOf(const CascadeKey& key) const;
  Plan PlanSteps(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                 std::size_t first) const;
  CascadeDecision DecisionToRun(const PlannedStep& planned, CascadeReason reason);
  /// The strongest step of a plan, or the fastest one where the time does not allow it.
  static const PlannedStep& StrongestInTime(const Plan& plan, const std::vector<CascadeStep>& steps,
                                            Duration time_left);
  bool ShortOfCapacity(const CascadeStep& step) const;
  bool ShouldRequestRating();
  /// Updates the health of the rating service; returns false if the rating must not be used.
  bool RecordRating(const Rating& rating);
  void UpdatePassRate(const CascadeKey& key, std::size_t step, bool passed);

  CascadeSettings settings;
  std::shared_ptr<Shards> shards;
  std::shared_ptr<RatingHealth> rating_health;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_CASCADE_POLICY_H_
