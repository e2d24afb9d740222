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

/// One request with plenty of retry budget, of which a test tells the events.
struct Run {
  explicit Run(RequestTraits traits) : machine(std::move(traits)) {
    this->Step([&](TransitionContext& context) { return this->machine.Start(context, this->now); });
  }

  Actions Tell(const RequestEvent& event) {
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
const AttemptFailed kLost{1, AttemptOutcome::kBroken, false};
const AttemptFailed kErrorAnswer{1, AttemptOutcome::kFailed, true};

const RefusalCase kRefusalCases[] = {
    {"caller left before the hand-over",
     Booking(),
     {CallerDisconnected{}},
     RefusalKind::kCancelled,
     Execution::kNotRun,
     false},
    {"caller left after it",
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
    {"booking lost, sidecar gone",
     Booking(),
     {AttemptStarted{1}, kLost, FenceResultReceived{1, FenceResult::kUnknownIncarnation}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"booking lost, still running at the deadline",
     Booking(),
     {AttemptStarted{1}, kLost, FenceResultReceived{1, FenceResult::kRunning}, DeadlinePassed{}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"booking silent until the deadline",
     Booking(),
     {AttemptStarted{1}, DeadlinePassed{}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"unreachable said after the hand-over is no proof",
     Booking(),
     {AttemptStarted{1}, kUnreachable, FenceResultReceived{1, FenceResult::kUnknownIncarnation}},
     RefusalKind::kOutcomeUnknown,
     Execution::kUnknown,
     false},
    {"never-started said after tokens came is no proof",
     Booking(),
     {AttemptStarted{1}, FirstTokenReceived{1}, kLost,
      FenceResultReceived{1, FenceResult::kNeverStarted}},
     RefusalKind::kOutcomeUnknown,
     Execution::kRan,
     false},
    {"withdrawn at the sidecar",
     Chat(),
     {AttemptStarted{1}, AttemptRefused{1, AttemptRefusal::kWithdrawn, {}}},
     RefusalKind::kVersionWithdrawn,
     Execution::kNotRun,
     false},
    {"not allowed at the sidecar",
     Chat(),
     {AttemptRefused{1, AttemptRefusal::kNotAllowed, {}}},
     RefusalKind::kNotAllowed,
     Execution::kNotRun,
     false},
    {"every service host full",
     Read(),
     {AttemptRefused{1, AttemptRefusal::kFull, milliseconds(70)},
      AttemptRefused{2, AttemptRefusal::kFull, milliseconds(80)},
      AttemptRefused{3, AttemptRefusal::kFull, milliseconds(90)}},
     RefusalKind::kOverloaded,
     Execution::kNotRun,
     true},
    {"stream lost without an offset",
     Chat(),
     {AttemptStarted{1}, FirstTokenReceived{1}, kLost},
     RefusalKind::kAnswerInterrupted,
     Execution::kRan,
     false},
    {"chat silent until the deadline",
     Chat(),
     {AttemptStarted{1}, DeadlinePassed{}},
     RefusalKind::kDeadlineExceeded,
     Execution::kUnknown,
     false},
};

TEST_CASE("each refusal says truthfully whether the request ran") {
  for (const RefusalCase& test : kRefusalCases) {
    CAPTURE(test.name);
    Run run(test.traits);
    for (const RequestEvent& event : test.events) {
      CHECK_FALSE(run.machine.Ended());
      run.Tell(event);
    }
    const Refuse* refuse = run.Last<Refuse>();
    REQUIRE(refuse != nullptr);
    CHECK(run.machine.Ended());
    CHECK(refuse->refusal.kind == test.kind);
    CHECK(refuse->refusal.execution == test.execution);
    CHECK(refuse->refusal.retry_after.has_value() == test.retry_after);
    CHECK_FALSE(refuse->refusal.message.empty());
    CHECK(run.Tell(AttemptFinished{1, 5}).empty());
  }
}

TEST_CASE("a booking that was never started moves on once, one that is done is answered") {
  Run run(Booking());
  run.Tell(AttemptStarted{1});
  run.Tell(kLost);
  CHECK(run.Last<FenceAttempt>() != nullptr);
  run.Tell(FenceResultReceived{1, FenceResult::kRunning});
  const FenceAttempt* again = run.Last<FenceAttempt>();
  REQUIRE(again != nullptr);
  CHECK(again->after == run.settings.fence_interval);
  run.Tell(FenceResultReceived{1, FenceResult::kNeverStarted});
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->attempt == 2);
  CHECK(second->at_most_once);
  run.Tell(AttemptStarted{2});
  run.Tell(AttemptFailed{2, AttemptOutcome::kTimedOut, false});
  run.Tell(FenceResultReceived{2, FenceResult::kDone});
  const Answer* answer = run.Last<Answer>();
  REQUIRE(answer != nullptr);
  CHECK(answer->attempt == 2);
}

TEST_CASE("a broken stream goes on at its token on the same version, or ends") {
  for (const bool withdrawn : {false, true}) {
    CAPTURE(withdrawn);
    Run run(Chat());
    run.Tell(AttemptStarted{1});
    run.Tell(FirstTokenReceived{1});
    run.configuration.models[kCheap].default_version = kNew;
    if (withdrawn) {
      run.configuration.models[kCheap].versions[kOld].state = config::VersionState::kWithdrawn;
    }
    run.Tell(StreamBroken{1, 37});
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

TEST_CASE("an answer that is not streamed starts again from nothing when it breaks") {
  RequestTraits traits = Chat();
  traits.streaming = false;
  Run run(traits);
  CHECK_FALSE(run.Last<Dispatch>()->stream_to_caller);
  run.Tell(AttemptStarted{1});
  run.Tell(FirstTokenReceived{1});
  run.Tell(kLost);
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->resume_offset == 0);
}

TEST_CASE(
    "a cascade rates the cheap answer, escalates below the target and streams the last step") {
  Run run(fakes::TraitsFor(CascadeTarget{fakes::kCascade}));
  const Dispatch* cheap = run.Last<Dispatch>();
  REQUIRE(cheap != nullptr);
  CHECK(cheap->version->model == kCheap);
  CHECK_FALSE(cheap->stream_to_caller);
  run.Tell(AttemptStarted{1});
  run.Tell(FirstTokenReceived{1});
  run.Tell(AttemptFinished{1, 100});
  REQUIRE(run.Last<RequestRating>() != nullptr);
  run.Tell(RatingReceived{1, {RatingOutcome::kScore, 0.2}});
  const Dispatch* strong = run.Last<Dispatch>();
  REQUIRE(strong != nullptr);
  CHECK(strong->version->model == kStrong);
  CHECK(strong->stream_to_caller);
  CHECK(strong->cascade_step == 1);
}

TEST_CASE("a strong step that fails leaves the cheap answer, marked") {
  Run run(fakes::TraitsFor(CascadeTarget{fakes::kCascade}));
  run.Tell(AttemptStarted{1});
  run.Tell(AttemptFinished{1, 100});
  run.Tell(RatingReceived{1, {RatingOutcome::kScore, 0.2}});
  run.Tell(AttemptStarted{2});
  run.Tell(DeadlinePassed{});
  const Answer* answer = run.Last<Answer>();
  REQUIRE(answer != nullptr);
  CHECK(*answer == Answer{1, 0, true});
}

TEST_CASE("a hedge beside a silent upstream wins, and the silent one is cancelled and noted") {
  Run run(Read());
  const UpstreamId silent = run.Last<Dispatch>()->upstream;
  REQUIRE(run.Last<Dispatch>()->hedge_after);
  run.Tell(AttemptStarted{1});
  run.Tell(HedgeDue{1});
  const Dispatch* hedge = run.Last<Dispatch>();
  // The budget of ten is all reserved for failures.
  CHECK(hedge == nullptr);
  for (int i = 0; i < 20; ++i) {
    run.budget.OnRequest();
  }
  run.Tell(HedgeDue{1});
  hedge = run.Last<Dispatch>();
  REQUIRE(hedge != nullptr);
  CHECK(hedge->upstream != silent);
  run.Tell(AttemptStarted{2});
  const Actions actions = run.Tell(AttemptFinished{2, 0});
  REQUIRE(actions.size() == 2);
  CHECK(actions[0] == Action(CancelAttempts{{1}}));
  CHECK(actions[1] == Action(Answer{2, 0, false}));
  CHECK(run.table.Read(silent, {}, run.now).health.error_rate > 0);
}

TEST_CASE("a candidate that fails or has no upstream gives way to the default version") {
  RequestTraits traits = Chat();
  Run run(Booking());
  run.configuration.models[kCheap].rollout =
      config::Rollout{kNew, 10'000, config::RolloutState::kRunning, ""};
  run.machine = RequestStateMachine(traits);
  run.Step([&](TransitionContext& context) { return run.machine.Start(context, run.now); });
  CHECK(run.Last<Dispatch>()->version->version == kNew);
  run.Tell(AttemptStarted{1});
  run.Tell(kErrorAnswer);
  REQUIRE(run.Last<Dispatch>() != nullptr);
  CHECK(run.Last<Dispatch>()->version->version == kOld);
  CHECK(run.evidence.Read({kCheap, kNew}).Total().counts[0] == TrialCount{1, 1});

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
  Run run(traits);
  CHECK(run.Last<Dispatch>()->pin_session);
  run.configuration.models[kCheap].default_version = kNew;
  run.Tell(kUnreachable);
  const Dispatch* second = run.Last<Dispatch>();
  REQUIRE(second != nullptr);
  CHECK(second->version->version == kOld);
}

TEST_CASE("the trace names every decision") {
  Run run(Chat());
  run.Tell(kUnreachable);
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
