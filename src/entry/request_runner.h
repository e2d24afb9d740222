#ifndef MASTICRILL_ENTRY_REQUEST_RUNNER_H_
#define MASTICRILL_ENTRY_REQUEST_RUNNER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/attempt_answer.h"
#include "entry/caller_answer.h"
#include "entry/caller_request.h"
#include "entry/claim_client.h"
#include "entry/entry_services.h"
#include "masticrill/common/random.h"
#include "masticrill/routing/request_state_machine.h"

namespace masticrill::entry {

/// Carries one request from its checks to its end: does what the request machine decides and tells
/// it what happened. Runs on the thread of the caller's connection.
class RequestRunner {
 public:
  RequestRunner(EntryServices& services, CallerRequest request, net::HttpResponder& responder);

  /// Returns when the request has ended and its outcome is noted.
  void Run();

 private:
  using AttemptNumber = routing::AttemptNumber;

  // Events and actions.
  void Raise(const routing::RequestEvent& event);
  void Enqueue(const routing::Actions& decided);
  void PerformAll();
  void Perform(const routing::Dispatch& dispatch);
  void Perform(const routing::FenceAttempt& fence);
  void Perform(const routing::RequestRating& rate);
  void Perform(const routing::Answer& answer);
  void Perform(const routing::Refuse& refuse);
  void Perform(const routing::CancelAttempts& cancel);
  void Perform(const routing::Wait& /*wait*/) {}

  // The hand-over.
  bool AcquireClaim(AttemptAnswer& attempt);
  void HandOver(AttemptAnswer& attempt);
  net::AttemptRequest MakeRequest(const AttemptAnswer& attempt, config::Number number) const;
  std::string Body(const AttemptAnswer& attempt) const;

  // What comes back.
  void WaitForEvent();
  void RaiseTimers(TimePoint now);
  void OnFrame(AttemptAnswer& attempt, const net::Frame& frame);
  void OnChunk(AttemptAnswer& attempt, const net::AttemptChunk& chunk);
  void OnEnd(AttemptAnswer& attempt, const net::AttemptEnd& end);
  void OnRefused(const AttemptAnswer& attempt, const net::AttemptRefused& refused);
  void OnLost(AttemptAnswer& attempt);
  void FenceNow(AttemptAnswer& attempt);
  bool Relay(AttemptAnswer& attempt, const std::string& data);

  // The end.
  void SettleClaim(state::ClaimResolution resolution, const state::RecordedAnswer& answer);
  void Bill(const AttemptAnswer& attempt);
  void GiveReplay(const state::RecordedAnswer& answer);
  void GiveRefusal(const Refusal& refusal);
  void NoteOutcome(state::OutcomeKind kind, RefusalKind refusal, Execution execution);
  void CountDecisions();
  void ReleaseAttempts();

  routing::TransitionContext Context();
  AttemptAnswer* Find(AttemptNumber number);

  EntryServices& services;
  CallerRequest request;
  net::HttpResponder& responder;
  std::shared_ptr<const routing::UpstreamDirectory> directory;
  Random random;
  routing::RequestStateMachine machine;
  AnswerLabels labels;
  std::optional<Claim> claim;
  std::shared_ptr<net::FrameQueue> frames;
  std::deque<routing::Action> actions;
  std::map<AttemptNumber, AttemptAnswer> attempts;
  bool caller_left = false;
  bool done = false;
  /// The ledger has the charge, or there is none: the sidecars need not hold their receipts.
  bool receipts_settled = true;
  TimePoint next_caller_check;
  std::optional<Duration> first_token_after;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_REQUEST_RUNNER_H_
