#include "masticrill/routing/request_state_machine.h"

#include <doctest/doctest.h>

#include <functional>

#include "fakes/routing_fleet.h"

namespace masticrill::routing {
namespace {

using fakes::kCheap;
using fakes::kNew;
using fakes::kOld;
using fakes::kStrong;

/// One request with an ample retry budget; the test raises its events.
struct RequestRun {
  explicit RequestRun(RequestTraits traits) : machine(std::move(traits)) {
    this->Step([&](TransitionContext& context) { return this->machine.Start(context, this->now); });
  }

  Actions Raise(const RequestEvent& event) {
    this->now += milliseconds(10);
    return this->Step([&](TransitionContext& context) {
      return this->machine.OnEvent(context, event, this->now);
    });
  }

  Actions Step(const std::function<Actions(TransitionContext&)>& step) {
    const UpstreamDirectory directory = fakes::DirectoryOf(this->configuration);
    TransitionContext context{directory,    this->table,    this->budget,    this->cascades,
                              this->random, this->settings, &this->evidence, this->lease_valid};
    this->last = step(context);
    return this->last;
  }

  template <typename Kind>
  const Kind* Last() const {
    return this->last.empty() ? nullptr : std::get_if<Kind>(&this->last.back());
  }

  config::Configuration configuration = fakes::SmallFleet();
  UpstreamTable table;
  RetryBudget budget{{.initial_balance = 10}};
  CascadePolicy cascades{{.sampling_share = 0}};
  EvidenceTable evidence;
  Random random{1};
  RequestSettings settings;
  bool lease_valid = true;
  TimePoint now;
  Actions last;
  RequestStateMachine machine;
};

RequestTraits Booking() {
  RequestTraits traits = fakes::TraitsFor(ServiceTarget{fakes::kBooking, "POST"});
  traits.idempotent = false;
  traits.at_most_once = true;
  return traits;
}
RequestTraits Read() { return fakes::TraitsFor(ServiceTarget{fakes::kBooking, "GET"}); }
RequestTraits Chat() { return fakes::TraitsFor(ModelTarget{kCheap, std::nullopt}); }

struct RefusalCase {
  const char* name;
  RequestTraits traits;
  std::vector<RequestEvent> events;
  RefusalKind kind;
  Execution execution;
  bool retry_after;
};

const AttemptRefused kUnreachable{1, AttemptRefusal::kUnreachable, {}};
const AttemptFailed kConnectionLost{1, AttemptOutcome::kBroken, false};
const AttemptFailed kErrorAnswer{1, AttemptOutcome::kFailed, true};

const RefusalCase kRefusalCases[] = {
    {"caller disconnected before the hand-over",
     Booking(),
     {CallerDisconnected{}},
     RefusalKind::kCancelled,
     Execution::kNotRun,
     false},
    {"caller disconnected after the hand-over",
     Booking(),
     {AttemptStarted{1}, CallerDisconnected{}},
     RefusalKind::kCancelled,
     Execution::kUnknown,
     false},
    {"lease lost before the hand-over",
     Booking(),
     {LeaseLost{}},
     RefusalKind::kNoLease,
     Execution::kNotRun,
     true},
    {"claim refused",
     Booking(),
     {ClaimRefused{1, RefusalKind::kControlUnavailable}},
     RefusalKind::kControlUnavailable,
     Execution::kNotRun,
     true},
    {"key conflict",
     Booking(),
     {ClaimRefused{1, RefusalKind::kKeyConflict}},
     RefusalKind::kKeyConflict,
     Execution::kNotRun,
     false},
    {"booking answered with an error",
     Booking(),
     {AttemptStarted{1}, kErrorAnswer},
     RefusalKind::kUpstreamFailed,
     Execution::kRan,
     true},
    {"booking connection lost, sidecar restarted",
     Booking(),
     {AttemptStarted{1}, kConnectionLost, FenceResultReceived{1, FenceResult::kUnknownIncarnation}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"booking connection lost, still running at the deadline",
     Booking(),
     {AttemptStarted{1}, kConnectionLost, FenceResultReceived{1, FenceResult::kRunning},
      DeadlinePassed{}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"booking without an answer until the deadline",
     Booking(),
     {AttemptStarted{1}, DeadlinePassed{}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"kUnreachable after the hand-over does not prove that nothing ran",
     Booking(),
     {AttemptStarted{1}, kUnreachable, FenceResultReceived{1, FenceResult::kUnknownIncarnation}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"kNeverStarted after tokens were received does not prove that nothing ran",
     Booking(),
     {AttemptStarted{1}, FirstTokenReceived{1}, kConnectionLost,
      FenceResultReceived{1, FenceResult::kNeverStarted}},
     RefusalKind::kOutcomeUnknown,
     Execution::kRan,
     false},
    {"version withdrawn at the sidecar",
     Chat(),
     {AttemptStarted{1}, AttemptRefused{1, AttemptRefusal::kWithdrawn, {}}},
     RefusalKind::kVersionWithdrawn,
     Execution::kNotRun,
     false},
    {"version not allowed at the sidecar",
     Chat(),
     {AttemptRefused{1, AttemptRefusal::kNotAllowed, {}}},
     RefusalKind::kNotAllowed,
     Execution::kNotRun,
     false},
    {"every upstream of the service full",
     Read(),
     {AttemptRefused{1, AttemptRefusal::kFull, milliseconds(70)},
      AttemptRefused{2, AttemptRefusal::kFull, milliseconds(80)},
      AttemptRefused{3, AttemptRefusal::kFull, milliseconds(90)}},
     RefusalKind::kOverloaded,
     Execution::kNotRun,
     true},
    {"stream lost without a token offset",
     Chat(),
     {AttemptStarted{1}, FirstTokenReceived{1}, kConnectionLost},
     RefusalKind::kAnswerInterrupted,
     Execution::kRan,
     false},
    {"chat without an answer until the deadline",
     Chat(),
     {AttemptStarted{1}, DeadlinePassed{}},
     RefusalKind::kDeadlineExceeded,
     Execution::kUnknown,
     false},
};

TEST_CASE("each refusal reports correctly whether the request ran") {
  for (const RefusalCase& test : kRefusalCases) {
    CAPTURE(test.name);
    RequestRun run(test.traits);
    for (const RequestEvent& event : test.events) {
      CHECK_FALSE(run.machine.Ended());
      run.Raise(event);
    }
    const Refuse* refuse = run.Last<Refuse>();
    REQUIRE(refuse != nullptr);
    CHECK(run.machine.Ended());
    CHECK(refuse->refusal.kind == test.kind);
    CHECK(refuse->refusal.execution == test.execution);
    CHECK(refuse->refusal.retry_after.has_value() == test.retry_after);
    CHECK_FALSE(refuse->refusal.message.empty());
    CHECK(run.Raise(AttemptFinished{1, 5}).empty());
  }
}

TEST_CASE("a booking that never started is dispatched again, and one that is done is answered") {
  RequestRun run(Booking());
  run.Raise(AttemptStarted{1});
  run.Raise(kConnectionLost);
  CHECK(run.Last<FenceAttempt>() != nullptr);
  run.Raise(FenceResultReceived{1, FenceResult::kRunning});
  const FenceAttempt* again = run.Last<FenceAttempt>();
  REQUIRE(again != nullptr);
  CHECK(again->after == run.settings.fence_interval);
  run.Raise(FenceResultReceived{1, FenceResult::kNeverStarted});
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->attempt == 2);
  CHECK(second->at_most_once);
  run.Raise(AttemptStarted{2});
  run.Raise(AttemptFailed{2, AttemptOutcome::kTimedOut, false});
  run.Raise(FenceResultReceived{2, FenceResult::kDone});
  const Answer* answer = run.Last<Answer>();
  REQUIRE(answer != nullptr);
  CHECK(answer->attempt == 2);
}

TEST_CASE(
    "a broken stream resumes at its token offset on the same version, or ends if it is withdrawn") {
  for (const bool withdrawn : {false, true}) {
    CAPTURE(withdrawn);
    RequestRun run(Chat());
    run.Raise(AttemptStarted{1});
    run.Raise(FirstTokenReceived{1});
    run.configuration.models[kCheap].default_version = kNew;
    if (withdrawn) {
      run.configuration.models[kCheap].versions[kOld].state = config::VersionState::kWithdrawn;
    }
    run.Raise(StreamBroken{1, 37});
    const Dispatch* resumed = run.Last<Dispatch>();
    if (withdrawn) {
      REQUIRE(run.Last<Refuse>() != nullptr);
      CHECK(run.Last<Refuse>()->refusal.kind == RefusalKind::kAnswerInterrupted);
      continue;
    }
    REQUIRE(resumed != nullptr);
    CHECK(resumed->resume_offset == 37);
    CHECK(resumed->version == ModelVersion{kCheap, kOld});
  }
}

TEST_CASE("a non-streamed answer is repeated from the first token when the connection breaks") {
  RequestTraits traits = Chat();
  traits.streaming = false;
  RequestRun run(traits);
  CHECK_FALSE(run.Last<Dispatch>()->stream_to_caller);
  run.Raise(AttemptStarted{1});
  run.Raise(FirstTokenReceived{1});
  run.Raise(kConnectionLost);
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->resume_offset == 0);
}

TEST_CASE(
    "a cascade rates the cheap answer, escalates below the target and streams the last step") {
  RequestRun run(fakes::TraitsFor(CascadeTarget{fakes::kCascade}));
  const Dispatch* cheap = run.Last<Dispatch>();
  REQUIRE(cheap != nullptr);
  CHECK(cheap->version->model == kCheap);
  CHECK_FALSE(cheap->stream_to_caller);
  run.Raise(AttemptStarted{1});
  run.Raise(FirstTokenReceived{1});
  run.Raise(AttemptFinished{1, 100});
  REQUIRE(run.Last<RequestRating>() != nullptr);
  run.Raise(RatingReceived{1, {RatingOutcome::kScore, 0.2}});
  const Dispatch* strong = run.Last<Dispatch>();
  REQUIRE(strong != nullptr);
  CHECK(strong->version->model == kStrong);
  CHECK(strong->stream_to_caller);
  CHECK(strong->cascade_step == 1);
}

// Guards against a second model that runs a request which must not run twice, since the first
// model's answer was rated too low.
TEST_CASE("a request that must not run twice runs one step of a cascade, and gets its answer") {
  for (const bool has_key : {true, false}) {
    CAPTURE(has_key);
    RequestTraits traits = fakes::TraitsFor(CascadeTarget{fakes::kCascade});
    traits.at_most_once = has_key;
    traits.idempotent = has_key;
    RequestRun run(traits);
    const Dispatch* only = run.Last<Dispatch>();
    REQUIRE(only != nullptr);
    CHECK(only->version->model == kStrong);
    CHECK(only->stream_to_caller);
    run.Raise(AttemptStarted{1});
    run.Raise(FirstTokenReceived{1});
    run.Raise(AttemptFinished{1, 100});
    const Answer* answer = run.Last<Answer>();
    REQUIRE(answer != nullptr);
    CHECK(answer->attempt == 1);
    CHECK(run.Raise(RatingReceived{1, {RatingOutcome::kScore, 0.2}}).empty());
  }
}

TEST_CASE("if the strong step fails, the cheap answer is returned and marked as degraded") {
  RequestRun run(fakes::TraitsFor(CascadeTarget{fakes::kCascade}));
  run.Raise(AttemptStarted{1});
  run.Raise(AttemptFinished{1, 100});
  run.Raise(RatingReceived{1, {RatingOutcome::kScore, 0.2}});
  run.Raise(AttemptStarted{2});
  run.Raise(DeadlinePassed{});
  const Answer* answer = run.Last<Answer>();
  REQUIRE(answer != nullptr);
  CHECK(*answer == Answer{1, 0, true});
}

TEST_CASE("a hedge that answers first cancels the silent attempt and counts it as a failure") {
  RequestRun run(Read());
  const UpstreamId silent = run.Last<Dispatch>()->upstream;
  REQUIRE(run.Last<Dispatch>()->hedge_after);
  run.Raise(AttemptStarted{1});
  run.Raise(HedgeDue{1});
  const Dispatch* hedge = run.Last<Dispatch>();
  // The balance is too small for a hedge, which must leave `hedge_reserve` for failed attempts.
  CHECK(hedge == nullptr);
  for (int i = 0; i < 20; ++i) {
    run.budget.OnRequest();
  }
  run.Raise(HedgeDue{1});
  hedge = run.Last<Dispatch>();
  REQUIRE(hedge != nullptr);
  CHECK(hedge->upstream != silent);
  run.Raise(AttemptStarted{2});
  const Actions actions = run.Raise(AttemptFinished{2, 0});
  REQUIRE(actions.size() == 2);
  CHECK(actions[0] == Action(CancelAttempts{{1}}));
  CHECK(actions[1] == Action(Answer{2, 0, false}));
  CHECK(run.table.Read(silent, {}, run.now).health.error_rate > 0);
}

TEST_CASE("a candidate that fails or has no upstream is replaced by the default version") {
  RequestTraits traits = Chat();
  RequestRun run(Booking());
  run.configuration.models[kCheap].rollout =
      config::Rollout{kNew, 10'000, config::RolloutState::kRunning, ""};
  run.machine = RequestStateMachine(traits);
  run.Step([&](TransitionContext& context) { return run.machine.Start(context, run.now); });
  CHECK(run.Last<Dispatch>()->version->version == kNew);
  run.Raise(AttemptStarted{1});
  run.Raise(kErrorAnswer);
  REQUIRE(run.Last<Dispatch>() != nullptr);
  CHECK(run.Last<Dispatch>()->version->version == kOld);
  CHECK(run.evidence.Read({kCheap, kNew}, TimePoint()).Total().counts[0] == TrialCount{1, 1});

  for (auto& [id, upstream] : run.configuration.upstreams) {
    upstream.serves.erase({kCheap, kNew});
  }
  run.machine = RequestStateMachine(traits);
  run.Step([&](TransitionContext& context) { return run.machine.Start(context, run.now); });
  CHECK(run.Last<Dispatch>()->version->version == kOld);
}

TEST_CASE("a session keeps the version of its first attempt") {
  RequestTraits traits = Chat();
  traits.session = SessionId("s");
  RequestRun run(traits);
  CHECK(run.Last<Dispatch>()->pin_session);
  run.configuration.models[kCheap].default_version = kNew;
  run.Raise(kUnreachable);
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->version->version == kOld);
}

TEST_CASE("the trace lists the reason of every decision") {
  RequestRun run(Chat());
  run.Raise(kUnreachable);
  std::string text;
  for (const DecisionRecord& record : run.machine.Trace()) {
    text += std::string(ToString(record.reason)) + " ";
  }
  CHECK(text ==
        "default_version least_expected_latency never_handed_over default_version "
        "least_expected_latency ");
}

}  // namespace
}  // namespace masticrill::routing
