#include "masticrill/sidecar/admission.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "fakes/sidecar_inputs.h"

namespace masticrill::sidecar {
namespace {

using testing::AllowAll;
using testing::kSelf;
using testing::kStart;
using testing::MakeSpec;
using testing::Share;

/// An upstream that is cold gets one attempt at a time until it is known to be warm.
AdmissionOptions OneSlotOptions() {
  AdmissionOptions options;
  options.ramp.no_baseline_bound = 1;
  return options;
}

/// An admission with a lease for an hour, a cold upstream (limit 1) and one running attempt.
struct Fixture {
  explicit Fixture(const AdmissionOptions& options = OneSlotOptions())
      : admission(IncarnationId("i"), options, kStart) {
    this->admission.OnConfiguration(Share(AllowAll(1, 8)), kSelf, kStart);
    this->admission.OnLease(kStart + std::chrono::hours(1), kStart);
    REQUIRE(this->admission.Submit(MakeSpec("running"), kStart).kind == DecisionKind::kStart);
  }

  Decision Submit(const std::string& attempt, RequestClass request_class = RequestClass::kCaption,
                  TimePoint now = kStart) {
    return this->admission.Submit(MakeSpec(attempt, request_class), now);
  }
  Effects FinishRunning(TimePoint now, EngineOutcome outcome = EngineOutcome::kOk) {
    return this->admission.OnFinished(AttemptId("running"), {outcome, 10, ""}, now);
  }

  Admission admission;
};

std::vector<AttemptId> AttemptIds(const char* attempt) { return {AttemptId(attempt)}; }

TEST_CASE("every event that forbids the start of a queued attempt refuses it as never started") {
  struct Case {
    const char* name;
    std::function<Effects(Admission&)> event;
    RefuseReason reason;
  };
  const auto configure = [](const std::function<void(config::Configuration&)>& change) {
    return [change](Admission& admission) {
      config::Configuration next = AllowAll(2, 8);
      change(next);
      return admission.OnConfiguration(Share(next), kSelf, kStart + seconds(1));
    };
  };
  const std::vector<Case> cases = {
      {"withdrawal", configure([](config::Configuration& next) {
         next.models[ModelId("m")].versions[VersionId("1")].state =
             config::VersionState::kWithdrawn;
       }),
       RefuseReason::kVersionWithdrawn},
      {"failure domain out", configure([](config::Configuration& next) {
         next.failure_domains[FailureDomainId("d")].state = config::DomainState::kOut;
       }),
       RefuseReason::kDomainOut},
      {"upstream leaving", configure([](config::Configuration& next) {
         next.upstreams[kSelf].state = config::UpstreamState::kLeaving;
       }),
       RefuseReason::kUpstreamLeaving},
      {"team no longer allowed",
       configure([](config::Configuration& next) { next.teams[TeamId("t0")].models.clear(); }),
       RefuseReason::kNotAllowed},
      {"drain", [](Admission& admission) { return admission.BeginDrain(kStart + seconds(1)); },
       RefuseReason::kStopping},
      {"lease expired",
       [](Admission& admission) { return admission.OnTick(kStart + std::chrono::hours(1)); },
       RefuseReason::kNoLease},
      {"resumed after the lease expired, when the running attempt ends",
       [](Admission& admission) {
         return admission.OnFinished(AttemptId("running"), {EngineOutcome::kOk, 1, ""},
                                     kStart + std::chrono::hours(2));
       },
       RefuseReason::kNoLease},
      {"resumed after the deadline, with a new lease",
       [](Admission& admission) {
         Effects effects =
             admission.OnLease(kStart + std::chrono::hours(100), kStart + std::chrono::hours(30));
         return effects;
       },
       RefuseReason::kDeadlineExceeded},
      {"fence",
       [](Admission& admission) {
         const FenceDecision decision =
             admission.Fence({AttemptId("queued"), IncarnationId("i.1"), false}, kStart);
         CHECK(decision.result.state == FenceState::kNeverStartedNowFenced);
         return decision.effects;
       },
       RefuseReason::kFenced},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    Fixture fixture;
    REQUIRE(fixture.Submit("queued").kind == DecisionKind::kQueued);
    const Effects effects = test.event(fixture.admission);
    REQUIRE(effects.refused.size() == 1);
    CHECK(effects.refused.front().attempt == AttemptId("queued"));
    CHECK(effects.refused.front().reason == test.reason);
    CHECK(effects.refused.front().retry_after.has_value() == IsTransient(test.reason));
    CHECK(effects.start.empty());
    CHECK(ExecutionOf(test.reason) == Execution::kNotRun);
    CHECK(fixture.FinishRunning(kStart + seconds(2)).start.empty());
    CHECK(fixture.Submit("queued").reason == RefuseReason::kFenced);
  }
}

TEST_CASE(
    "a cancel frees the queue position or slot in every state, and later events change nothing") {
  Fixture fixture;
  REQUIRE(fixture.Submit("queued").kind == DecisionKind::kQueued);
  REQUIRE(fixture.Submit("next").kind == DecisionKind::kQueued);
  CHECK(fixture.admission.OnCancel(AttemptId("unknown"), 0, kStart) == Effects{});
  CHECK(fixture.admission.OnCancel(AttemptId("queued"), 0, kStart) == Effects{});
  CHECK(fixture.admission.OnCancel(AttemptId("running"), 3, kStart).start == AttemptIds("next"));
  // Late events of the cancelled attempt change nothing.
  fixture.admission.OnFirstToken(AttemptId("running"), kStart);
  CHECK(fixture.FinishRunning(kStart) == Effects{});
  CHECK(fixture.admission.OnCancel(AttemptId("running"), 3, kStart) == Effects{});
  CHECK(fixture.admission.Load(kStart).in_flight == 1);
  const std::vector<Receipt> receipts = fixture.admission.TakeDueReceipts(10, kStart);
  REQUIRE(receipts.size() == 1);
  CHECK(receipts.front().tokens == 3);
  CHECK(receipts.front().outcome == EngineOutcome::kCancelled);
}

TEST_CASE("a running at-most-once attempt keeps running when its caller disconnects") {
  Fixture fixture;
  fixture.FinishRunning(kStart);
  AttemptSpec spec = MakeSpec("booking");
  spec.at_most_once = true;
  spec.incarnation = fixture.admission.Load(kStart).incarnation;
  REQUIRE(fixture.admission.Submit(spec, kStart).kind == DecisionKind::kStart);
  fixture.admission.OnCancel(spec.attempt, 0, kStart);
  CHECK(fixture.admission.Load(kStart).in_flight == 1);
  const FenceRequest fence{spec.attempt, spec.incarnation, true};
  CHECK(fixture.admission.Fence(fence, kStart).result.state == FenceState::kRunning);
  fixture.admission.OnFinished(spec.attempt, {EngineOutcome::kOk, 1, "booked"}, kStart);
  const FenceResult result = fixture.admission.Fence(fence, kStart).result;
  CHECK(result.state == FenceState::kDone);
  CHECK(result.answer == "booked");
  CHECK(fixture.admission.Submit(spec, kStart).reason == RefuseReason::kDuplicate);
}

TEST_CASE("a start is confirmed once, and is withdrawn when the attempt is no longer allowed") {
  Fixture fixture;
  CHECK(fixture.admission.ConfirmStart(AttemptId("running"), kStart).kind == DecisionKind::kStart);
  CHECK(fixture.admission.ConfirmStart(AttemptId("running"), kStart).reason ==
        RefuseReason::kDuplicate);
  CHECK(fixture.admission.ConfirmStart(AttemptId("unknown"), kStart).reason ==
        RefuseReason::kCancelled);
  fixture.FinishRunning(kStart);
  REQUIRE(fixture.Submit("frozen").kind == DecisionKind::kStart);
  const TimePoint resumed_at = kStart + std::chrono::hours(1);
  CHECK(fixture.admission.ConfirmStart(AttemptId("frozen"), resumed_at).reason ==
        RefuseReason::kNoLease);
  CHECK(fixture.admission.Load(resumed_at).in_flight == 0);
  CHECK(fixture.admission.HeldReceipts() == 1);
  CHECK(fixture.admission.Fence({AttemptId("frozen"), IncarnationId("i.1"), false}, resumed_at)
            .result.state == FenceState::kNeverStartedNowFenced);
}

TEST_CASE("a brief that arrives at a full queue displaces the latest tag") {
  AdmissionOptions options = OneSlotOptions();
  options.queue.max_length = 2;
  Fixture fixture(options);
  fixture.Submit("tag-1", RequestClass::kTag);
  fixture.Submit("tag-2", RequestClass::kTag);
  const Decision full = fixture.Submit("tag-3", RequestClass::kTag);
  CHECK(full.reason == RefuseReason::kQueueFull);
  CHECK(full.retry_after);
  CHECK(fixture.Submit("tag-3", RequestClass::kTag).reason == RefuseReason::kFenced);
  const Decision brief = fixture.Submit("brief", RequestClass::kBrief);
  CHECK(brief.kind == DecisionKind::kQueued);
  REQUIRE(brief.effects.refused.size() == 1);
  CHECK(brief.effects.refused.front().attempt == AttemptId("tag-2"));
  CHECK(brief.effects.refused.front().reason == RefuseReason::kDisplaced);
  CHECK(brief.effects.refused.front().retry_after);
  CHECK(fixture.FinishRunning(kStart).start == AttemptIds("brief"));
}

TEST_CASE(
    "an attempt that would miss its deadline is refused at once and accepted after retry_after") {
  Fixture fixture;
  // From this first completion, the estimated service time is ten seconds.
  fixture.FinishRunning(kStart + seconds(10));
  TimePoint now = kStart + seconds(10);
  REQUIRE(fixture.Submit("1", RequestClass::kCaption, now).kind == DecisionKind::kStart);
  REQUIRE(fixture.Submit("2", RequestClass::kCaption, now).kind == DecisionKind::kQueued);
  REQUIRE(fixture.Submit("3", RequestClass::kCaption, now).kind == DecisionKind::kQueued);
  AttemptSpec spec = MakeSpec("late");
  spec.deadline = now + seconds(5);
  CHECK(fixture.admission.Submit(spec, now).reason == RefuseReason::kDeadlineTooShort);
  spec.attempt = AttemptId("waits");
  spec.deadline = now + seconds(25);
  const Decision refused = fixture.admission.Submit(spec, now);
  CHECK(refused.reason == RefuseReason::kQueueTooLong);
  REQUIRE(refused.retry_after);
  CHECK(*refused.retry_after > milliseconds(0));
  // A refused attempt must not start when its message arrives again.
  CHECK(fixture.admission.Submit(spec, now).reason == RefuseReason::kFenced);
  CHECK(*refused.retry_after <= seconds(25));
  // After retry_after the same request is accepted.
  for (const char* running : {"1", "2", "3"}) {
    now += seconds(10);
    fixture.admission.OnFinished(AttemptId(running), {EngineOutcome::kOk, 10, ""}, now);
    if (now - (kStart + seconds(10)) >= *refused.retry_after) {
      break;
    }
  }
  spec.attempt = AttemptId("again");
  spec.deadline = now + seconds(25);
  CHECK(fixture.admission.Submit(spec, now).kind != DecisionKind::kRefuse);
}

TEST_CASE("a team is charged for attempts that start, and only for those") {
  Fixture fixture;
  AttemptSpec dead = MakeSpec("dead", RequestClass::kCaption, "t1");
  dead.deadline = kStart + seconds(1);
  REQUIRE(fixture.admission.Submit(dead, kStart).kind == DecisionKind::kQueued);
  REQUIRE(fixture.Submit("t0's second").kind == DecisionKind::kQueued);
  REQUIRE(fixture.admission.Submit(MakeSpec("t1's", RequestClass::kCaption, "t1"), kStart).kind ==
          DecisionKind::kQueued);
  // Team t0 was charged for the running attempt; t1 is not charged for the one past its deadline.
  const Effects effects = fixture.FinishRunning(kStart + seconds(2));
  REQUIRE(effects.refused.size() == 1);
  CHECK(effects.refused.front().attempt == dead.attempt);
  CHECK(effects.start == AttemptIds("t1's"));
}

TEST_CASE("an attempt that would end after its deadline is not started") {
  AdmissionOptions options;
  options.ramp.initial_bound = 4;
  Fixture fixture(options);
  for (const char* name : {"1", "2", "3"}) {
    REQUIRE(fixture.Submit(name).kind == DecisionKind::kStart);
  }
  AttemptSpec late = MakeSpec("late");
  late.deadline = kStart + seconds(15);
  REQUIRE(fixture.admission.Submit(late, kStart).kind == DecisionKind::kQueued);
  REQUIRE(fixture.Submit("in time").kind == DecisionKind::kQueued);
  // The end of the running attempt shows that an attempt takes ten seconds.
  const Effects effects = fixture.FinishRunning(kStart + seconds(10));
  REQUIRE(effects.refused.size() == 1);
  CHECK(effects.refused.front().attempt == late.attempt);
  CHECK(effects.refused.front().reason == RefuseReason::kDeadlineExceeded);
  CHECK(effects.start == AttemptIds("in time"));
}

TEST_CASE("no attempt starts without free capacity for its receipt") {
  AdmissionOptions options = OneSlotOptions();
  options.receipts.capacity = 1;
  Fixture fixture(options);
  fixture.FinishRunning(kStart);
  const Decision refused = fixture.Submit("a");
  CHECK(refused.reason == RefuseReason::kReceiptsFull);
  CHECK(refused.retry_after);
  fixture.admission.AcknowledgeReceipt(AttemptId("running"));
  CHECK(fixture.Submit("b").kind == DecisionKind::kStart);
}

TEST_CASE("an unannounced cold start is detected while the first tokens are still outstanding") {
  Fixture fixture;
  TimePoint now = kStart;
  int next = 0;
  std::vector<AttemptId> started{AttemptId("running")};
  // Serves until the limit has grown to 8, with each first token after 100 ms.
  while (fixture.admission.Load(now).limit < 8) {
    now += milliseconds(100);
    for (const AttemptId& attempt : std::exchange(started, {})) {
      fixture.admission.OnFirstToken(attempt, now);
      fixture.admission.OnFinished(attempt, {EngineOutcome::kOk, 10, ""}, now);
    }
    while (fixture.Submit(std::to_string(next), RequestClass::kCaption, now).kind ==
           DecisionKind::kStart) {
      started.emplace_back(std::to_string(next++));
    }
    fixture.admission.OnCancel(AttemptId(std::to_string(next++)), 0, now);
    REQUIRE(now < kStart + seconds(600));
  }
  REQUIRE_FALSE(fixture.admission.Load(now).cold);
  REQUIRE(started.size() >= 3);
  // Now the upstream sends nothing for RampOptions::cold_ratio times the usual latency.
  fixture.admission.OnTick(now + milliseconds(390));
  CHECK_FALSE(fixture.admission.Load(now).cold);
  fixture.admission.OnTick(now + milliseconds(450));
  CHECK(fixture.admission.Load(now).cold);
  CHECK(fixture.admission.Load(now).limit == 1);
  CHECK(fixture.Submit("new", RequestClass::kBrief, now + milliseconds(450)).kind ==
        DecisionKind::kQueued);
}

TEST_CASE("a draining process refuses new attempts and is drained when its last attempt ends") {
  Fixture fixture;
  CHECK_FALSE(fixture.admission.Drained());
  fixture.admission.BeginDrain(kStart);
  CHECK_FALSE(fixture.admission.Drained());
  CHECK(fixture.Submit("a").reason == RefuseReason::kStopping);
  fixture.FinishRunning(kStart);
  CHECK(fixture.admission.Drained());
}

}  // namespace
}  // namespace masticrill::sidecar
