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

#include "gateway/caller_stream.h"
#include "gateway/gateway_metrics.h"
#include "gateway/upstream_attempt.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/lease.h"
#include "masticrill/gateway/answer_lateness.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/event_splitter.h"
#include "masticrill/gateway/gateway_settings.h"
#include "masticrill/gateway/gateway_view.h"
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

/// What all requests of a gateway share. All outlives them.
struct CallContext {
  const EdgeProtocol& protocol;
  const CallSettings& settings;
  UpstreamPool& pool;
  RetryBudgets& budgets;
  routing::EvidenceTable& evidence;
  GatewayMetrics& metrics;
  StreamPace& pace;
  AnswerLateness& lateness;
  /// The lease at this moment.
  std::function<config::LeaseCheck()> check_lease;
  /// The configuration in force; null while there is none.
  std::function<GatewayViewPtr()> view;
  /// Waits until there is a configuration and a lease, at most until then, where one is expected
  /// soon; returns at once otherwise.
  std::function<void(TimePoint)> await_lease;
  /// When this process ends at the latest; nothing while it is not stopping.
  std::function<std::optional<TimePoint>()> ends_at;
};

/// Carries one request from its arrival to its end: checks it, chooses model and upstream, makes
/// the attempts and relays the answer. Used by one thread.
class CallRunner {
 public:
  CallRunner(const CallContext& parts, const net::RequestHead& request, const std::string& body,
             CallerStream& caller, TimePoint arrived_at);

  void Run();

 private:
  /// What to do after an attempt.
  enum class Next { kStop, kTryAgain };

  std::optional<Refusal> Admit();
  void AwaitLease();
  std::optional<Refusal> CheckLease() const;
  /// Refuses a stream that would probably outlast this process, which is stopping.
  std::optional<Refusal> CheckTimeLeft() const;
  void ChooseService();
  WorkEstimate EstimateWork() const;
  std::optional<UpstreamPick> FindUpstream();
  AttemptParameters MakeOrder(const ListedUpstream& upstream) const;
  AttemptTimes MakeTimes(std::uint32_t attempts_made);
  Next TryOnce();
  Next OnEnd(UpstreamAttempt& attempt, AttemptEnd end);
  Next OnAnswer(UpstreamAttempt& attempt);
  Next RelayWhole(UpstreamAttempt& attempt);
  Next RelayStream(UpstreamAttempt& attempt);
  bool BeginStream(const UpstreamAttempt& attempt);
  double ConfidenceTarget() const;
  bool ShouldEscalate(const UpstreamAttempt& attempt);
  /// Takes what a further attempt costs, if one is allowed.
  routing::RetryDecision TakeRetry(routing::HandOverState hand_over, std::uint32_t attempts_made);
  /// Tries elsewhere if that is allowed, or ends the request.
  Next RetryOr(const UpstreamAttempt& attempt, AttemptEnd end, RefusalKind kind);
  void Judge(UpstreamAttempt& attempt, AttemptEnd end, bool good);
  void Refuse(RefusalKind kind, std::string message,
              std::optional<milliseconds> retry_after = std::nullopt);
  std::string LastModel() const;
  void Note(std::string_view outcome, int status, std::string_view reason);
  Execution ExecutionSoFar() const;
  TimePoint LatencyBound(double factor) const;
  std::string SessionKey() const;

  const CallContext& parts;
  GatewayViewPtr view;
  const net::RequestHead& request;
  const std::string& body;
  CallerStream& caller;
  SystemClock clock;
  TimePoint arrived_at;
  TimePoint deadline;
  CallMetadata facts;
  const Route* route = nullptr;
  KeyOwner owner;
  ServiceId service;
  std::size_t model_step = 0;
  std::set<UpstreamId> tried;
  std::uint32_t attempts = 0;
  std::uint32_t connect_failures = 0;
  bool may_have_run = false;
  /// Granted while the attempt still ran, when its upstream was given up.
  std::optional<routing::RetryDecision> granted_retry;
  EventSplitter events;
  UpstreamPick last_pick;
  std::string last_end;
  std::optional<Duration> first_byte;
  TimePoint stream_begun_at;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALL_RUNNER_H_
