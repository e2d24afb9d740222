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
  /// The share of requests that run a step which the estimate would skip.
  double sampling_share = 0.02;
  /// The weight of the newest rating in a pass rate.
  double pass_rate_weight = 0.02;
  /// Ratings of a step that are needed before it may be skipped.
  std::uint32_t ratings_before_skip = 20;
  /// Ratings in a row that fail, come late or are impossible before the service counts as down.
  std::uint32_t failures_until_down = 5;
  /// While the service is down, one rating in this many is still asked for.
  std::uint32_t down_probe_interval = 20;
  /// Equal ratings in a row before the service counts as stuck.
  std::uint32_t equal_ratings_until_stuck = 64;
  /// The share of requests that may escalate into a strong step that is short of capacity.
  double escalation_share_when_short = 0.1;
  /// The pass rate from which an answer that could not be rated is given.
  double accept_unrated_pass_rate = 0.8;
  /// The expected wait of a step, in its own service times, from which it counts as short.
  double short_wait_factor = 2.0;
  /// The expected wait of a cheap step from which a stronger step with room runs in its place.
  double spill_wait_factor = 1.0;

  friend bool operator==(const CascadeSettings&, const CascadeSettings&) = default;
};

/// Why a step runs, is skipped, ends the cascade or is passed on.
enum class CascadeReason {
  kCheapestFirst,        // The cheap step is worth its try.
  kSampled,              // DecisionToRun to keep its pass rate known.
  kSkippedByCost,        // Its try costs more than it saves on average.
  kSkippedByDeadline,    // There is no time for this step and a stronger one.
  kPassed,               // The answer reached the target.
  kLastStep,             // No stronger step is left.
  kEscalated,            // Below the target: the next step runs.
  kNoTimeToEscalate,     // Below the target, and the deadline leaves no time.
  kEscalationLimited,    // Below the target, and the strong step is short.
  kEscalationFailed,     // The stronger step gave no answer.
  kSkippedByLoad,        // It would wait long, and a stronger step has room.
  kStepUnavailable,      // No upstream can run the step now: the next one runs.
  kRatingDownAccepted,   // No rating: given as it is, by the learned pass rate.
  kRatingDownEscalated,  // No rating: passed on, by the learned pass rate.
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
};

std::string_view ToString(CascadeReason reason);

/// What is known of one step when the cascade is planned.
struct CascadeStep {
  /// Cost of one answer at this step, in any unit that all steps share.
  double cost = 0;
  /// Expected time to its whole answer, with its rating, at present load; Duration::max() where no
  /// upstream can run it.
  Duration expected{0};
  /// The expected wait before it starts, in its own service times.
  double wait_factor = 0;

  friend bool operator==(const CascadeStep&, const CascadeStep&) = default;
};

/// Names the learned statistics.
struct CascadeKey {
  TeamId team = {};
  RequestClass request_class = RequestClass::kTag;
  CascadeId cascade = {};

  friend auto operator<=>(const CascadeKey&,
                          const CascadeKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// The step to run next, or the end of the cascade.
struct CascadeDecision {
  /// The step to run; meaningless when `finish` is set.
  std::size_t step = 0;
  /// The best answer so far is given to the caller.
  bool finish = false;
  /// The answer that is given, or that the step gives without a rating, may be below the target.
  bool degraded = false;
  /// The answer of the step is rated; otherwise it goes to the caller as it comes.
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

  /// After the answer of `step` and its rating: give it, or run another step.
  CascadeDecision Next(const CascadeKey& key, const std::vector<CascadeStep>& steps,
                       std::size_t step, const Rating& rating, double quality_target,
                       Duration time_left, Random& random);

  /// The learned pass rate of a step.
  double PassRate(const CascadeKey& key, std::size_t step) const;
  /// Whether ratings are believed at present.
  bool RatingTrusted() const;

 private:
  struct Statistics;
  struct Shard;
  struct Shards;
  struct RatingHealth;
  static constexpr std::size_t kShardCount = 16;

  /// One step that could run, with its worth by the learned pass rates.
  struct PlannedStep {
    std::size_t step = 0;
    bool cost_effective = true;
    /// With the next step, should this one fail its rating.
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
  bool ShortOfCapacity(const CascadeStep& step) const;
  bool ShouldRequestRating();
  /// Takes note of a rating; false when it is not to be believed.
  bool RecordRating(const Rating& rating);
  void UpdatePassRate(const CascadeKey& key, std::size_t step, bool passed);

  CascadeSettings settings;
  std::shared_ptr<Shards> shards;
  std::shared_ptr<RatingHealth> rating_health;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_CASCADE_POLICY_H_
