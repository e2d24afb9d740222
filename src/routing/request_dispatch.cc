#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/routing/request_state_machine.h"

namespace masticrill::routing {
namespace {

RefusalKind RefusalKindOf(ChoiceReason reason) {
  return reason == ChoiceReason::kRefusedAllFull ? RefusalKind::kOverloaded
                                                 : RefusalKind::kNoUpstream;
}

}  // namespace

std::optional<ModelTarget> RequestStateMachine::CurrentTarget(
    const TransitionContext& context) const {
  if (const auto* model = std::get_if<ModelTarget>(&this->traits.target)) {
    return *model;
  }
  const auto& target = std::get<CascadeTarget>(this->traits.target);
  const auto& cascades = context.directory.Config().cascades;
  const auto cascade = cascades.find(target.cascade);
  if (cascade == cascades.end() || this->current_step.index >= cascade->second.steps.size()) {
    return std::nullopt;
  }
  return ModelTarget{cascade->second.steps[this->current_step.index], std::nullopt};
}

CascadeKey RequestStateMachine::StatisticsKey() const {
  return {this->traits.team, this->traits.request_class,
          std::get<CascadeTarget>(this->traits.target).cascade};
}

std::vector<CascadeStep> RequestStateMachine::CascadeSteps(TransitionContext& context,
                                                           TimePoint now) const {
  const config::Configuration& configuration = context.directory.Config();
  const auto& target = std::get<CascadeTarget>(this->traits.target);
  const auto cascade = configuration.cascades.find(target.cascade);
  std::vector<CascadeStep> steps;
  if (cascade == configuration.cascades.end()) {
    return steps;
  }
  for (const ModelId& model : cascade->second.steps) {
    CascadeStep step{.expected = Duration::max()};
    const VersionDecision decision =
        SelectVersion(configuration, this->traits, ModelTarget{model, std::nullopt});
    if (decision.version) {
      ChoiceRequest request = this->ChoiceRequestFor(context, decision.version);
      // An upstream that was tried for one step may serve another step.
      request.excluded.clear();
      const UpstreamDecision choice =
          ChooseUpstream(context.directory.UpstreamsServing(*decision.version), context.table,
                         request, context.settings.choice, now, context.random);
      const config::Version& version =
          configuration.models.at(model).versions.at(decision.version->version);
      step.cost = static_cast<double>(version.cost_per_1k_tokens) *
                  std::max(1U, this->traits.expected_tokens);
      step.expected = choice.upstream ? choice.expected : Duration::max();
      step.wait_factor = std::max(0.0, choice.utilisation - 1);
    }
    steps.push_back(step);
  }
  return steps;
}

ChoiceRequest RequestStateMachine::ChoiceRequestFor(
    const TransitionContext& context, const std::optional<ModelVersion>& version) const {
  // The retry budget must be able to pay for the retry of a failed probe.
  const bool may_probe =
      this->traits.Repeatable() && !this->stream_started && context.retry_budget.Balance() >= 1;
  return {.version = version.value_or(ModelVersion{}),
          .request_class = this->traits.request_class,
          .may_probe = may_probe,
          .session_hash = this->traits.session ? Hash64(this->traits.session->Value()) : 0,
          .prefix_hash = this->traits.prefix_hash,
          .expected_tokens = this->traits.expected_tokens,
          .excluded = this->excluded};
}

void RequestStateMachine::BeginStep(const CascadeDecision& decision) {
  this->current_step = {decision.step, decision.rate, decision.degraded};
  // An upstream that was tried for the last step may serve the model of this one.
  this->excluded.clear();
  this->on_candidate = false;
  this->use_default_version = false;
}

Actions RequestStateMachine::Launch(TransitionContext& context, TimePoint now, bool hedge) {
  if (!context.lease_valid) {
    return this->EndFailed(context, now, RefusalKind::kNoLease);
  }
  if (now >= this->traits.deadline) {
    return this->EndFailed(context, now, RefusalKind::kDeadlineExceeded);
  }
  if (std::holds_alternative<ServiceTarget>(this->traits.target)) {
    return this->LaunchService(context, now, hedge);
  }
  return this->LaunchModel(context, now, hedge);
}

Actions RequestStateMachine::LaunchService(TransitionContext& context, TimePoint now, bool hedge) {
  // The configuration may have changed since the request started.
  if (const std::optional<Refusal> refusal =
          CheckPermission(context.directory.Config(), this->traits)) {
    return this->EndFailed(context, now, refusal->kind, std::nullopt, refusal->message);
  }
  const ServiceId& service = std::get<ServiceTarget>(this->traits.target).service;
  const UpstreamDecision choice = ChooseUpstream(
      context.directory.UpstreamsOffering(service), context.table,
      this->ChoiceRequestFor(context, std::nullopt), context.settings.choice, now, context.random);
  if (!choice.upstream) {
    return this->OnNoUpstream(context, now, choice);
  }
  return this->DispatchTo(context, now, choice, std::nullopt, false, hedge);
}

VersionDecision RequestStateMachine::ChooseVersion(const TransitionContext& context,
                                                   const ModelTarget& target) const {
  const config::Configuration& configuration = context.directory.Config();
  if (this->stream_started && this->stream_version) {
    return SelectVersion(configuration, this->traits,
                         {this->stream_version->model, this->stream_version->version});
  }
  return this->use_default_version ? SelectDefaultVersion(configuration, this->traits, target)
                                   : SelectVersion(configuration, this->traits, target);
}

Actions RequestStateMachine::LaunchModel(TransitionContext& context, TimePoint now, bool hedge) {
  const std::optional<ModelTarget> target = this->CurrentTarget(context);
  const std::optional<Refusal> refusal = CheckPermission(context.directory.Config(), this->traits);
  if (refusal || !target) {
    return this->EndFailed(context, now, refusal ? refusal->kind : RefusalKind::kUnknownModel,
                           std::nullopt, refusal ? refusal->message : std::string());
  }
  const VersionDecision decision = this->ChooseVersion(context, *target);
  if (!decision.version) {
    this->Record(now, decision.reason);
    return this->EndFailed(context, now, decision.refusal, std::nullopt, decision.message);
  }
  this->Record(now, decision.reason, 0,
               decision.version->model.Value() + "@" + decision.version->version.Value());
  const UpstreamDecision choice =
      ChooseUpstream(context.directory.UpstreamsServing(*decision.version), context.table,
                     this->ChoiceRequestFor(context, decision.version), context.settings.choice,
                     now, context.random);
  const bool candidate = decision.reason == VersionReason::kRolloutCandidate;
  if (!choice.upstream && candidate) {
    this->Record(now, choice.reason);
    this->use_default_version = true;
    return this->LaunchModel(context, now, hedge);
  }
  if (!choice.upstream) {
    return this->OnNoUpstream(context, now, choice);
  }
  this->on_candidate = candidate && !this->traits.session;
  return this->DispatchTo(context, now, choice, decision.version, decision.pin_session, hedge);
}

Actions RequestStateMachine::DispatchTo(TransitionContext& context, TimePoint now,
                                        const UpstreamDecision& choice,
                                        const std::optional<ModelVersion>& version,
                                        bool pin_session, bool hedge) {
  const auto number = static_cast<AttemptNumber>(this->attempts.size() + 1);
  this->Record(now, choice.reason, number, choice.upstream->Value());
  context.table.OnDispatch(*choice.upstream, version.value_or(ModelVersion{}), now);
  const auto& upstreams = context.directory.Config().upstreams;
  const auto upstream = upstreams.find(*choice.upstream);
  Attempt attempt{.number = number,
                  .upstream = *choice.upstream,
                  .version = version,
                  .step = this->current_step.index,
                  .dispatched = now,
                  .streams_to_caller = this->StreamsToCaller()};
  if (upstream != upstreams.end()) {
    attempt.failure_domain = upstream->second.failure_domain;
  }
  this->attempts.push_back(attempt);
  this->excluded.push_back(attempt.upstream);
  if (pin_session && version) {
    // Later attempts of this request stay on the version to which the session is now pinned.
    std::erase_if(this->traits.pins, [&](const auto& pin) { return pin.model == version->model; });
    this->traits.pins.push_back(*version);
  }
  Dispatch dispatch{.attempt = number,
                    .upstream = *choice.upstream,
                    .version = version,
                    .cascade_step = this->current_step.index,
                    .resume_offset = this->resume_offset.value_or(0),
                    .deadline = this->traits.deadline,
                    .stream_to_caller = this->StreamsToCaller(),
                    .at_most_once = this->traits.at_most_once,
                    .pin_session = pin_session,
                    .lease_checked = context.lease_valid};
  const bool may_hedge = context.settings.hedge_factor > 0 && this->traits.Repeatable() &&
                         !this->stream_started && !hedge;
  if (may_hedge) {
    const std::chrono::duration<double, std::nano> wait =
        choice.expected_first_token * context.settings.hedge_factor;
    dispatch.hedge_after =
        std::max(context.settings.min_hedge_delay, std::chrono::duration_cast<Duration>(wait));
  }
  return {dispatch};
}

bool RequestStateMachine::StreamsToCaller() const {
  return this->traits.streaming && !this->current_step.rate;
}

bool RequestStateMachine::MayAdvanceToNextStep(const TransitionContext& context) const {
  const auto* target = std::get_if<CascadeTarget>(&this->traits.target);
  if (target == nullptr || this->stream_started || this->best_answer || this->AnyRunning()) {
    return false;
  }
  const auto& cascades = context.directory.Config().cascades;
  const auto cascade = cascades.find(target->cascade);
  return cascade != cascades.end() && this->current_step.index + 1 < cascade->second.steps.size();
}

Actions RequestStateMachine::OnNoUpstream(TransitionContext& context, TimePoint now,
                                          const UpstreamDecision& choice) {
  this->Record(now, choice.reason);
  if (this->MayAdvanceToNextStep(context)) {
    // The answer of a stronger model is better than a refusal.
    this->Record(now, CascadeReason::kStepUnavailable);
    const std::size_t next = this->current_step.index + 1;
    this->BeginStep({.step = next, .reason = CascadeReason::kStepUnavailable});
    return this->Launch(context, now);
  }
  if (!this->attempts.empty()) {
    this->Record(now, RetryReason::kRefusedNoUpstream);
  }
  const bool tried_all = choice.reason == ChoiceReason::kRefusedAllExcluded;
  RefusalKind kind =
      tried_all && this->last_failure ? *this->last_failure : RefusalKindOf(choice.reason);
  if (this->stream_started) {
    kind = RefusalKind::kAnswerInterrupted;
  }
  return this->EndFailed(context, now, kind, choice.retry_after);
}

Actions RequestStateMachine::Retry(TransitionContext& context, TimePoint now,
                                   HandOverState hand_over, RefusalKind cause) {
  if (this->AnyRunning()) {
    return {Wait{}};
  }
  this->last_failure = cause;
  const bool resumable =
      this->resume_offset.has_value() && this->stream_version &&
      VersionAllowed(context.directory.Config(), this->traits.team, *this->stream_version);
  const RetryDecision decision =
      DecideRetry({.hand_over = hand_over,
                   .repeatable = this->traits.Repeatable(),
                   .stream_started = this->stream_started,
                   .resumable = resumable,
                   .lease_valid = context.lease_valid,
                   .attempts_made = static_cast<std::uint32_t>(this->attempts.size()),
                   .max_attempts = context.settings.max_attempts,
                   .now = now,
                   .deadline = this->traits.deadline},
                  context.retry_budget);
  this->Record(now, decision.reason);
  if (!decision.retry) {
    return this->EndFailed(context, now,
                           this->stream_started ? RefusalKind::kAnswerInterrupted : cause);
  }
  this->use_default_version = this->use_default_version || this->on_candidate;
  return this->Launch(context, now);
}

RequestStateMachine::Attempt* RequestStateMachine::FindOpenAttempt(AttemptNumber number) {
  if (number == 0 || number > this->attempts.size()) {
    return nullptr;
  }
  Attempt& attempt = this->attempts[number - 1];
  return attempt.state == AttemptState::kEnded ? nullptr : &attempt;
}

bool RequestStateMachine::AnyRunning() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(), [](const Attempt& attempt) {
    return attempt.state == AttemptState::kDispatched || attempt.state == AttemptState::kStarted ||
           attempt.state == AttemptState::kStreaming;
  });
}

void RequestStateMachine::Record(TimePoint now, DecisionReason reason, AttemptNumber attempt,
                                 std::string subject) {
  if (this->trace.size() < kMaxTrace) {
    this->trace.push_back({now - this->traits.received, reason, attempt, std::move(subject)});
  }
}

}  // namespace masticrill::routing
