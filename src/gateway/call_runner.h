#ifndef MASTICRILL_GATEWAY_CALL_RUNNER_H_
#define MASTICRILL_GATEWAY_CALL_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/active_calls.h"
#include "gateway/caller_stream.h"
#include "gateway/gateway_metrics.h"
#include "gateway/model_confidence.h"
#include "gateway/upstream_attempt.h"
#include "masticrill/common/buffer_budget.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/lease.h"
#include "masticrill/gateway/answer_lateness.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/event_splitter.h"
#include "masticrill/gateway/gateway_settings.h"
#include "masticrill/gateway/gateway_view.h"
#include "masticrill/gateway/patience.h"
#include "masticrill/gateway/prompt_guard.h"
#include "masticrill/gateway/stream_pace.h"
#include "masticrill/gateway/upstream_pool.h"
#include "masticrill/routing/evidence_table.h"
#include "masticrill/routing/retry.h"

namespace masticrill::gateway {

/// The retry budget of each service. Thread-safe.
class RetryBudgets {
 public:
  explicit RetryBudgets(const CallSettings& settings) : settings(settings) {}
  routing::RetryBudget& For(const ServiceId& service);

 private:
  CallSettings settings;
  std::mutex mutex;
  std::map<ServiceId, std::unique_ptr<routing::RetryBudget>> budgets;
};

/// What all requests of a gateway share. The referenced objects outlive the requests. The functions
/// are called by many threads at once.
struct CallContext {
  const EdgeProtocol& protocol;
  const CallSettings& settings;
  UpstreamPool& pool;
  RetryBudgets& budgets;
  BufferBudget& buffers;
  routing::EvidenceTable& evidence;
  PromptGuard& prompts;
  GatewayMetrics& metrics;
  StreamPace& pace;
  AnswerLateness& lateness;
  PatienceGate& patience;
  ModelConfidence& model_confidence;
  /// The configuration in force and its lease; null while there is none.
  std::function<GatewayViewPtr()> view;
  /// Waits for the first configuration, which comes with the first lease, until the given time at
  /// the latest. Returns at once when it is there already or no longer expected soon.
  std::function<void(TimePoint)> await_lease;
  /// When every request must have its answer; absent while this process is not stopping.
  std::function<std::optional<TimePoint>()> answer_by;
  std::function<StopPhase()> phase;
  ActiveCalls& active;
};

/// Handles one request from its arrival to its end: checks it, chooses the model and the upstream,
/// makes the attempts and relays the answer. Used by one thread.
class CallRunner {
 public:
  CallRunner(const CallContext& context, const net::RequestHead& request, const std::string& body,
             CallerStream& caller, TimePoint arrived_at);

  void Run();

 private:
  /// What to do after an attempt.
  enum class NextStep { kStop, kTryAgain };

  std::optional<Refusal> Admit();
  std::optional<Refusal> ReadRoute();
  /// Before a hand-over: turns to a newer configuration. Refuses the request, and changes nothing,
  /// where that handles it differently.
  std::optional<Refusal> UseView(const GatewayViewPtr& newest);
  /// Whether the present route lets a request that was admitted under another one go on.
  bool HandlesAlike(const Route& admitted, const TeamId& team) const;
  void AwaitLease();
  std::optional<Refusal> CheckLease(const GatewayView& of) const;
  /// While this process is stopping: refuses a request that might outlast it.
  std::optional<Refusal> CheckTimeLeft() const;
  /// How long a hand-over now takes until the end of the answer: at most, for a request that must
  /// not run twice; probably, for others.
  Duration TimeNeeded() const;
  /// When a wait ends that the deadline would end, with regard to a planned stop.
  TimePoint WaitUntil() const;
  void ChooseService();
  /// Chooses the model that runs first: the cheapest one where a stronger one can follow.
  void ChooseModel();
  double ModelWeight() const;
  double EstimateKilobytes() const;
  WorkEstimate EstimateWork() const;
  /// The requests with which this one's time to the first token is compared.
  routing::RequestGroup Group() const;
  /// The requests of the route with prompts of a similar size, whatever the model.
  routing::RequestGroup GroupBySize() const;
  UpstreamQuery MakeQuery() const;
  std::optional<UpstreamPick> FindUpstream();
  /// Before the silent or slow upstream of the present attempt is abandoned: finds another one and
  /// connects to it. False while the request cannot go on elsewhere.
  bool PrepareMove(std::uint32_t attempts_made);
  /// Before an answer is discarded for a stronger model's, which ShouldEscalate has granted: the
  /// same. False, with the grant returned, where the request cannot go on.
  bool PrepareEscalation();
  /// Whether the newest configuration, a planned stop and the prompt allow a hand-over now.
  bool MayHandOver();
  /// The service's entry in the configuration; null where there is none.
  const DeclaredService* Declared() const;
  Urgency OwnUrgency() const;
  /// The time to the start of an answer with which lateness is compared: the urgent requests'
  /// target, since an engine delays all alike.
  milliseconds LatenessTarget() const;
  double Lateness() const;
  /// Holds a patient request back while answers begin late. False when its caller has left.
  bool AwaitTurn();
  /// Chooses an upstream and connects to it; `next` is then set.
  bool ConnectNext();
  /// The same with one upstream. Sets `refused` where nothing listens at its address, which the
  /// pool knows from then on.
  bool TryConnectNext(bool& refused);
  /// Whether the request waits for an upstream until its deadline: its caller has the beginning of
  /// a stream, or an upstream that might have answered it was abandoned.
  bool KeepsLooking() const;
  /// Waits a moment before a request that keeps looking tries again. Returns false, at once, for
  /// others, when the time is over and after the caller has left.
  bool PauseToResume();
  static void Pause(Duration duration);
  /// Waits for a place in the retry budget. False when there is none in time.
  bool AwaitRetryBudget();
  AttemptParameters MakeAttemptParameters(const ListedUpstream& upstream) const;
  AttemptTimes MakeTimes(std::uint32_t attempts_made);
  NextStep MakeAttempt();
  NextStep OnEnd(UpstreamAttempt& attempt, AttemptEnd end);
  NextStep OnAnswer(UpstreamAttempt& attempt);
  std::string AnswerOwner() const;
  void LogEndless(const UpstreamAttempt& attempt, std::size_t bytes) const;
  NextStep RelayWhole(UpstreamAttempt& attempt);
  NextStep RelayStream(UpstreamAttempt& attempt);
  bool BeginStream(const UpstreamAttempt& attempt);
  /// Whether the answer can be the rest of the stream that the caller has the beginning of.
  bool ContinuesStream(const net::AnswerHead& head) const;
  double ConfidenceTarget() const;
  bool ShouldEscalate(const UpstreamAttempt& attempt);
  bool HasPlaceToResume() const;
  /// Decides whether a further attempt is allowed and, if so, takes it from the retry budget.
  routing::RetryDecision TakeRetry(routing::HandOverState hand_over, std::uint32_t attempts_made);
  /// Retries at another upstream if that is allowed, or ends the request.
  NextStep RetryOrRefuse(const UpstreamAttempt& attempt, AttemptEnd end, RefusalKind kind);
  void RecordVerdict(UpstreamAttempt& attempt, bool good);
  void RecordFirstToken(const UpstreamAttempt& attempt);
  void RecordConfidence();
  /// Records what a lost connection says about the request and the parts of its prompt.
  void RecordLostStart(const UpstreamAttempt& attempt);
  /// Records, once, that the upstream survives the request.
  void RecordSurvival(const UpstreamAttempt& attempt, bool is_complete);
  void Refuse(RefusalKind kind, std::string message,
              std::optional<milliseconds> retry_after = std::nullopt);
  std::string LastModel() const;
  void RecordEnd(std::string_view outcome, int status, std::string_view reason);
  /// Ends the request of a caller that has left.
  void Cancel();
  /// Closes the connection without a complete answer, which its caller is still waiting for.
  void Cut(std::string_view reason);
  ActiveCall Describe() const;
  Execution ExecutionSoFar() const;
  TimePoint LatencyBound(double factor) const;
  std::string SessionKey() const;

  const CallContext& context;
  GatewayViewPtr view;
  const net::RequestHead& request;
  const std::string& body;
  CallerStream& caller;
  SystemClock clock;
  TimePoint arrived_at;
  ActiveCalls::Slot slot;
  TimePoint deadline;
  CallMetadata metadata;
  const Route* route = nullptr;
  KeyOwner owner;
  ServiceId service;
  std::size_t model_index = 0;
  /// What is compared with other requests; set when the request is admitted.
  RequestParts parts;
  bool survival_recorded = false;
  std::set<UpstreamId> tried;
  std::uint32_t attempts = 0;
  std::uint32_t connect_failures = 0;
  bool may_have_run = false;
  /// A retry that was granted while the attempt still ran, when its upstream was silent or slow.
  std::optional<routing::RetryDecision> granted_retry;
  /// The upstream of that retry, with a connection to it.
  UpstreamPick next_pick;
  std::unique_ptr<UpstreamAttempt> next;
  /// Whether an upstream was abandoned for another one.
  bool moved = false;
  /// Whether the next attempt still lacks a place in the retry budget.
  bool awaits_retry = false;
  EventSplitter events;
  UpstreamPick last_pick;
  std::string last_attempt_end;
  /// What the upstream of the last attempt said of its load; empty where it did not.
  LoadReport last_load;
  /// Of the last answer that began, and of the last one that was discarded for a stronger model's.
  std::optional<double> confidence;
  std::optional<double> discarded_confidence;
  std::optional<Duration> first_byte;
  /// How long the request was held back at this entry.
  Duration held_back{0};
  TimePoint stream_begun_at;
  /// Of the answer with which the stream began.
  int stream_status = 0;
  std::string stream_type;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALL_RUNNER_H_
