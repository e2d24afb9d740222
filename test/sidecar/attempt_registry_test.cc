#include "masticrill/sidecar/attempt_registry.h"

#include <doctest/doctest.h>

#include "fakes/sidecar_inputs.h"

namespace masticrill::sidecar {
namespace {

using testing::kStart;
using testing::MakeSpec;

RegistryOptions SmallOptions() {
  RegistryOptions options;
  options.window = seconds(100);
  options.max_protected_entries = 4;
  options.fence_reserve = 1;
  options.max_answer_bytes = 10;
  options.max_total_answer_bytes = 30;
  options.max_repeatable_entries = 2;
  return options;
}

AttemptSpec AtMostOnceSpec(const std::string& attempt, const IncarnationId& incarnation) {
  AttemptSpec spec = MakeSpec(attempt);
  spec.at_most_once = true;
  spec.incarnation = incarnation;
  return spec;
}

enum class Step { kAdmit, kRun, kRefuse, kDone };

TEST_CASE("a fence reports the correct state after every history of an attempt") {
  struct Case {
    const char* name;
    std::vector<Step> steps;
    FenceState expected;
    /// Why the attempt is refused when it arrives after the fence.
    RefuseReason later;
  };
  const std::vector<Case> cases = {
      {"never arrived", {}, FenceState::kNeverStartedNowFenced, RefuseReason::kFenced},
      {"queued", {Step::kAdmit}, FenceState::kNeverStartedNowFenced, RefuseReason::kFenced},
      {"refused",
       {Step::kAdmit, Step::kRefuse},
       FenceState::kNeverStartedNowFenced,
       RefuseReason::kFenced},
      {"running", {Step::kAdmit, Step::kRun}, FenceState::kRunning, RefuseReason::kDuplicate},
      {"done",
       {Step::kAdmit, Step::kRun, Step::kDone},
       FenceState::kDone,
       RefuseReason::kDuplicate},
      {"refused after the start was withdrawn",
       {Step::kAdmit, Step::kRun, Step::kRefuse},
       FenceState::kNeverStartedNowFenced,
       RefuseReason::kFenced},
      {"done twice",
       {Step::kAdmit, Step::kRun, Step::kDone, Step::kDone},
       FenceState::kDone,
       RefuseReason::kDuplicate},
      {"done without a start is ignored",
       {Step::kAdmit, Step::kDone},
       FenceState::kNeverStartedNowFenced,
       RefuseReason::kFenced},
      {"refused after its end is ignored",
       {Step::kAdmit, Step::kRun, Step::kDone, Step::kRefuse},
       FenceState::kDone,
       RefuseReason::kDuplicate},
  };
  for (const bool at_most_once : {true, false}) {
    for (const Case& test : cases) {
      CAPTURE(test.name);
      CAPTURE(at_most_once);
      AttemptRegistry registry(IncarnationId("i"), SmallOptions(), kStart);
      AttemptSpec spec = AtMostOnceSpec("a", registry.Incarnation());
      spec.at_most_once = at_most_once;
      for (const Step step : test.steps) {
        switch (step) {
          case Step::kAdmit:
            REQUIRE_FALSE(registry.Admit(spec));
            break;
          case Step::kRun:
            registry.MarkRunning(spec.attempt);
            break;
          case Step::kRefuse:
            registry.MarkNeverStarted(spec.attempt);
            break;
          case Step::kDone:
            registry.MarkDone(spec.attempt, {EngineOutcome::kOk, 1, "ok"});
            break;
        }
      }
      const FenceRequest fence{spec.attempt, registry.Incarnation(), at_most_once};
      const FenceResult result = registry.Fence(fence);
      CHECK(result.state == test.expected);
      if (result.state == FenceState::kDone) {
        CHECK(result.outcome == EngineOutcome::kOk);
        CHECK(result.answer.has_value() == at_most_once);
      }
      CHECK(registry.Fence(fence) == result);
      CHECK(registry.Admit(spec) == test.later);
    }
  }
}

TEST_CASE("an attempt of another incarnation is refused and its outcome is unknown") {
  AttemptRegistry registry(IncarnationId("new"), SmallOptions(), kStart);
  const IncarnationId old("old.1");
  CHECK(registry.Fence({AttemptId("a"), old, true}).state == FenceState::kOutcomeUnknown);
  CHECK(registry.Admit(AtMostOnceSpec("a", old)) == RefuseReason::kStaleIncarnation);
  CHECK(registry.Admit(AtMostOnceSpec("b", IncarnationId())) == RefuseReason::kStaleIncarnation);
}

TEST_CASE(
    "an outcome is retained for at least the window and its attempt is never admitted again") {
  AttemptRegistry registry(IncarnationId("i"), SmallOptions(), kStart);
  const IncarnationId first = registry.Incarnation();
  const AttemptSpec spec = AtMostOnceSpec("a", first);
  REQUIRE_FALSE(registry.Admit(spec));
  registry.MarkRunning(spec.attempt);
  registry.Advance(kStart + seconds(99));
  registry.MarkDone(spec.attempt, {EngineOutcome::kOk, 1, "ok"});
  for (int second = 100; second <= 199; ++second) {
    registry.Advance(kStart + seconds(second));
    REQUIRE(registry.Fence({spec.attempt, first, true}).state == FenceState::kDone);
  }
  registry.Advance(kStart + seconds(200));
  CHECK(registry.ProtectedEntries() == 0);
  CHECK(registry.AnswerBytes() == 0);
  CHECK(registry.Fence({spec.attempt, first, true}).state == FenceState::kOutcomeUnknown);
  CHECK(registry.Admit(spec) == RefuseReason::kStaleIncarnation);
}

TEST_CASE("a running attempt is retained over any number of windows") {
  AttemptRegistry registry(IncarnationId("i"), SmallOptions(), kStart);
  const AttemptSpec spec = AtMostOnceSpec("a", registry.Incarnation());
  REQUIRE_FALSE(registry.Admit(spec));
  registry.MarkRunning(spec.attempt);
  for (int second = 0; second <= 1000; second += 100) {
    registry.Advance(kStart + seconds(second));
  }
  CHECK(registry.Fence({spec.attempt, IncarnationId("x"), true}).state == FenceState::kRunning);
  CHECK(registry.Admit(spec) == RefuseReason::kDuplicate);
}

TEST_CASE("a full registry refuses new at-most-once attempts and removes no entry early") {
  AttemptRegistry registry(IncarnationId("i"), SmallOptions(), kStart);
  const IncarnationId first = registry.Incarnation();
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE_FALSE(registry.Admit(AtMostOnceSpec(name, first)));
    registry.MarkRunning(AttemptId(name));
    registry.MarkDone(AttemptId(name), {EngineOutcome::kOk, 1, "ok"});
  }
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  CHECK(registry.Fence({AttemptId("e"), first, true}).state == FenceState::kNeverStartedNowFenced);
  CHECK(registry.Fence({AttemptId("f"), first, true}).state == FenceState::kTryLater);
  CHECK(registry.Fence({AttemptId("a"), first, true}).state == FenceState::kDone);
  // The refused attempt must not run when it arrives again after room was made.
  registry.Advance(kStart + seconds(100));
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  registry.Advance(kStart + seconds(200));
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kStaleIncarnation);
  CHECK_FALSE(registry.Admit(AtMostOnceSpec("g", registry.Incarnation())));
}

TEST_CASE(
    "the size of recorded answers is bounded, and room for each is reserved before the start") {
  RegistryOptions options = SmallOptions();
  options.max_protected_entries = 100;
  AttemptRegistry registry(IncarnationId("i"), options, kStart);
  const IncarnationId first = registry.Incarnation();
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE_FALSE(registry.Admit(AtMostOnceSpec(name, first)));
    registry.MarkRunning(AttemptId(name));
  }
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  registry.MarkDone(AttemptId("a"), {EngineOutcome::kOk, 1, "an answer over ten bytes"});
  CHECK(registry.AnswerBytes() == 20);
  const FenceResult result = registry.Fence({AttemptId("a"), first, true});
  CHECK(result.state == FenceState::kDone);
  CHECK_FALSE(result.answer);
}

TEST_CASE("an at-most-once attempt refused for lack of room stays refused when room becomes free") {
  RegistryOptions options = SmallOptions();
  options.max_protected_entries = 100;
  AttemptRegistry registry(IncarnationId("i"), options, kStart);
  const IncarnationId first = registry.Incarnation();
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE_FALSE(registry.Admit(AtMostOnceSpec(name, first)));
    registry.MarkRunning(AttemptId(name));
  }
  REQUIRE(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  registry.MarkDone(AttemptId("a"), {EngineOutcome::kOk, 1, ""});
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  registry.Advance(kStart + seconds(100));
  CHECK(registry.Admit(AtMostOnceSpec("d", first)) == RefuseReason::kRegistryFull);
  CHECK_FALSE(registry.Admit(AtMostOnceSpec("e", registry.Incarnation())));
}

TEST_CASE(
    "once a repeatable attempt was evicted, a fence of an unknown one reports an unknown outcome") {
  AttemptRegistry registry(IncarnationId("i"), SmallOptions(), kStart);
  for (const char* name : {"a", "b", "c"}) {
    REQUIRE_FALSE(registry.Admit(MakeSpec(name)));
    registry.MarkRunning(AttemptId(name));
    registry.MarkDone(AttemptId(name), {EngineOutcome::kOk, 1, ""});
  }
  CHECK(registry.RepeatableEntries() == 2);
  const IncarnationId current = registry.Incarnation();
  CHECK(registry.Fence({AttemptId("a"), current, false}).state == FenceState::kOutcomeUnknown);
  CHECK(registry.Fence({AttemptId("z"), current, true}).state ==
        FenceState::kNeverStartedNowFenced);
}

}  // namespace
}  // namespace masticrill::sidecar
