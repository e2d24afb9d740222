#include "gateway/call_runner.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"
#include "masticrill/config/permission.h"
#include "masticrill/routing/request_identity.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);

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

/// Whether the request was given up while its upstream may have gone on with it.
bool WasGivenUp(AttemptEnd end) {
  return end == AttemptEnd::kCallerDisconnected || end == AttemptEnd::kTimeout ||
         end == AttemptEnd::kSlow || end == AttemptEnd::kSilent || end == AttemptEnd::kStopping;
}

/// How long the answer has lasted; -1 before it begins.
std::int64_t AgeMs(const UpstreamAttempt& attempt, TimePoint now) {
  return attempt.AnswerBegun() ? duration_cast<milliseconds>(attempt.AnswerAge(now)).count() : -1;
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
      slot(context.active, this->Describe()),
      deadline(arrived_at) {}

void CallRunner::Run() {
  ++this->context.metrics.received;
  this->metadata = this->context.protocol.read_call(this->request);
  this->slot.SetRequest(this->metadata.request);
  if (const std::optional<Refusal> refusal = this->Admit()) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return;
  }
  this->parts = {routing::MakeWholeRequestId({this->owner.team.Value(), this->request.method,
                                              this->route->host, this->request.target, this->body}),
                 SharedPartsOf(this->metadata.prompt)};
  this->ChooseService();
  if (const std::optional<Refusal> refusal = this->CheckTimeLeft()) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return;
  }
  this->ChooseModel();
  this->context.budgets.For(this->service).OnRequest();
  while (this->MakeAttempt() == NextStep::kTryAgain) {
  }
}

/// Waits for the first configuration, finds the route, checks the key and the lease, and sets the
/// deadline.
std::optional<Refusal> CallRunner::Admit() {
  this->AwaitLease();
  if (this->view == nullptr) {
    return Refusal{RefusalKind::kNoLease, Execution::kNotRun,
                   "This node has no configuration yet. Retry later.",
                   this->context.settings.retry_after_no_lease};
  }
  // A configuration that may be out of date says nothing about routes and keys.
  if (std::optional<Refusal> refusal = this->CheckLease(*this->view)) {
    return refusal;
  }
  if (std::optional<Refusal> refusal = this->ReadRoute()) {
    return refusal;
  }
  const milliseconds waits =
      std::min(this->route->timeout, this->metadata.time_left.value_or(this->route->timeout));
  this->deadline = this->arrived_at + Duration(waits);
  return std::nullopt;
}

/// Finds the route and the owner of the key in the view.
std::optional<Refusal> CallRunner::ReadRoute() {
  const RouteTable& table = *this->view->table;
  this->route = table.FindRoute(this->request.Header("Host").value_or(""), this->request.Path());
  if (this->route == nullptr) {
    return Refusal{RefusalKind::kUnknownModel, Execution::kNotRun,
                   "No declared route matches this host and path. Check both.", std::nullopt};
  }
  this->slot.SetRoute(this->route->id.Value());
  this->owner = {TeamId(), this->route->rank};
  if (!table.requires_keys || this->route->is_public) {
    return std::nullopt;
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

std::optional<Refusal> CallRunner::UseView(const GatewayViewPtr& newest) {
  const GatewayViewPtr former = std::exchange(this->view, newest);
  if (former->table == newest->table) {
    return std::nullopt;
  }
  const Route* const admitted = this->route;
  const KeyOwner former_owner = this->owner;
  std::optional<Refusal> refusal = this->ReadRoute();
  if (!refusal && !this->HandlesAlike(*admitted, former_owner.team)) {
    refusal = Refusal{RefusalKind::kNoLease, Execution::kNotRun,
                      "The configuration of this route has changed. Send the request again.",
                      this->context.settings.retry_after};
  }
  if (refusal) {
    this->view = former;
    this->route = admitted;
    this->owner = former_owner;
  }
  return refusal;
}

bool CallRunner::HandlesAlike(const Route& admitted, const TeamId& team) const {
  const std::vector<RouteTarget>& targets = this->route->targets;
  const bool still_leads_there =
      std::any_of(targets.begin(), targets.end(), [&](const RouteTarget& target) {
        // A weight of 0 keeps new requests away; a stream that has begun can't change its service.
        return target.service == this->service && (target.weight > 0 || this->caller.Begun());
      });
  return still_leads_there && this->owner.team == team && this->route->kind == admitted.kind &&
         this->route->models == admitted.models;
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

std::optional<Refusal> CallRunner::CheckLease(const GatewayView& of) const {
  if (of.HasLease(this->clock.Now())) {
    return std::nullopt;
  }
  return Refusal{RefusalKind::kNoLease, Execution::kNotRun,
                 "This node has no valid lease: its configuration may be out of date. Retry later.",
                 this->context.settings.retry_after_no_lease};
}

Duration CallRunner::TimeNeeded() const {
  const Duration left = this->deadline - this->clock.Now();
  if (this->route->kind == RouteKind::kAtMostOnce) {
    return left;
  }
  Duration needed(this->route->latency_target);
  if (const DeclaredService* declared = this->view->table->FindService(this->service);
      declared != nullptr && this->route->kind == RouteKind::kStream) {
    const std::uint64_t events = this->metadata.max_output_tokens / declared->tokens_per_event + 1;
    needed += this->context.pace.EstimateMaxDuration(this->service, events);
  }
  if (this->route->kind == RouteKind::kIdempotent) {
    return std::min(needed, left);
  }
  // A stream that needs all that is left of a stop is known only from twice that span.
  const Duration stop_left = this->WaitUntil() - this->clock.Now();
  return this->context.pace.Covers(this->service, 2 * stop_left) ? needed : std::max(needed, left);
}

std::optional<Refusal> CallRunner::CheckTimeLeft() const {
  const std::optional<TimePoint> answer_by = this->context.answer_by();
  // A stream that has begun cannot be refused any more.
  const Duration needed = this->caller.Begun() ? Duration::zero() : this->TimeNeeded();
  if (!answer_by || this->clock.Now() + needed <= *answer_by) {
    return std::nullopt;
  }
  return Refusal{RefusalKind::kStopping, Execution::kNotRun,
                 "This node is stopping, maybe before the request would end. Use another node.",
                 this->context.settings.retry_after_stopping};
}

TimePoint CallRunner::WaitUntil() const {
  return std::min(this->deadline, this->context.answer_by().value_or(this->deadline));
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

void CallRunner::ChooseModel() {
  if (!this->metadata.any_model || this->route->models.empty() || this->route->Repeatable()) {
    return;
  }
  this->model_index = this->context.model_confidence.Choose(
      this->GroupBySize(), this->route->models, this->ConfidenceTarget(),
      Hash64(this->metadata.request.Value()));
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

/// The cost of a prompt token relative to the strongest model's: a strong model takes more of an
/// engine's time. 0 where the service's upstreams are no model engines.
double CallRunner::ModelWeight() const {
  const DeclaredService* declared = this->view->table->FindService(this->service);
  if (declared == nullptr || !declared->is_engine) {
    return 0;
  }
  return this->metadata.any_model && !this->route->models.empty()
             ? declared->RelativeCost(this->route->models.at(this->model_index))
             : 1;
}

/// The kilobytes of the request and of the answer that it allows.
double CallRunner::EstimateKilobytes() const {
  constexpr double kBytesPerKilobyte = 1000;
  constexpr double kEventBytes = 120;
  double events = 0;
  if (const DeclaredService* declared = this->view->table->FindService(this->service);
      declared != nullptr && this->route->kind == RouteKind::kStream) {
    events = static_cast<double>(this->metadata.max_output_tokens) /
             static_cast<double>(declared->tokens_per_event);
  }
  return (static_cast<double>(this->body.size()) + events * kEventBytes) / kBytesPerKilobyte;
}

WorkEstimate CallRunner::EstimateWork() const {
  const CallSettings& settings = this->context.settings;
  const double cost_weight = this->ModelWeight();
  if (cost_weight == 0) {
    return {0, 1, 0, settings.remote_penalty};
  }
  const double weight =
      this->Declared()->urgent ? std::max(cost_weight, settings.min_prompt_weight) : cost_weight;
  double shared_parts = 0;
  double shared = 0;
  for (std::size_t index = 0; index + 1 < this->metadata.prompt.size(); ++index) {
    shared = static_cast<double>(this->metadata.prompt[index].tokens);
    shared_parts += shared;
  }
  const double own =
      std::max(static_cast<double>(this->metadata.prompt_tokens) - shared_parts, 1.0);
  return {shared * weight, own * weight, shared * settings.recompute_price,
          settings.remote_penalty * (shared + own) * weight +
              settings.remote_tokens_per_kilobyte * this->EstimateKilobytes()};
}

routing::RequestGroup CallRunner::Group() const {
  const double weight = this->ModelWeight();
  return routing::GroupOf(
      this->route->id.Value(),
      weight == 0 ? 1 : static_cast<double>(this->metadata.prompt_tokens) * weight);
}

routing::RequestGroup CallRunner::GroupBySize() const {
  return routing::GroupOf(this->route->id.Value(),
                          static_cast<double>(this->metadata.prompt_tokens));
}

const DeclaredService* CallRunner::Declared() const {
  return this->view->table->FindService(this->service);
}

Urgency CallRunner::OwnUrgency() const {
  const DeclaredService* declared = this->Declared();
  if (declared == nullptr || !declared->urgent) {
    return Urgency::kAlike;
  }
  if (declared->IsPatient(*this->route)) {
    return Urgency::kPatient;
  }
  return declared->IsUrgent(*this->route) ? Urgency::kUrgent : Urgency::kOrdinary;
}

milliseconds CallRunner::LatenessTarget() const {
  const DeclaredService* declared = this->Declared();
  return declared != nullptr && declared->urgent ? declared->urgent->latency_target
                                                 : this->route->latency_target;
}

double CallRunner::Lateness() const {
  return this->context.lateness.Read(this->service, this->clock.Now());
}

bool CallRunner::AwaitTurn() {
  constexpr Duration kCheck = milliseconds(40);
  if (this->OwnUrgency() != Urgency::kPatient || this->attempts > 0) {
    return true;
  }
  const TimePoint begin = this->clock.Now();
  while (this->clock.Now() < this->WaitUntil() &&
         !this->context.patience.MayStart(this->service, this->arrived_at,
                                          this->route->latency_target, this->Lateness(),
                                          this->clock.Now())) {
    if (this->caller.Socket().PeerLeft()) {
      this->Cancel();
      return false;
    }
    Pause(kCheck);
  }
  if (this->clock.Now() - begin >= kCheck) {
    this->held_back = this->clock.Now() - begin;
    this->context.patience.CountHeldBack();
  }
  return true;
}

UpstreamQuery CallRunner::MakeQuery() const {
  return {this->service, this->tried, this->route->sticky ? SharedPart(this->metadata.prompt) : "",
          this->EstimateWork(), this->SessionKey()};
}

/// Finds an upstream. Waits for a limited time where only cold ones are left, and refuses the
/// request if there is none.
std::optional<UpstreamPick> CallRunner::FindUpstream() {
  UpstreamQuery query = this->MakeQuery();
  const TimePoint wait_until =
      std::min(this->WaitUntil(), this->LatencyBound(this->context.settings.cold_wait_share));
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
    if (this->PauseToResume() &&
        !this->context.prompts.FindBlocked(this->parts, this->clock.Now())) {
      // One that was full may have a place by now.
      query.excluded.clear();
      continue;
    }
    if (this->KeepsLooking() && this->caller.Socket().PeerLeft()) {
      this->Cancel();
      return std::nullopt;
    }
    if (this->may_have_run) {
      this->Refuse(RefusalKind::kUpstreamFailed, "No other upstream can take over the request.");
    } else if (pick.status == PickStatus::kNoUpstream) {
      this->Refuse(RefusalKind::kNoUpstream,
                   "The service has no upstream that takes requests. Retry later.",
                   this->context.settings.retry_after_no_lease);
    } else if (pick.status == PickStatus::kPaused) {
      this->Refuse(RefusalKind::kOverloaded,
                   "All upstreams of the service have asked for a pause. Retry after it.",
                   duration_cast<milliseconds>(pick.retry_after));
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

/// The time limits of the next attempt. A silent or slow upstream is abandoned only if the request
/// goes on elsewhere: otherwise a late answer is better than none.
AttemptTimes CallRunner::MakeTimes(std::uint32_t attempts_made) {
  AttemptTimes times;
  times.deadline = this->deadline;
  times.answer_by = this->deadline;
  times.max_silence = this->context.settings.upstream_silence;
  times.stop_by = this->context.answer_by;
  times.may_hand_over = [this] { return !this->CheckLease(*this->context.view()); };
  times.on_hand_over = [this] { this->slot.Reach(CallStage::kHandedOver); };
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
  times.prepare_move = [this, attempts_made] { return this->PrepareMove(attempts_made); };
  return times;
}

/// Without ids, nothing tells another upstream where the stream broke off.
bool CallRunner::HasPlaceToResume() const {
  return this->events.EventCount() == 0 || !this->events.LastEventId().empty();
}

routing::RetryDecision CallRunner::TakeRetry(routing::HandOverState hand_over,
                                             std::uint32_t attempts_made) {
  return routing::DecideRetry({.hand_over = hand_over,
                               .repeatable = this->route->Repeatable(),
                               .stream_started = this->caller.Begun(),
                               .resumable = this->route->resumable && this->HasPlaceToResume(),
                               .attempts_made = attempts_made,
                               .max_attempts = this->route->max_attempts,
                               .now = this->clock.Now(),
                               .deadline = this->deadline},
                              this->context.budgets.For(this->service));
}

CallRunner::NextStep CallRunner::MakeAttempt() {
  if (std::exchange(this->awaits_retry, false) && !this->AwaitRetryBudget()) {
    if (this->caller.Socket().PeerLeft()) {
      this->Cancel();
    } else {
      this->Refuse(RefusalKind::kUpstreamFailed,
                   "The upstream failed; no further attempt is allowed.");
    }
    return NextStep::kStop;
  }
  if (this->clock.Now() >= this->deadline) {
    this->Refuse(this->may_have_run ? RefusalKind::kDeadlineExceeded : RefusalKind::kOverloaded,
                 "The deadline of the request has passed.", this->context.settings.retry_after);
    return NextStep::kStop;
  }
  if (const auto part = this->context.prompts.FindBlocked(this->parts, this->clock.Now())) {
    const std::string cause =
        routing::IsWholeRequest(*part)
            ? "Upstreams ended under this request (" + part->Value() + "). Change it, "
            : "Upstreams ended under requests with the prompt part " + part->Value() +
                  ". Leave it out, ";
    this->Refuse(RefusalKind::kPromptBlocked, cause + "or ask an operator to lift the block.",
                 this->context.settings.retry_after_blocked);
    return NextStep::kStop;
  }
  if (this->next == nullptr) {
    if (!this->AwaitTurn()) {
      return NextStep::kStop;
    }
    const std::optional<UpstreamPick> pick = this->FindUpstream();
    if (!pick) {
      return NextStep::kStop;
    }
    this->next_pick = *pick;
    this->next =
        std::make_unique<UpstreamAttempt>(*pick, this->context.protocol, this->context.pool,
                                          this->context.buffers, this->context.settings);
  }
  const std::unique_ptr<UpstreamAttempt> owned = std::move(this->next);
  UpstreamAttempt& attempt = *owned;
  const ListedUpstream& upstream = attempt.Upstream();
  this->survival_recorded = false;
  this->last_pick = this->next_pick;
  // The lease may have ended, or the configuration changed, while the request waited.
  const GatewayViewPtr newest = this->context.view();
  if (const std::optional<Refusal> lapse = this->CheckLease(*newest)) {
    if (this->PauseToResume()) {
      return NextStep::kTryAgain;
    }
    this->Refuse(lapse->kind, lapse->message, lapse->retry_after);
    return NextStep::kStop;
  }
  if (const std::optional<Refusal> refusal = this->UseView(newest)) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return NextStep::kStop;
  }
  if (const std::optional<Refusal> refusal = this->CheckTimeLeft()) {
    this->Refuse(refusal->kind, refusal->message, refusal->retry_after);
    return NextStep::kStop;
  }
  const routing::EvidenceTable::WaitId wait =
      this->context.evidence.BeginWait(VersionOf(upstream), this->Group(), this->clock.Now());
  this->tried.insert(upstream.id);
  const AttemptEnd end = attempt.Start(this->request, this->MakeAttemptParameters(upstream),
                                       this->body, this->metadata.request, this->caller.Socket(),
                                       this->MakeTimes(this->attempts + 1));
  if (attempt.HandedOver() && WasGivenUp(end)) {
    this->context.evidence.AbandonWait(wait, this->clock.Now());
  } else {
    this->context.evidence.EndWait(wait);
  }
  this->last_attempt_end = ToString(end);
  this->last_load = attempt.Metadata().load.value_or(LoadReport{});
  this->context.metrics.pauses += attempt.Metadata().pause ? 1 : 0;
  this->context.metrics.limited_answers += attempt.Metadata().requests_per_second ? 1 : 0;
  // If another upstream has taken over the address and rejected the request, the request has not
  // reached the chosen one. One that keeps looking counts only the upstreams that ran it; the retry
  // budget limits the others.
  const bool counts = attempt.HandedOver() && !attempt.Metadata().other_upstream &&
                      !(end == AttemptEnd::kNotRun && this->KeepsLooking());
  this->attempts += counts ? 1 : 0;
  return this->OnEnd(attempt, end);
}

CallRunner::NextStep CallRunner::OnEnd(UpstreamAttempt& attempt, AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return this->OnAnswer(attempt);
    case AttemptEnd::kNotConnected:
      attempt.SetNotConnected();
      // A refusal that makes the pool avoid the upstream costs a round trip, and each upstream is
      // found out once.
      this->connect_failures += attempt.ConnectionRefused() && this->last_pick.was_healthy ? 0 : 1;
      if (this->KeepsLooking() ||
          this->connect_failures <= this->context.settings.max_connect_failures) {
        return NextStep::kTryAgain;
      }
      this->Refuse(this->may_have_run ? RefusalKind::kUpstreamFailed : RefusalKind::kNoUpstream,
                   "Cannot connect to any upstream of the service.",
                   this->context.settings.retry_after);
      return NextStep::kStop;
    case AttemptEnd::kWithheld:
      this->tried.erase(attempt.Upstream().id);
      return NextStep::kTryAgain;
    case AttemptEnd::kNotRun:
      if (attempt.Metadata().other_upstream) {
        this->context.pool.OnAddressTaken(attempt.Upstream().id, this->clock.Now());
      }
      return this->RetryOrRefuse(attempt, end, RefusalKind::kOverloaded);
    case AttemptEnd::kCallerDisconnected:
      this->Cancel();
      return NextStep::kStop;
    case AttemptEnd::kTimeout:
      this->may_have_run = this->may_have_run || attempt.HandedOver();
      this->Refuse(RefusalKind::kDeadlineExceeded,
                   "The upstream did not answer before the request's deadline.");
      return NextStep::kStop;
    case AttemptEnd::kStopping:
      this->may_have_run = this->may_have_run || attempt.HandedOver();
      this->Refuse(RefusalKind::kStopping,
                   "This node is stopping and could not wait for the upstream's answer.",
                   this->context.settings.retry_after_stopping);
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
    if (!this->context.prompts.MayRetry(this->parts)) {
      this->granted_retry.reset();
      kLog.Info("Not retried, since upstreams may end under the request or its prompt.",
                {{"request", this->metadata.request},
                 {"upstream", attempt.Upstream().id},
                 {"prompt", ToText(this->parts.shared)},
                 {"whole_request", this->parts.whole}});
      this->Refuse(RefusalKind::kUpstreamFailed,
                   "The upstream failed, and others may fail under the same request.");
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
  kLog.Info("An attempt failed.",
            {{"request", this->metadata.request},
             {"upstream", attempt.Upstream().id},
             {"end", ToString(end)},
             {"status", attempt.Head().status},
             {"answer_age_ms", AgeMs(attempt, this->clock.Now())},
             {"pause_ms", attempt.Metadata().pause.value_or(milliseconds(0)).count()},
             {"prompt", ToText(this->parts.shared)},
             {"whole_request", this->parts.whole},
             {"attempt", this->attempts},
             {"again", decision.retry},
             {"reason", routing::ToString(decision.reason)}});
  if (decision.retry) {
    return NextStep::kTryAgain;
  }
  if (this->KeepsLooking() && decision.reason == routing::RetryReason::kRefusedBudget) {
    // Waits after this attempt has ended its connection.
    this->awaits_retry = true;
    return NextStep::kTryAgain;
  }
  if (this->caller.Begun()) {
    this->context.metrics.refusals.Add(RefusalKind::kAnswerInterrupted);
    this->Cut("answer_interrupted");
    return NextStep::kStop;
  }
  this->Refuse(this->may_have_run ? RefusalKind::kUpstreamFailed : kind,
               not_run ? "The last upstream did not run the request; no further attempt is allowed."
                       : "The upstream failed; no further attempt is allowed.",
               this->context.settings.retry_after);
  return NextStep::kStop;
}

}  // namespace masticrill::gateway
