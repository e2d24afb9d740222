#include "entry/request_runner.h"

#include <algorithm>
#include <utility>

#include "entry/rating_client.h"
#include "entry/session_token.h"
#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
/// How often a waiting request looks whether its caller is still there.
constexpr milliseconds kCallerCheckInterval{250};

routing::FenceResult ToFenceResult(const net::FenceReply& reply) {
  switch (reply.status) {
    case net::FenceStatus::kNeverStarted:
      return routing::FenceResult::kNeverStarted;
    case net::FenceStatus::kRunning:
      return routing::FenceResult::kRunning;
    case net::FenceStatus::kUnknownIncarnation:
      return routing::FenceResult::kUnknownIncarnation;
    case net::FenceStatus::kDone:
      break;
  }
  switch (reply.outcome) {
    case net::AttemptOutcome::kAnswered:
      return reply.answer_kept ? routing::FenceResult::kDone
                               : routing::FenceResult::kUnknownIncarnation;
    case net::AttemptOutcome::kConnectFailed:
      // The upstream never saw it, and the sidecar runs no attempt twice.
      return routing::FenceResult::kNeverStarted;
    default:
      return routing::FenceResult::kUnknownIncarnation;
  }
}

}  // namespace

RequestRunner::RequestRunner(EntryServices& services, CallerRequest request,
                             net::HttpResponder& responder)
    : services(services),
      request(std::move(request)),
      responder(responder),
      directory(services.Directory()),
      random(Hash64(this->request.traits.id.Value())),
      machine(this->request.traits),
      frames(std::make_shared<net::FrameQueue>()) {
  this->labels.request = this->request.traits.id;
  if (this->request.traits.session) {
    this->labels.session_token = SignSessionToken(
        {this->request.traits.team, *this->request.traits.session, this->request.traits.pins},
        services.session_key);
  }
  if (this->request.traits.at_most_once) {
    this->claim.emplace(*services.sender, *services.links,
                        state::ClaimKey{this->request.traits.team, *this->request.idempotency_key},
                        this->request.body_hash);
  }
}

void RequestRunner::Run() {
  routing::TransitionContext context = this->Context();
  this->Enqueue(this->machine.Start(context, this->services.clock.Now()));
  this->PerformAll();
  while (!this->done) {
    this->WaitForEvent();
    this->PerformAll();
  }
  this->CountDecisions();
  this->ReleaseAttempts();
}

routing::TransitionContext RequestRunner::Context() {
  const bool lease_valid = this->services.lease->Check(this->services.clock.Now()).valid;
  this->directory = this->services.Directory();
  return {*this->directory,         this->services.table, this->services.retry_budget,
          this->services.cascades,  this->random,         this->services.options.request,
          &this->services.evidence, lease_valid};
}

AttemptAnswer* RequestRunner::Find(AttemptNumber number) {
  const auto found = this->attempts.find(number);
  return found == this->attempts.end() ? nullptr : &found->second;
}

void RequestRunner::Raise(const routing::RequestEvent& event) {
  if (this->done) {
    return;
  }
  routing::TransitionContext context = this->Context();
  this->Enqueue(this->machine.OnEvent(context, event, this->services.clock.Now()));
}

void RequestRunner::Enqueue(const routing::Actions& decided) {
  this->actions.insert(this->actions.end(), decided.begin(), decided.end());
}

void RequestRunner::PerformAll() {
  while (!this->actions.empty() && !this->done) {
    const routing::Action action = std::move(this->actions.front());
    this->actions.pop_front();
    std::visit([this](const auto& kind) { this->Perform(kind); }, action);
  }
}

void RequestRunner::Perform(const routing::Dispatch& dispatch) {
  AttemptAnswer& attempt = this->attempts.emplace(dispatch.attempt, dispatch).first->second;
  attempt.id = AttemptId(this->request.traits.id.Value() + "." + std::to_string(dispatch.attempt));
  attempt.client = this->services.links->Find(dispatch.upstream);
  if (dispatch.at_most_once) {
    attempt.incarnation = this->services.links->Incarnation(dispatch.upstream);
  }
  const bool known = !dispatch.at_most_once || !attempt.incarnation.Empty();
  if (attempt.client == nullptr || !known) {
    this->Raise(routing::AttemptRefused{dispatch.attempt, routing::AttemptRefusal::kUnreachable});
    return;
  }
  if (dispatch.at_most_once && !this->AcquireClaim(attempt)) {
    return;
  }
  // The claim may have taken long: the lease is checked again right before the hand-over.
  if (!this->services.lease->Check(this->services.clock.Now()).valid) {
    this->Raise(routing::LeaseLost{});
    return;
  }
  if (this->machine.MayHandOver(dispatch.attempt)) {
    this->HandOver(attempt);
  }
}

bool RequestRunner::AcquireClaim(AttemptAnswer& attempt) {
  const Claim::Decision decision = this->claim->Acquire(
      {this->request.traits.id, attempt.id, attempt.Order().upstream, attempt.incarnation});
  if (std::holds_alternative<Claim::Granted>(decision)) {
    return true;
  }
  // The machine closes its books on the attempt; what it would tell the caller is not used.
  routing::TransitionContext context = this->Context();
  this->machine.OnEvent(context,
                        routing::ClaimRefused{attempt.Order().attempt, RefusalKind::kKeyInProgress},
                        this->services.clock.Now());
  if (const auto* replay = std::get_if<Claim::Replay>(&decision); replay != nullptr) {
    this->GiveReplay(replay->answer);
  } else {
    this->GiveRefusal(std::get<Claim::Denied>(decision).refusal);
  }
  return false;
}

std::string RequestRunner::Body(const AttemptAnswer& attempt) const {
  if (!attempt.Order().version) {
    return this->request.body;
  }
  return BodyForVersion(this->request.body, *attempt.Order().version,
                        this->request.stream && attempt.Order().stream_to_caller);
}

net::AttemptRequest RequestRunner::MakeRequest(const AttemptAnswer& attempt,
                                               config::Number number) const {
  const routing::Dispatch& order = attempt.Order();
  net::AttemptRequest message;
  message.attempt = attempt.id;
  message.request = this->request.traits.id;
  message.team = this->request.traits.team;
  message.request_class = this->request.traits.request_class;
  message.model_version = order.version;
  if (const auto* target = std::get_if<routing::ServiceTarget>(&this->request.traits.target);
      target != nullptr) {
    message.service = target->service;
  }
  message.at_most_once = order.at_most_once;
  message.incarnation = attempt.incarnation;
  message.stream = this->request.stream && order.stream_to_caller;
  message.deadline_left_ms =
      duration_cast<milliseconds>(order.deadline - this->services.clock.Now()).count();
  message.configuration_number = number;
  message.expected_tokens = this->request.traits.expected_tokens;
  message.resume_offset = order.resume_offset;
  message.method = this->request.method;
  message.path = this->request.path;
  message.headers = {{"Content-Type", this->request.content_type}};
  message.body = this->Body(attempt);
  return message;
}

void RequestRunner::HandOver(AttemptAnswer& attempt) {
  const AttemptNumber number = attempt.Order().attempt;
  const net::AttemptRequest message = this->MakeRequest(attempt, this->directory->Config().number);
  attempt.exchange = HandleErrors(
      [&] { return attempt.client->Open(message, this->frames, number); },
      [&](const Error& error) {
        kLog.Warning("A sidecar cannot be reached.",
                     {{"upstream", attempt.Order().upstream}, {"reason", error.message}});
        return std::shared_ptr<net::Exchange>();
      });
  if (attempt.exchange == nullptr) {
    // The frame did not go out whole, and the sidecar drops a part: it was never handed over.
    this->Raise(routing::AttemptRefused{number, routing::AttemptRefusal::kUnreachable});
    return;
  }
  if (attempt.Order().hedge_after) {
    attempt.hedge_due = this->services.clock.Now() + *attempt.Order().hedge_after;
  }
  this->Raise(routing::AttemptStarted{number});
}

void RequestRunner::WaitForEvent() {
  const TimePoint now = this->services.clock.Now();
  TimePoint wake = std::min(this->request.traits.deadline, now + kCallerCheckInterval);
  for (const auto& [number, attempt] : this->attempts) {
    wake = std::min(wake, attempt.hedge_due.value_or(wake));
    wake = std::min(wake, attempt.fence_due.value_or(wake));
  }
  const net::FrameQueue::Next next = this->frames->WaitNext(std::max(wake - now, Duration(0)));
  AttemptAnswer* attempt = this->Find(static_cast<AttemptNumber>(next.tag));
  if (next.status == net::FrameQueue::Status::kFrame && attempt != nullptr) {
    this->OnFrame(*attempt, next.frame);
  } else if (next.status == net::FrameQueue::Status::kClosed && attempt != nullptr) {
    this->OnLost(*attempt);
  }
  this->RaiseTimers(this->services.clock.Now());
}

void RequestRunner::RaiseTimers(TimePoint now) {
  if (now >= this->request.traits.deadline) {
    this->Raise(routing::DeadlinePassed{});
    return;
  }
  if (now >= this->next_caller_check) {
    this->next_caller_check = now + kCallerCheckInterval;
    this->caller_left = this->caller_left || this->responder.CallerLeft();
  }
  if (this->caller_left) {
    this->Raise(routing::CallerDisconnected{});
    return;
  }
  for (auto& [number, attempt] : this->attempts) {
    if (attempt.hedge_due && now >= *attempt.hedge_due) {
      attempt.hedge_due.reset();
      this->Raise(routing::HedgeDue{number});
    }
    if (attempt.fence_due && now >= *attempt.fence_due) {
      attempt.fence_due.reset();
      this->FenceNow(attempt);
    }
  }
}

void RequestRunner::Perform(const routing::FenceAttempt& fence) {
  AttemptAnswer* attempt = this->Find(fence.attempt);
  if (attempt == nullptr) {
    return;
  }
  if (fence.after > Duration(0)) {
    attempt->fence_due = this->services.clock.Now() + fence.after;
    return;
  }
  this->FenceNow(*attempt);
}

void RequestRunner::FenceNow(AttemptAnswer& attempt) {
  const net::FenceReply reply =
      FenceAttemptAt(*this->services.links, attempt.Order().upstream,
                     {attempt.id, attempt.incarnation, attempt.Order().at_most_once});
  if (reply.status == net::FenceStatus::kDone && reply.answer_kept) {
    attempt.TakeRecorded(reply);
  }
  this->Raise(routing::FenceResultReceived{attempt.Order().attempt, ToFenceResult(reply)});
}

void RequestRunner::Perform(const routing::RequestRating& rate) {
  const AttemptAnswer* attempt = this->Find(rate.attempt);
  if (attempt == nullptr) {
    return;
  }
  const AttemptId rating_id(attempt->id.Value() + ".rating");
  const routing::Rating rating = RateAnswer(this->services, *this->directory, this->request,
                                            rating_id, attempt->kept, rate.timeout, this->random);
  this->Raise(routing::RatingReceived{rate.attempt, rating});
}

void RequestRunner::Perform(const routing::CancelAttempts& cancel) {
  for (const AttemptNumber number : cancel.attempts) {
    if (const AttemptAnswer* attempt = this->Find(number);
        attempt != nullptr && attempt->exchange != nullptr) {
      attempt->client->Send(*attempt->exchange, net::CancelAttempt{attempt->id});
      attempt->client->Finish(*attempt->exchange);
    }
  }
}

}  // namespace masticrill::entry
