#include "gateway/call_runner.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/config/permission.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
/// Time after the request's deadline in which the final answer may still be written to the caller.
constexpr Duration kFinalAnswerGrace = milliseconds(250);
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

/// Whether callers may conclude from the status that their request has not run.
bool ImpliesNotRun(int status) {
  constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

std::string RetryAfterText(milliseconds delay) {
  std::array<char, 32> text{};
  const std::chrono::duration<double> in_seconds = delay;
  const int size = std::snprintf(text.data(), text.size(), "%.2f", in_seconds.count());
  return {text.data(), static_cast<std::size_t>(size)};
}

/// The id of the last part of a prompt that other requests share: the last but one, since the last
/// part is the request's own.
std::string SharedPart(const std::vector<PromptPart>& prompt) {
  return prompt.size() < 2 ? "" : prompt[prompt.size() - 2].id;
}

std::string ToText(const std::vector<PromptPartId>& parts) {
  constexpr std::size_t kMaxBytes = 200;
  std::string text;
  for (std::size_t index = 0; index < parts.size() && text.size() < kMaxBytes; ++index) {
    text += (index == 0 ? "" : ",") + parts[index].Value();
  }
  return text.substr(0, kMaxBytes);
}

/// How long the answer has lasted; -1 before it begins.
std::int64_t AgeMs(const UpstreamAttempt& attempt, TimePoint now) {
  return attempt.AnswerBegun() ? duration_cast<milliseconds>(attempt.AnswerAge(now)).count() : -1;
}

/// The part of one answer in the bytes that all answers of the gateway have buffered.
class BufferedBytes {
 public:
  explicit BufferedBytes(std::atomic<std::size_t>& total) : total(total) {}
  ~BufferedBytes() { this->total -= this->own; }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  void Add(std::size_t bytes) {
    this->own += bytes;
    this->total += bytes;
  }
  std::size_t Total() const { return this->total; }

 private:
  std::atomic<std::size_t>& total;
  std::size_t own = 0;
};

void Pause(Duration duration) {
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, duration);
}

}  // namespace

routing::RetryBudget& RetryBudgets::For(const ServiceId& service) {
  const std::scoped_lock lock(this->mutex);
  std::unique_ptr<routing::RetryBudget>& budget = this->budgets[service];
  if (budget == nullptr) {
    budget = std::make_unique<routing::RetryBudget>(
        routing::RetryBudgetSettings{.retries_per_request = this->settings.retries_per_request,
                                     .max_balance = this->settings.retry_balance,
                                     .initial_balance = this->settings.retry_balance,
                                     .hedge_reserve = 0});
  }
  return *budget;
}

CallRunner::CallRunner(const CallContext& context, const net::RequestHead& request,
                       const std::string& body, CallerStream& caller, TimePoint arrived_at)
    : context(context),
      request(request),
      body(body),
      caller(caller),
      arrived_at(arrived_at),
      deadline(arrived_at) {}

void CallRunner::Run() {
  ++this->context.metrics.received;
  this->metadata = this->context.protocol.read_call(this->request);
  this->shared_parts = SharedPartsOf(this->metadata.prompt);
  if (const std::optional<Refusal> refusal = this->Admit()) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return;
  }
  this->ChooseService();
  if (const std::optional<Refusal> refusal = this->CheckTimeLeft()) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return;
  }
  this->context.budgets.For(this->service).OnRequest();
  while (this->MakeAttempt() == NextStep::kTryAgain) {
  }
}

/// Finds the route, sets the deadline and checks the key and the lease.
std::optional<Refusal> CallRunner::Admit() {
  this->AwaitLease();
  if (this->view == nullptr) {
    return Refusal{RefusalKind::kNoLease, Execution::kNotRun,
                   "This node has no configuration yet. Retry later.",
                   this->context.settings.retry_after_no_lease};
  }
  const RouteTable& table = *this->view->table;
  this->route = table.FindRoute(this->request.Header("Host").value_or(""), this->request.Path());
  const config::LeaseCheck lease = this->context.check_lease();
  if (this->route == nullptr) {
    if (!lease.valid) {
      return this->CheckLease();
    }
    return Refusal{RefusalKind::kUnknownModel, Execution::kNotRun,
                   "No declared route matches this host and path. Check both.", std::nullopt};
  }
  const milliseconds waits =
      std::min(this->route->timeout, this->metadata.time_left.value_or(this->route->timeout));
  this->deadline = this->arrived_at + Duration(waits);
  this->owner.rank = this->route->rank;
  if (!table.requires_keys || this->route->is_public) {
    return std::nullopt;
  }
  if (std::optional<Refusal> refusal = this->CheckLease()) {
    return refusal;
  }
  const KeyOwner* holder = table.FindKey(this->metadata.key);
  if (holder == nullptr) {
    return Refusal{RefusalKind::kUnauthenticated, Execution::kNotRun,
                   "The API key is missing or unknown. Send \"Authorization: Bearer KEY\".",
                   std::nullopt};
  }
  this->owner.team = holder->team;
  if (holder->rank) {
    this->owner.rank = holder->rank;
  }
  return std::nullopt;
}

/// Lets a request that arrives shortly before the first lease wait for it, but only for a share of
/// the time that its caller waits, so that the answer can still be in time.
void CallRunner::AwaitLease() {
  const milliseconds waits =
      this->metadata.time_left.value_or(this->context.settings.max_lease_wait);
  const Duration share = duration_cast<Duration>(std::chrono::duration<double, std::milli>(waits) *
                                                 this->context.settings.lease_wait_share);
  this->context.await_lease(this->arrived_at +
                            std::min(share, Duration(this->context.settings.max_lease_wait)));
  this->view = this->context.view();
}

/// Keys are accepted only while a lease shows that this node's configuration is current.
std::optional<Refusal> CallRunner::CheckLease() const {
  const config::LeaseCheck lease = this->context.check_lease();
  if (lease.valid) {
    return std::nullopt;
  }
  return Refusal{RefusalKind::kNoLease, Execution::kNotRun,
                 "This node has no valid lease: its configuration may be out of date. Retry later.",
                 this->context.settings.retry_after_no_lease};
}

std::optional<Refusal> CallRunner::CheckTimeLeft() const {
  const std::optional<TimePoint> ends_at = this->context.ends_at();
  const DeclaredService* declared = this->view->table->FindService(this->service);
  if (!ends_at || this->route->kind != RouteKind::kStream || declared == nullptr) {
    return std::nullopt;
  }
  const std::uint64_t events = this->metadata.max_output_tokens / declared->tokens_per_event + 1;
  const Duration needed = Duration(this->route->latency_target) +
                          this->context.pace.EstimateMaxDuration(this->service, events);
  if (this->clock.Now() + needed <= *ends_at) {
    return std::nullopt;
  }
  return Refusal{RefusalKind::kStopping, Execution::kNotRun,
                 "This node would probably stop before the stream ends. Use another node.",
                 this->context.settings.retry_after_stopping};
}

/// Chooses one of the route's services by weight, and the same one for all requests of a session.
void CallRunner::ChooseService() {
  std::uint64_t total = 0;
  for (const RouteTarget& target : this->route->targets) {
    total += target.weight;
  }
  const std::string session = this->SessionKey();
  const std::string& subject = session.empty() ? this->metadata.request.Value() : session;
  std::uint64_t draw = total == 0 ? 0 : Hash64(subject) % total;
  for (const RouteTarget& target : this->route->targets) {
    if (draw < target.weight) {
      this->service = target.service;
      return;
    }
    draw -= target.weight;
  }
}

/// A key that is equal for all requests of a session: the session's id or, without one, the shared
/// part of the prompt.
std::string CallRunner::SessionKey() const {
  return this->metadata.session.empty() ? SharedPart(this->metadata.prompt)
                                        : this->metadata.session;
}

TimePoint CallRunner::LatencyBound(double factor) const {
  const std::chrono::duration<double, std::milli> target = this->route->latency_target;
  return this->arrived_at + duration_cast<Duration>(target * factor);
}

/// The prompt's tokens, weighted by the model's cost relative to the strongest one: a strong model
/// takes more of an engine's time.
WorkEstimate CallRunner::EstimateWork() const {
  const DeclaredService* declared = this->view->table->FindService(this->service);
  if (declared == nullptr || !declared->is_engine) {
    return {0, 1, 0};
  }
  double weight = 1;
  if (this->metadata.any_model && !this->route->models.empty()) {
    weight = declared->RelativeCost(this->route->models.at(this->model_index));
  }
  double shared = 0;
  for (std::size_t index = 0; index + 1 < this->metadata.prompt.size(); ++index) {
    shared += static_cast<double>(this->metadata.prompt[index].tokens);
  }
  const double own = std::max(static_cast<double>(this->metadata.prompt_tokens) - shared, 1.0);
  return {shared * weight, own * weight, shared * this->context.settings.recompute_price};
}

/// Finds an upstream. Waits for a limited time where only cold ones are left, and refuses the
/// request if there is none.
std::optional<UpstreamPick> CallRunner::FindUpstream() {
  const UpstreamQuery query{this->service, this->tried,
                            this->route->sticky ? SharedPart(this->metadata.prompt) : "",
                            this->EstimateWork(), this->SessionKey()};
  const TimePoint wait_until =
      std::min(this->deadline, this->LatencyBound(this->context.settings.cold_wait_share));
  while (true) {
    const UpstreamPick pick =
        this->context.pool.Pick(query, this->clock.Now(), this->clock.WallNow());
    if (pick.status == PickStatus::kFound) {
      return pick;
    }
    if (pick.status == PickStatus::kRateLimit &&
        this->clock.Now() + pick.retry_after < wait_until && !this->caller.Socket().PeerLeft()) {
      Pause(pick.retry_after);
      continue;
    }
    if (this->may_have_run) {
      this->Refuse(RefusalKind::kUpstreamFailed, "No other upstream can take over the request.");
    } else if (pick.status == PickStatus::kNoUpstream) {
      this->Refuse(RefusalKind::kNoUpstream,
                   "The service has no upstream that takes requests. Retry later.",
                   this->context.settings.retry_after_no_lease);
    } else {
      this->Refuse(RefusalKind::kOverloaded,
                   "All upstreams of the service are at their limits or were tried.",
                   std::max(this->context.settings.retry_after,
                            duration_cast<milliseconds>(pick.retry_after)));
    }
    return std::nullopt;
  }
}

AttemptParameters CallRunner::MakeAttemptParameters(const ListedUpstream& upstream) const {
  AttemptParameters parameters;
  parameters.upstream = upstream.id;
  parameters.team = this->owner.team;
  parameters.time_left =
      std::max(duration_cast<milliseconds>(this->deadline - this->clock.Now()), milliseconds(1));
  parameters.rank = this->owner.rank;
  if (this->metadata.any_model && !this->route->models.empty()) {
    parameters.model = this->route->models.at(this->model_index);
  }
  parameters.after_event = this->events.LastEventId();
  return parameters;
}

/// The time limits of the next attempt. A silent or slow upstream is abandoned only if a retry
/// elsewhere is granted: otherwise a late answer is better than none.
AttemptTimes CallRunner::MakeTimes(std::uint32_t attempts_made) {
  AttemptTimes times{this->deadline, this->deadline, this->context.settings.upstream_silence, {}};
  if (!this->route->Repeatable()) {
    return times;
  }
  const std::chrono::duration<double, std::milli> target = this->route->latency_target;
  if (this->route->kind == RouteKind::kIdempotent) {
    times.answer_by = this->clock.Now() +
                      duration_cast<Duration>(target * this->context.settings.slow_answer_factor);
  } else if (!this->caller.Begun()) {
    // The upstream processes a long prompt before it sends the first event.
    times.max_silence =
        std::max(times.max_silence,
                 duration_cast<Duration>(target * this->context.settings.slow_start_factor));
  }
  times.may_retry_elsewhere = [this, attempts_made] {
    if (!this->granted_retry) {
      const routing::RetryDecision decision =
          this->TakeRetry(routing::HandOverState::kMayHaveRun, attempts_made);
      if (!decision.retry) {
        return false;
      }
      this->granted_retry = decision;
    }
    return true;
  };
  return times;
}

routing::RetryDecision CallRunner::TakeRetry(routing::HandOverState hand_over,
                                             std::uint32_t attempts_made) {
  return routing::DecideRetry({.hand_over = hand_over,
                               .repeatable = this->route->Repeatable(),
                               .stream_started = this->caller.Begun(),
                               .resumable = this->route->resumable,
                               .attempts_made = attempts_made,
                               .max_attempts = this->route->max_attempts,
                               .now = this->clock.Now(),
                               .deadline = this->deadline},
                              this->context.budgets.For(this->service));
}

CallRunner::NextStep CallRunner::MakeAttempt() {
  if (this->clock.Now() >= this->deadline) {
    this->Refuse(this->may_have_run ? RefusalKind::kDeadlineExceeded : RefusalKind::kOverloaded,
                 "The deadline of the request has passed.", this->context.settings.retry_after);
    return NextStep::kStop;
  }
  if (const auto part = this->context.prompts.FindBlocked(this->shared_parts, this->clock.Now())) {
    this->Refuse(RefusalKind::kPromptBlocked,
                 "Upstreams ended under requests with the prompt part " + part->Value() +
                     ". Leave it out, or ask an operator to lift the block.",
                 this->context.settings.retry_after_blocked);
    return NextStep::kStop;
  }
  const std::optional<UpstreamPick> pick = this->FindUpstream();
  if (!pick) {
    return NextStep::kStop;
  }
  this->survival_recorded = false;
  this->last_pick = *pick;
  UpstreamAttempt attempt(*pick, this->context.protocol, this->context.pool,
                          this->context.settings);
  if (!this->owner.team.Empty()) {
    // The lease may have expired while the request waited.
    if (const std::optional<Refusal> refusal = this->CheckLease()) {
      this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
      return NextStep::kStop;
    }
  }
  const AttemptEnd end = attempt.Start(this->request, this->MakeAttemptParameters(pick->upstream),
                                       this->body, this->metadata.request, this->caller.Socket(),
                                       this->MakeTimes(this->attempts + 1));
  this->last_attempt_end = ToString(end);
  this->context.metrics.limited_answers += attempt.Metadata().requests_per_second ? 1 : 0;
  this->tried.insert(pick->upstream.id);
  // If another upstream has taken over the address and rejected the request, the request has not
  // reached the chosen one.
  this->attempts += attempt.HandedOver() && !attempt.Metadata().other_upstream ? 1 : 0;
  return this->OnEnd(attempt, end);
}

CallRunner::NextStep CallRunner::OnEnd(UpstreamAttempt& attempt, AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return this->OnAnswer(attempt);
    case AttemptEnd::kNotConnected:
      attempt.SetVerdict(AttemptVerdict::kFailure);
      ++this->connect_failures;
      if (this->connect_failures <= this->context.settings.max_connect_failures) {
        return NextStep::kTryAgain;
      }
      this->Refuse(this->may_have_run ? RefusalKind::kUpstreamFailed : RefusalKind::kNoUpstream,
                   "Cannot connect to any upstream of the service.",
                   this->context.settings.retry_after);
      return NextStep::kStop;
    case AttemptEnd::kNotRun:
      if (attempt.Metadata().other_upstream) {
        this->context.pool.OnAddressTaken(attempt.Upstream().id, this->clock.Now());
      }
      return this->RetryOrRefuse(attempt, end, RefusalKind::kOverloaded);
    case AttemptEnd::kCallerDisconnected:
      this->RecordEnd("cancelled", 0, "caller_left");
      this->context.metrics.refusals.Add(RefusalKind::kCancelled);
      this->caller.Abort();
      return NextStep::kStop;
    case AttemptEnd::kTimeout:
      this->may_have_run = this->may_have_run || attempt.HandedOver();
      this->Refuse(RefusalKind::kDeadlineExceeded,
                   "The upstream did not answer before the request's deadline.");
      return NextStep::kStop;
    case AttemptEnd::kBroken:
    case AttemptEnd::kSilent:
    case AttemptEnd::kSlow:
    case AttemptEnd::kFinished:
      break;
  }
  this->may_have_run = true;
  this->RecordVerdict(attempt, false);
  if (end == AttemptEnd::kBroken && attempt.ConnectionLost()) {
    this->RecordLostStart(attempt);
    if (!this->context.prompts.MayRetry(this->metadata.request, this->shared_parts)) {
      this->granted_retry.reset();
      kLog.Info("Not retried, since upstreams may end under the prompt.",
                {{"request", this->metadata.request},
                 {"upstream", attempt.Upstream().id},
                 {"prompt", ToText(this->shared_parts)}});
      this->Refuse(RefusalKind::kUpstreamFailed,
                   "The upstream failed, and others may fail under the same prompt.");
      return NextStep::kStop;
    }
  }
  return this->RetryOrRefuse(attempt, end, RefusalKind::kUpstreamFailed);
}

CallRunner::NextStep CallRunner::RetryOrRefuse(const UpstreamAttempt& attempt, AttemptEnd end,
                                               RefusalKind kind) {
  const bool not_run = end == AttemptEnd::kNotRun;
  const routing::RetryDecision decision =
      this->granted_retry ? *std::exchange(this->granted_retry, std::nullopt)
                          : this->TakeRetry(not_run ? routing::HandOverState::kFenced
                                                    : routing::HandOverState::kMayHaveRun,
                                            this->attempts);
  this->context.metrics.retries.Add(decision.reason);
  kLog.Info("An attempt failed.", {{"request", this->metadata.request},
                                   {"upstream", attempt.Upstream().id},
                                   {"end", ToString(end)},
                                   {"status", attempt.Head().status},
                                   {"answer_age_ms", AgeMs(attempt, this->clock.Now())},
                                   {"prompt", ToText(this->shared_parts)},
                                   {"attempt", this->attempts},
                                   {"again", decision.retry},
                                   {"reason", routing::ToString(decision.reason)}});
  if (decision.retry) {
    return NextStep::kTryAgain;
  }
  if (this->caller.Begun()) {
    this->RecordEnd("failed", 0, "answer_interrupted");
    this->context.metrics.refusals.Add(RefusalKind::kAnswerInterrupted);
    this->caller.Abort();
    return NextStep::kStop;
  }
  this->Refuse(this->may_have_run ? RefusalKind::kUpstreamFailed : kind,
               not_run ? "The last upstream did not run the request; no further attempt is allowed."
                       : "The upstream failed; no further attempt is allowed.",
               this->context.settings.retry_after);
  return NextStep::kStop;
}

/// Records the result of an attempt for the health of its upstream and the evidence on its version.
void CallRunner::RecordVerdict(UpstreamAttempt& attempt, bool good) {
  attempt.SetVerdict(good ? AttemptVerdict::kSuccess : AttemptVerdict::kFailure);
  const ListedUpstream& upstream = attempt.Upstream();
  routing::AttemptResult result;
  result.outcome = good ? routing::AttemptOutcome::kAnswered : routing::AttemptOutcome::kFailed;
  this->context.evidence.Add({ModelId(upstream.service.Value()), upstream.version},
                             upstream.failure_domain, result);
}

void CallRunner::RecordLostStart(const UpstreamAttempt& attempt) {
  const TimePoint now = this->clock.Now();
  const std::optional<Duration> age =
      attempt.AnswerBegun() ? std::optional(attempt.AnswerAge(now)) : std::nullopt;
  if (!age || *age < this->context.prompts.Settings().survival_time) {
    ++this->context.metrics.early_breaks;
  }
  this->context.prompts.OnLost(attempt.Upstream(), this->metadata.request, this->shared_parts, age,
                               now);
}

void CallRunner::RecordSurvival(const UpstreamAttempt& attempt, bool is_complete) {
  const TimePoint now = this->clock.Now();
  const Duration age = attempt.AnswerAge(now);
  if (this->survival_recorded || this->shared_parts.empty() ||
      (!is_complete && age < this->context.prompts.Settings().survival_time)) {
    return;
  }
  this->survival_recorded = true;
  this->context.prompts.OnSurvived(this->shared_parts, now - age, now);
}

/// Records the time to the start of an answer as evidence on its version.
void CallRunner::RecordFirstToken(const UpstreamAttempt& attempt) {
  const ListedUpstream& upstream = attempt.Upstream();
  const WorkEstimate work = this->EstimateWork();
  this->context.evidence.AddFirstToken(
      {ModelId(upstream.service.Value()), upstream.version}, upstream.failure_domain,
      routing::GroupOf(this->route->id.Value(), work.shared + work.own), attempt.AnswerLatency());
}

CallRunner::NextStep CallRunner::OnAnswer(UpstreamAttempt& attempt) {
  const int status = attempt.Head().status;
  this->may_have_run = true;
  const bool failed = status >= kFirstServerError;
  if (failed) {
    this->RecordVerdict(attempt, false);
    // Where a second run is harmless, another upstream may succeed.
    if (this->route->Repeatable() && !this->caller.Begun()) {
      const routing::RetryDecision decision =
          this->TakeRetry(routing::HandOverState::kMayHaveRun, this->attempts);
      this->context.metrics.retries.Add(decision.reason);
      if (decision.retry) {
        kLog.Info("An upstream answered with a server error; retrying elsewhere.",
                  {{"request", this->metadata.request},
                   {"upstream", attempt.Upstream().id},
                   {"status", status}});
        return NextStep::kTryAgain;
      }
    }
  }
  if (this->caller.Begun() && !IsSuccess(status)) {
    return this->RetryOrRefuse(attempt, AttemptEnd::kBroken, RefusalKind::kAnswerInterrupted);
  }
  if (IsSuccess(status)) {
    this->context.lateness.Add(this->service, attempt.AnswerLatency(), this->route->latency_target,
                               this->clock.Now());
    this->RecordFirstToken(attempt);
  }
  if (IsSuccess(status) && !this->caller.Begun() && this->ShouldEscalate(attempt)) {
    attempt.SetVerdict(AttemptVerdict::kSuccess);
    this->context.prompts.OnDiscarded(attempt.Upstream(), this->metadata.request,
                                      this->shared_parts, this->clock.Now());
    ++this->context.metrics.escalated;
    this->model_index = this->route->models.size() - 1;
    this->tried.clear();
    return NextStep::kTryAgain;
  }
  if (this->route->kind == RouteKind::kStream && IsSuccess(status)) {
    return this->RelayStream(attempt);
  }
  return this->RelayWhole(attempt);
}

double CallRunner::ConfidenceTarget() const {
  const auto& targets = this->context.settings.confidence_targets;
  return ConfidenceTargetUnderLoad(
      targets.at(std::min<std::size_t>(this->route->rank, targets.size() - 1)),
      this->context.lateness.Read(this->service, this->clock.Now()));
}

/// Whether the answer, of which the caller has received nothing yet, is discarded for a stronger
/// model's.
bool CallRunner::ShouldEscalate(const UpstreamAttempt& attempt) {
  const std::optional<double> confidence = attempt.Metadata().confidence;
  if (!this->metadata.any_model || this->model_index + 1 >= this->route->models.size() ||
      !confidence || *confidence >= this->ConfidenceTarget() ||
      this->attempts >= this->route->max_attempts) {
    return false;
  }
  return this->context.budgets.For(this->service).TryTake();
}

CallRunner::NextStep CallRunner::RelayWhole(UpstreamAttempt& attempt) {
  std::string answer;
  const AttemptTimes times = this->MakeTimes(this->attempts);
  AttemptEnd end = AttemptEnd::kAnswered;
  BufferedBytes buffered(this->context.metrics.buffered_bytes);
  while (end == AttemptEnd::kAnswered && answer.size() <= this->context.settings.max_answer_bytes &&
         buffered.Total() <= this->context.settings.max_buffered_bytes) {
    std::string part;
    end = attempt.ReadPart(part, this->caller.Socket(), times);
    answer += part;
    buffered.Add(part.size());
  }
  if (end != AttemptEnd::kFinished) {
    return this->OnEnd(attempt, end == AttemptEnd::kAnswered ? AttemptEnd::kBroken : end);
  }
  const net::AnswerHead& head = attempt.Head();
  if (ImpliesNotRun(head.status)) {
    // The upstream has run the request or does not say, while its status would imply the opposite.
    this->Refuse(RefusalKind::kUpstreamFailed,
                 "The upstream failed the request and may have run it.");
    return NextStep::kStop;
  }
  if (head.status < kFirstServerError) {
    this->RecordVerdict(attempt, true);
  }
  this->RecordSurvival(attempt, true);
  this->first_byte = this->clock.Now() - this->arrived_at;
  this->caller.SendWhole(head.status, net::WithoutConnectionFields(head.headers), answer,
                         this->deadline + kFinalAnswerGrace);
  this->RecordEnd("answered", head.status, "");
  return NextStep::kStop;
}

bool CallRunner::BeginStream(const UpstreamAttempt& attempt) {
  this->stream_begun_at = this->clock.Now();
  this->first_byte = this->stream_begun_at - this->arrived_at;
  const net::AnswerHead& head = attempt.Head();
  return this->caller.Begin(head.status, net::WithoutConnectionFields(head.headers),
                            this->deadline);
}

CallRunner::NextStep CallRunner::RelayStream(UpstreamAttempt& attempt) {
  const AttemptTimes times = this->MakeTimes(this->attempts);
  this->events.DropPending();
  const std::uint64_t events_before = this->events.EventCount();
  while (true) {
    std::string part;
    AttemptEnd end = attempt.ReadPart(part, this->caller.Socket(), times);
    const std::string events_now = this->events.Feed(part);
    if (this->events.TooLong()) {
      end = AttemptEnd::kBroken;
    }
    if (!events_now.empty()) {
      if ((!this->caller.Begun() && !this->BeginStream(attempt)) ||
          !this->caller.WritePart(events_now, this->deadline)) {
        return this->OnEnd(attempt, AttemptEnd::kCallerDisconnected);
      }
    }
    if (end == AttemptEnd::kAnswered) {
      this->RecordSurvival(attempt, false);
      continue;
    }
    // A connection that ends before the first event of a resumed stream does not tell its end.
    const bool is_told = !attempt.EndsWithConnection() || this->events.EventCount() > events_before;
    if (end == AttemptEnd::kFinished && is_told && this->events.Pending().empty() &&
        this->caller.Begun()) {
      this->RecordVerdict(attempt, true);
      this->RecordSurvival(attempt, true);
      this->context.pace.Add(this->service, this->events.EventCount(),
                             this->clock.Now() - this->stream_begun_at);
      this->caller.End(this->deadline + kFinalAnswerGrace);
      this->RecordEnd("answered", attempt.Head().status, "");
      return NextStep::kStop;
    }
    if (end == AttemptEnd::kTimeout && this->caller.Begun()) {
      this->RecordEnd("failed", 0, "deadline_exceeded");
      this->context.metrics.refusals.Add(RefusalKind::kDeadlineExceeded);
      this->caller.Abort();
      return NextStep::kStop;
    }
    if (end == AttemptEnd::kFinished) {
      end = AttemptEnd::kBroken;
    }
    if (this->caller.Begun() && (end == AttemptEnd::kBroken || end == AttemptEnd::kSilent)) {
      ++this->context.metrics.resumed;
    }
    return this->OnEnd(attempt, end);
  }
}

Execution CallRunner::ExecutionSoFar() const {
  return this->may_have_run ? Execution::kUnknown : Execution::kNotRun;
}

void CallRunner::Refuse(RefusalKind kind, std::string message,
                        std::optional<milliseconds> retry_after) {
  this->context.metrics.refusals.Add(kind);
  if (this->caller.Begun()) {
    this->caller.Abort();
    this->RecordEnd("failed", 0, ToString(kind));
    return;
  }
  const Execution execution = this->ExecutionSoFar();
  int status = HttpStatus(kind);
  constexpr int kBadGateway = 502;
  if (ImpliesNotRun(status) && execution != Execution::kNotRun) {
    status = kBadGateway;
  }
  std::vector<net::HeaderField> headers = {{"Content-Type", "application/json"}};
  if (retry_after && ImpliesNotRun(status)) {
    headers.push_back({"Retry-After", RetryAfterText(*retry_after)});
  }
  const nlohmann::json answer = {{"error",
                                  {{"kind", ToString(kind)},
                                   {"message", message},
                                   {"not_run", NotRunText(execution)},
                                   {"request_id", this->metadata.request.Value()}}}};
  this->caller.SendWhole(status, std::move(headers), answer.dump(),
                         std::max(this->deadline, this->clock.Now()) + kFinalAnswerGrace);
  this->RecordEnd(execution == Execution::kNotRun ? "refused" : "failed", status, ToString(kind));
}

/// The model of the last attempt; empty where the system did not choose it.
std::string CallRunner::LastModel() const {
  const bool chosen =
      this->route != nullptr && this->metadata.any_model && !this->route->models.empty();
  return chosen ? this->route->models.at(this->model_index).Value() : "";
}

void CallRunner::RecordEnd(std::string_view outcome, int status, std::string_view reason) {
  const Duration whole = this->clock.Now() - this->arrived_at;
  if (outcome == "answered") {
    ++this->context.metrics.answered;
    this->context.metrics.whole.Record(whole);
  }
  if (this->first_byte) {
    this->context.metrics.first_byte.Record(*this->first_byte);
  }
  kLog.Info("Request ended.",
            {{"request", this->metadata.request},
             {"outcome", outcome},
             {"status", status},
             {"reason", reason},
             {"route", this->route == nullptr ? "" : this->route->id.Value()},
             {"team", this->owner.team},
             {"service", this->service},
             {"upstream", this->last_pick.upstream.id},
             {"choice", ToString(this->last_pick.reason)},
             {"work_ahead", static_cast<std::int64_t>(this->last_pick.load)},
             {"model", this->LastModel()},
             {"last_attempt", this->last_attempt_end},
             {"attempts", this->attempts},
             {"events", this->events.EventCount()},
             {"first_byte_ms",
              this->first_byte ? duration_cast<milliseconds>(*this->first_byte).count() : -1},
             {"total_ms", duration_cast<milliseconds>(whole).count()},
             {"number", this->view == nullptr || this->view->configuration == nullptr
                            ? 0
                            : this->view->configuration->number},
             {"revision", this->view == nullptr ? 0 : this->view->table->revision}});
}

}  // namespace masticrill::gateway
