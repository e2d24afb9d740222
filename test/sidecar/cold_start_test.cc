// Simulates an Admission in front of the fake engine through cold starts, in virtual time.

#include <doctest/doctest.h>

#include <unordered_map>

#include "fakes/sidecar_engine.h"
#include "fakes/sidecar_inputs.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {
namespace {

using testing::AllowAll;
using testing::EngineEvent;
using testing::EngineModel;
using testing::FakeEngine;
using testing::kSelf;
using testing::kStart;
using testing::MakeSpec;
using testing::Share;

constexpr Duration kStep = milliseconds(10);

/// Keeps the queue filled, so that the engine always runs as many attempts as admission allows.
class Simulation {
 public:
  explicit Simulation(std::uint32_t initial_bound)
      : engine(EngineModel{}), admission(IncarnationId("i"), Options(initial_bound), kStart) {
    this->admission.OnConfiguration(Share(AllowAll(1, 64)), kSelf, kStart);
    this->admission.OnLease(kStart + std::chrono::hours(9), kStart);
    this->admission.OnEngineStart(1, kStart);
  }

  static AdmissionOptions Options(std::uint32_t initial_bound) {
    AdmissionOptions options;
    options.ramp.initial_bound = initial_bound;
    return options;
  }

  void RunFor(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end; this->now += kStep) {
      while (this->admission.Load(this->now).queued.at(
                 static_cast<std::size_t>(RequestClass::kCaption)) < 4) {
        const AttemptSpec spec = MakeSpec(std::to_string(this->next_id++));
        const Decision decision = this->admission.Submit(spec, this->now);
        this->Start(decision.effects);
        if (decision.kind == DecisionKind::kStart) {
          this->engine.Start(spec.attempt, 0.1, 0.7);
        }
      }
      for (const EngineEvent& event : this->engine.Step(this->now, kStep)) {
        this->Handle(event);
      }
      this->Start(this->admission.OnTick(this->now));
    }
  }

  void TurnCold(bool announced) {
    this->engine.TurnCold(this->now, announced);
    if (announced) {
      this->Start(this->admission.OnEngineStart(++this->engine_start, this->now));
    }
  }

  FakeEngine engine;
  Admission admission;
  TimePoint now = kStart;

 private:
  void Handle(const EngineEvent& event) {
    if (event.first_token) {
      this->admission.OnFirstToken(event.attempt, this->now);
    }
    if (event.ended) {
      this->Start(this->admission.OnFinished(event.attempt, {event.outcome, 10, ""}, this->now));
      this->admission.AcknowledgeReceipt(event.attempt);
    }
  }

  void Start(const Effects& effects) {
    for (const AttemptId& attempt : effects.start) {
      this->engine.Start(attempt, 0.1, 0.7);
    }
  }

  WallTimeMs engine_start = 1;
  int next_id = 0;
};

TEST_CASE(
    "a cold engine gets no more than the initial bound until it answers as fast as a warm one") {
  for (const std::uint32_t initial_bound : {1U, 2U, 4U}) {
    CAPTURE(initial_bound);
    Simulation simulation(initial_bound);
    simulation.RunFor(seconds(120));
    REQUIRE_FALSE(simulation.admission.Load(simulation.now).cold);
    REQUIRE(simulation.engine.InFlight() >= 12);

    simulation.TurnCold(true);
    simulation.RunFor(seconds(4));
    CHECK(simulation.engine.Cold());
    // Cold again during the ramp, first announced and then unannounced.
    simulation.TurnCold(true);
    simulation.RunFor(seconds(2));
    simulation.TurnCold(false);
    simulation.RunFor(seconds(120));
    CHECK(simulation.engine.PeakCold() <= initial_bound);
    CHECK(simulation.engine.Crashes() == 0);
    CHECK_FALSE(simulation.engine.Cold());
    CHECK_FALSE(simulation.admission.Load(simulation.now).cold);
    CHECK(simulation.engine.InFlight() >= 12);
  }
}

TEST_CASE("an unannounced cold start under full load crashes the engine at most once") {
  Simulation simulation(2);
  simulation.RunFor(seconds(120));
  simulation.TurnCold(false);
  // Running attempts cannot be withdrawn; only lost or slow answers indicate the cold start.
  simulation.RunFor(seconds(2));
  CHECK(simulation.admission.Load(simulation.now).cold);
  CHECK(simulation.admission.Load(simulation.now).limit == 2);
  simulation.RunFor(seconds(120));
  CHECK(simulation.engine.Crashes() <= 1);
  CHECK_FALSE(simulation.engine.Cold());
  CHECK(simulation.engine.InFlight() >= 12);
}

}  // namespace
}  // namespace masticrill::sidecar
