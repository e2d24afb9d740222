#ifndef MASTICRILL_ROUTING_REQUEST_STATE_MACHINE_H_
#define MASTICRILL_ROUTING_REQUEST_STATE_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/random.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"
#include "masticrill/routing/cascade_policy.h"
#include "masticrill/routing/directory.h"
#include "masticrill/routing/evidence_table.h"
#include "masticrill/routing/request.h"
#include "masticrill/routing/request_events.h"
#include "masticrill/routing/retry.h"
#include "masticrill/routing/upstream_choice.h"
#include "masticrill/routing/upstream_table.h"
#include "masticrill/routing/version_choice.h"

namespace masticrill::routing {

struct RequestSettings {
  std::uint32_t max_attempts = 4;
  ChoiceSettings choice;
  /// A repeatable request is hedged if its first token takes longer than this many times the
  /// expected time; 0 turns hedging off.
  double hedge_factor = 4;
  Duration min_hedge_delay = milliseconds(100);
  /// The delay before the sidecar is asked again whether a running attempt has ended.
  Duration fence_interval = milliseconds(200);
  /// The Retry-After time of a refusal for which no other time is known.
  milliseconds default_retry_after{1000};

  friend bool operator==(const RequestSettings&, const RequestSettings&) = default;
};

/// The shared state that one transition of the state machine reads and updates. The directory is
/// that of the configuration in force; `lease_valid` is read when the transition starts.
struct TransitionContext {
  const UpstreamDirectory& directory;
  UpstreamTable& table;
  RetryBudget& retry_budget;
  CascadePolicy& cascades;
  Random& random;
  const RequestSettings& settings;
  /// Counts the results of the attempts for each version; may be null.
  EvidenceTable* evidence = nullptr;
  bool lease_valid = false;
};

/// The reason for one decision. The printed names of the enumerations are distinct.
using DecisionReason =
    std::variant<VersionReason, ChoiceReason, RetryReason, CascadeReason, RefusalKind, FenceResult>;

std::string_view ToString(FenceResult result);
std::string_view ToString(const DecisionReason& reason);

/// One line of the decision trace that `explain` prints.
struct DecisionRecord {
  /// The time since the request was received.
  Duration elapsed{0};
  DecisionReason reason = {};
  AttemptNumber attempt = 0;
  /// The upstream or version that the decision concerns; empty if there is none.
  std::string subject = {};

  friend bool operator==(const DecisionRecord&, const DecisionRecord&) = default;
};

/// The state machine of one request: takes events and returns the actions to carry out. It updates
/// the upstream table and the retry budget for its attempts. Used by one thread at a time.
class RequestStateMachine {
 public:
  explicit RequestStateMachine(RequestTraits traits);

  /// Makes the first transition; called once.
  Actions Start(TransitionContext& context, TimePoint now);
  Actions OnEvent(TransitionContext& context, const RequestEvent& event, TimePoint now);

  /// Whether the attempt may be handed over. Called, together with another check of the lease,
  /// right before AttemptStarted is raised: the request may have ended since the dispatch was
  /// decided.
  bool MayHandOver(AttemptNumber attempt) const;

  /// Whether the request was answered or refused.
  bool Ended() const { return this->ended; }
  /// Whether the request ran, as far as is known.
  Execution ExecutionSoFar() const;
  const RequestTraits& Traits() const { return this->traits; }
  /// The first kMaxTrace decisions, oldest first; later ones are not recorded.
  const std::vector<DecisionRecord>& Trace() const { return this->trace; }

  static constexpr std::size_t kMaxTrace = 64;

 private:
  enum class AttemptState { kDispatched, kStarted, kStreaming, kFencing, kAnswered, kEnded };

  struct Attempt {
    AttemptNumber number = 0;
    UpstreamId upstream = {};
    FailureDomainId failure_domain = {};
    std::optional<ModelVersion> version = {};
    std::size_t step = 0;
    AttemptState state = AttemptState::kDispatched;
    TimePoint dispatched = {};
    std::optional<Duration> first_token = {};
    bool streams_to_caller = false;
    /// The attempt was handed over, and no fence or refusal has proved that it did not start.
    bool may_have_run = false;
    bool ran = false;
    /// The result was added to the upstream table.
    bool result_reported = false;
  };

  /// The cascade step that is running.
  struct CurrentStep {
    std::size_t index = 0;
    bool rate = false;
    bool degraded = false;
  };

  /// The answer with the highest score so far, returned if no better one arrives.
  struct BestAnswer {
    AttemptNumber attempt = 0;
    std::size_t step = 0;
    double score = -1;
  };

  Actions Handle(TransitionContext& context, const AttemptRefused& event, TimePoint now);
  Actions Handle(TransitionContext& context, const AttemptStarted& event, TimePoint now);
  Actions Handle(TransitionContext& context, const FirstTokenReceived& event, TimePoint now);
  Actions Handle(TransitionContext& context, const AttemptFinished& event, TimePoint now);
  Actions Handle(TransitionContext& context, const AttemptFailed& event, TimePoint now);
  Actions Handle(TransitionContext& context, const StreamBroken& event, TimePoint now);
  Actions Handle(TransitionContext& context, const FenceResultReceived& event, TimePoint now);
  Actions Handle(TransitionContext& context, const RatingReceived& event, TimePoint now);
  Actions Handle(TransitionContext& context, const ClaimRefused& event, TimePoint now);
  Actions Handle(TransitionContext& context, const HedgeDue& event, TimePoint now);
  Actions Handle(TransitionContext& context, const LeaseLost& event, TimePoint now);
  Actions Handle(TransitionContext& context, const CallerDisconnected& event, TimePoint now);
  Actions Handle(TransitionContext& context, const DeadlinePassed& event, TimePoint now);

  // Dispatching attempts, in request_dispatch.cc.
  std::optional<ModelTarget> CurrentTarget(const TransitionContext& context) const;
  std::vector<CascadeStep> CascadeSteps(TransitionContext& context, TimePoint now) const;
  CascadeKey StatisticsKey() const;
  VersionDecision ChooseVersion(const TransitionContext& context, const ModelTarget& target) const;
  ChoiceRequest ChoiceRequestFor(const TransitionContext& context,
                                 const std::optional<ModelVersion>& version) const;
  bool StreamsToCaller() const;
  bool MayAdvanceToNextStep(const TransitionContext& context) const;
  void BeginStep(const CascadeDecision& decision);
  Actions Launch(TransitionContext& context, TimePoint now, bool hedge = false);
  Actions LaunchService(TransitionContext& context, TimePoint now, bool hedge);
  Actions LaunchModel(TransitionContext& context, TimePoint now, bool hedge);
  Actions DispatchTo(TransitionContext& context, TimePoint now, const UpstreamDecision& choice,
                     const std::optional<ModelVersion>& version, bool pin_session, bool hedge);
  Actions OnNoUpstream(TransitionContext& context, TimePoint now, const UpstreamDecision& choice);
  Actions Retry(TransitionContext& context, TimePoint now, HandOverState hand_over,
                RefusalKind cause);

  // Ending the request, in request_end.cc.
  Actions EndFailed(TransitionContext& context, TimePoint now, RefusalKind kind,
                    std::optional<milliseconds> retry_after = std::nullopt,
                    std::string message = {});
  Actions EndAnswered(TransitionContext& context, TimePoint now, AttemptNumber attempt,
                      std::size_t step, bool degraded);
  Actions EndRefused(TransitionContext& context, TimePoint now, RefusalKind kind,
                     std::optional<milliseconds> retry_after, std::string message);
  /// Closes and reports every running attempt except `kept` (0: none); returns those to cancel.
  std::vector<AttemptNumber> CloseOtherAttempts(TransitionContext& context, TimePoint now,
                                                AttemptNumber kept, AttemptOutcome outcome);
  void ReportResult(TransitionContext& context, Attempt& attempt, AttemptResult measured,
                    TimePoint now);

  Attempt* FindOpenAttempt(AttemptNumber number);
  bool AnyRunning() const;
  void Record(TimePoint now, DecisionReason reason, AttemptNumber attempt = 0,
              std::string subject = {});

  RequestTraits traits;
  bool ended = false;
  std::vector<Attempt> attempts;
  std::vector<UpstreamId> excluded;
  CurrentStep current_step;
  std::optional<BestAnswer> best_answer;
  /// The candidate has no upstream, or failed a request without a session: the default is used.
  bool use_default_version = false;
  bool on_candidate = false;
  /// Part of the answer, generated by `stream_version`, was sent to the caller.
  bool stream_started = false;
  std::optional<ModelVersion> stream_version;
  /// The token at which a broken stream can be resumed; absent if it is not known.
  std::optional<std::uint32_t> resume_offset;
  std::optional<milliseconds> last_retry_after;
  /// The kind of failure of the last attempt.
  std::optional<RefusalKind> last_failure;
  std::vector<DecisionRecord> trace;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_STATE_MACHINE_H_
