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
  /// A repeatable request without a first token is hedged after this many expected times; 0 turns
  /// hedging off.
  double hedge_factor = 4;
  Duration shortest_hedge = milliseconds(100);
  /// The pause before a running attempt is asked again for its end.
  Duration fence_interval = milliseconds(200);
  /// What a refusal for lack of upstreams or budget tells the caller to wait.
  milliseconds default_retry_after{1000};

  friend bool operator==(const RequestSettings&, const RequestSettings&) = default;
};

/// The shared state that a step of the machine reads and updates. The directory is that of the
/// configuration now in force; the lease flag is read just before each dispatch.
struct TransitionContext {
  const UpstreamDirectory& directory;
  UpstreamTable& table;
  RetryBudget& retry_budget;
  CascadePolicy& cascades;
  Random& random;
  const RequestSettings& settings;
  /// Collects what the attempts show of their versions; may be null.
  EvidenceTable* evidence = nullptr;
  bool lease_valid = false;
};

/// The reason of one decision. The enumerations don't share values.
using DecisionReason =
    std::variant<VersionReason, ChoiceReason, RetryReason, CascadeReason, RefusalKind, FenceResult>;

std::string_view ToString(FenceResult result);
std::string_view ToString(const DecisionReason& reason);

/// One line of the trace that `explain` shows.
struct DecisionRecord {
  /// Since the request was received.
  Duration elapsed{0};
  DecisionReason reason = {};
  AttemptNumber attempt = 0;
  /// The upstream or version that the decision names; empty where it names none.
  std::string subject = {};

  friend bool operator==(const DecisionRecord&, const DecisionRecord&) = default;
};

/// The state machine of one request: takes events and returns what to do. It keeps the table and
/// the budget up to date for its attempts. Used by one thread at a time.
class RequestStateMachine {
 public:
  explicit RequestStateMachine(RequestTraits traits);

  /// The first step, called once.
  Actions Start(TransitionContext& context, TimePoint now);
  Actions OnEvent(TransitionContext& context, const RequestEvent& event, TimePoint now);

  /// Whether the attempt may be handed over. Asked, with a fresh look at the lease, right before
  /// AttemptStarted is raised: the request may have ended since the dispatch was decided.
  bool MayHandOver(AttemptNumber attempt) const;

  /// The request was answered or refused.
  bool Ended() const { return this->ended; }
  /// Whether the request ran, as far as is known.
  Execution ExecutionSoFar() const;
  const RequestTraits& Traits() const { return this->traits; }
  /// The decisions so far, oldest first, at most kMaxTrace of them.
  const std::vector<DecisionRecord>& Trace() const { return this->trace; }

  static constexpr std::size_t kMaxTrace = 64;

 private:
  enum class AttemptState { kDispatched, kStarted, kStreaming, kFencing, kAnswered, kOver };

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
    /// It was handed over, and no fence or sidecar has shown that it never starts.
    bool may_have_run = false;
    bool ran = false;
    /// Its result is in the table.
    bool reported = false;
  };

  /// The step of a cascade that runs now.
  struct CurrentStep {
    std::size_t index = 0;
    bool rate = false;
    bool degraded = false;
  };

  /// The best rated answer, kept for the caller.
  struct BestAnswer {
    AttemptNumber attempt = 0;
    std::size_t step = 0;
    double score = -1;
  };

  Actions On(TransitionContext& context, const AttemptRefused& event, TimePoint now);
  Actions On(TransitionContext& context, const AttemptStarted& event, TimePoint now);
  Actions On(TransitionContext& context, const FirstTokenReceived& event, TimePoint now);
  Actions On(TransitionContext& context, const AttemptFinished& event, TimePoint now);
  Actions On(TransitionContext& context, const AttemptFailed& event, TimePoint now);
  Actions On(TransitionContext& context, const StreamBroken& event, TimePoint now);
  Actions On(TransitionContext& context, const FenceResultReceived& event, TimePoint now);
  Actions On(TransitionContext& context, const RatingReceived& event, TimePoint now);
  Actions On(TransitionContext& context, const ClaimRefused& event, TimePoint now);
  Actions On(TransitionContext& context, const HedgeDue& event, TimePoint now);
  Actions On(TransitionContext& context, const LeaseLost& event, TimePoint now);
  Actions On(TransitionContext& context, const CallerDisconnected& event, TimePoint now);
  Actions On(TransitionContext& context, const DeadlinePassed& event, TimePoint now);

  // Dispatching, in request_dispatch.cc.
  std::optional<ModelTarget> CurrentTarget(const TransitionContext& context) const;
  std::vector<CascadeStep> CascadeSteps(TransitionContext& context, TimePoint now) const;
  CascadeKey KeyOfCascade() const;
  VersionDecision ChooseVersion(const TransitionContext& context, const ModelTarget& target) const;
  ChoiceRequest ChoiceFor(const TransitionContext& context,
                          const std::optional<ModelVersion>& version) const;
  bool StreamsToCaller() const;
  bool MayGoOnToNextStep(const TransitionContext& context) const;
  void BeginStep(const CascadeDecision& decision);
  Actions Launch(TransitionContext& context, TimePoint now, bool hedge = false);
  Actions LaunchService(TransitionContext& context, TimePoint now, bool hedge);
  Actions LaunchModel(TransitionContext& context, TimePoint now, bool hedge);
  Actions DispatchTo(TransitionContext& context, TimePoint now, const UpstreamDecision& choice,
                     const std::optional<ModelVersion>& version, bool pin_session, bool hedge);
  Actions NoUpstream(TransitionContext& context, TimePoint now, const UpstreamDecision& choice);
  Actions Retry(TransitionContext& context, TimePoint now, HandOverState hand_over,
                RefusalKind cause);

  // Ending, in request_end.cc.
  Actions GiveUp(TransitionContext& context, TimePoint now, RefusalKind kind,
                 std::optional<milliseconds> retry_after = std::nullopt, std::string message = {});
  Actions GiveAnswer(TransitionContext& context, TimePoint now, AttemptNumber attempt,
                     std::size_t step, bool degraded);
  Actions EndRefused(TransitionContext& context, TimePoint now, RefusalKind kind,
                     std::optional<milliseconds> retry_after, std::string message);
  /// Reports every open attempt but one as given up; returns those to cancel.
  std::vector<AttemptNumber> CloseOthers(TransitionContext& context, TimePoint now,
                                         AttemptNumber kept, AttemptOutcome outcome);
  void Report(TransitionContext& context, Attempt& attempt, AttemptResult measured, TimePoint now);

  Attempt* Find(AttemptNumber number);
  bool AnyRunning() const;
  void Record(TimePoint now, DecisionReason reason, AttemptNumber attempt = 0,
              std::string subject = {});

  RequestTraits traits;
  bool ended = false;
  std::vector<Attempt> attempts;
  std::vector<UpstreamId> excluded;
  CurrentStep current;
  std::optional<BestAnswer> best;
  /// Retries of a request without a session leave the roll-out's candidate.
  bool use_default_version = false;
  bool on_candidate = false;
  /// Part of the answer has gone to the caller, from this version.
  bool stream_started = false;
  std::optional<ModelVersion> stream_version;
  /// Where the stream can go on, once it broke at a known token.
  std::optional<std::uint32_t> resume_offset;
  std::optional<milliseconds> last_retry_after;
  /// How the last attempt failed.
  std::optional<RefusalKind> last_cause;
  std::vector<DecisionRecord> trace;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_STATE_MACHINE_H_
