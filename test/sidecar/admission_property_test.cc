// Drives an admission with random events and checks what must hold after each of them.

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <vector>

#include "fakes/sidecar_inputs.h"
#include "masticrill/common/random.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {
namespace {

using testing::AllowAll;
using testing::kSelf;
using testing::kStart;
using testing::MakeSpec;
using testing::Share;

constexpr std::uint32_t kMaxConcurrency = 6;
constexpr int kSeeds = 300;
constexpr int kSteps = 600;

enum class Phase { kQueued, kRunning, kEnded };

class Driver {
 public:
  explicit Driver(std::uint64_t seed)
      : random(seed), admission(IncarnationId("i"), Options(), kStart) {
    this->Configure();
  }

  static AdmissionOptions Options() {
    AdmissionOptions options;
    options.queue.max_length = 8;
    options.receipts.capacity = 40;
    options.registry.window = seconds(60);
    options.ramp.no_baseline_period = seconds(1);
    return options;
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->Step();
      this->CheckCounts();
    }
    this->draining = true;
    this->Apply(this->admission.BeginDrain(this->now));
    while (!this->Of(Phase::kRunning).empty()) {
      this->Finish();
    }
    for (const auto& [attempt, phase] : this->phases) {
      REQUIRE(phase == Phase::kEnded);
    }
    REQUIRE(this->admission.Drained());
  }

 private:
  void Step() {
    this->now += milliseconds(this->random.Below(200));
    const std::uint64_t event = this->random.Below(100);
    if (event < 40) {
      this->Submit();
    } else if (event < 55) {
      if (const std::vector<AttemptId> running = this->Of(Phase::kRunning); !running.empty()) {
        this->admission.OnFirstToken(this->Pick(running), this->now);
      }
    } else if (event < 75) {
      this->Finish();
    } else if (event < 80) {
      this->Cancel();
    } else if (event < 85) {
      this->Fence();
    } else if (event < 89) {
      this->Apply(this->admission.OnTick(this->now));
    } else if (event < 92) {
      this->Configure();
    } else if (event < 95) {
      this->lease = std::max(this->lease, this->now + seconds(4));
      this->Apply(this->admission.OnLease(this->now + seconds(4), this->now));
    } else if (event < 96) {
      this->Apply(
          this->admission.OnEngineStart(static_cast<WallTimeMs>(this->random.Below(3)), this->now));
    } else if (event < 97) {
      // The process was suspended: its clock went on, and any event may come first.
      this->now += seconds(this->random.Below(40));
    } else {
      for (const Receipt& receipt : this->admission.TakeDueReceipts(20, this->now)) {
        this->admission.AcknowledgeReceipt(receipt.attempt);
      }
    }
  }

  void Submit() {
    AttemptSpec spec = MakeSpec("a" + std::to_string(this->phases.size()),
                                kAllRequestClasses.at(this->random.Below(3)),
                                "t" + std::to_string(this->random.Below(3)));
    spec.version->version = VersionId(this->random.Below(2) == 0 ? "1" : "2");
    spec.deadline = this->now + milliseconds(100 + this->random.Below(5000));
    spec.expected_tokens = static_cast<std::uint32_t>(1 + this->random.Below(50));
    spec.at_most_once = this->random.Below(4) == 0;
    // A token that was fenced before it arrived was sent before that.
    const auto sent = this->fenced_incarnation.find(spec.attempt);
    spec.incarnation = sent != this->fenced_incarnation.end()
                           ? sent->second
                           : this->admission.Load(this->now).incarnation;
    const bool repeated = this->random.Below(5) == 0 && !this->specs.empty();
    if (repeated) {
      auto place = this->specs.begin();
      std::advance(place, this->random.Below(this->specs.size()));
      spec = place->second;
    } else {
      this->specs.emplace(spec.attempt, spec);
    }
    const Decision decision = this->admission.Submit(spec, this->now);
    this->Apply(decision.effects);
    if (repeated) {
      REQUIRE(decision.kind == DecisionKind::kRefuse);
      return;
    }
    if (this->fenced.contains(spec.attempt)) {
      REQUIRE(decision.kind == DecisionKind::kRefuse);
    }
    switch (decision.kind) {
      case DecisionKind::kStart:
        this->phases[spec.attempt] = Phase::kQueued;
        this->CheckStart(spec.attempt);
        break;
      case DecisionKind::kQueued:
        this->phases[spec.attempt] = Phase::kQueued;
        break;
      case DecisionKind::kRefuse:
        this->phases[spec.attempt] = Phase::kEnded;
        this->CheckRefusal({spec.attempt, *decision.reason, decision.retry_after});
        break;
    }
  }

  void Finish() {
    const std::vector<AttemptId> running = this->Of(Phase::kRunning);
    if (running.empty()) {
      return;
    }
    const AttemptId attempt = this->Pick(running);
    const EngineOutcome outcome = this->random.Below(4) == 0
                                      ? kAllEngineOutcomes.at(this->random.Below(5))
                                      : EngineOutcome::kOk;
    this->phases[attempt] = Phase::kEnded;
    this->Apply(this->admission.OnFinished(attempt, {outcome, 5, "answer"}, this->now));
    // Doubled words of the engine.
    this->Apply(this->admission.OnFinished(attempt, {EngineOutcome::kOk, 5, "x"}, this->now));
  }

  void Cancel() {
    if (this->specs.empty()) {
      return;
    }
    auto place = this->specs.begin();
    std::advance(place, this->random.Below(this->specs.size()));
    const auto& [attempt, spec] = *place;
    Phase& phase = this->phases[attempt];
    if (phase == Phase::kQueued || (phase == Phase::kRunning && !spec.at_most_once)) {
      phase = Phase::kEnded;
    }
    this->Apply(this->admission.OnCancel(attempt, 1, this->now));
  }

  void Fence() {
    // A token that exists, or one that will be used next.
    AttemptId attempt("a" + std::to_string(this->specs.size()));
    IncarnationId incarnation = this->admission.Load(this->now).incarnation;
    bool at_most_once = true;
    if (this->random.Below(3) != 0 && !this->specs.empty()) {
      auto place = this->specs.begin();
      std::advance(place, this->random.Below(this->specs.size()));
      attempt = place->first;
      at_most_once = place->second.at_most_once;
      incarnation = place->second.incarnation;
    } else {
      this->fenced_incarnation.try_emplace(attempt, incarnation);
    }
    const FenceDecision decision =
        this->admission.Fence({attempt, incarnation, at_most_once}, this->now);
    const bool ran = this->started.contains(attempt);
    if (decision.result.state == FenceState::kNeverStartedNowFenced) {
      REQUIRE_FALSE(ran);
      this->fenced.insert(attempt);
      if (this->specs.contains(attempt)) {
        this->phases[attempt] = Phase::kEnded;
      }
    } else if (decision.result.state == FenceState::kOutcomeUnknown) {
      REQUIRE(this->phases.at(attempt) == Phase::kEnded);
    } else {
      REQUIRE(ran);
    }
    this->Apply(decision.effects);
  }

  void Configure() {
    config::Configuration next = AllowAll(++this->config_number, kMaxConcurrency);
    const bool withdraw = this->random.Below(3) == 0;
    const bool out = this->random.Below(6) == 0;
    const bool leaving = this->random.Below(6) == 0;
    if (withdraw) {
      next.models[ModelId("m")].versions[VersionId("2")].state = config::VersionState::kWithdrawn;
    }
    if (out) {
      next.failure_domains[FailureDomainId("d")].state = config::DomainState::kOut;
    }
    if (leaving) {
      next.upstreams[kSelf].state = config::UpstreamState::kLeaving;
    }
    this->withdrawn = withdraw;
    this->shut = out || leaving;
    this->Apply(this->admission.OnConfiguration(Share(next), kSelf, this->now));
  }

  void Apply(const Effects& effects) {
    for (const RefusedAttempt& refused : effects.refused) {
      REQUIRE(this->phases.at(refused.attempt) != Phase::kRunning);
      // A fence ends the attempt before its effects are applied.
      if (refused.reason != RefuseReason::kFenced) {
        REQUIRE(this->phases.at(refused.attempt) == Phase::kQueued);
      }
      this->phases[refused.attempt] = Phase::kEnded;
      this->CheckRefusal(refused);
    }
    for (const AttemptId& attempt : effects.start) {
      this->CheckStart(attempt);
    }
  }

  void CheckStart(const AttemptId& attempt) {
    REQUIRE(this->phases.at(attempt) == Phase::kQueued);
    REQUIRE(this->started.insert(attempt).second);
    REQUIRE_FALSE(this->fenced.contains(attempt));
    REQUIRE_FALSE(this->draining);
    REQUIRE_FALSE(this->shut);
    REQUIRE(this->now < this->lease);
    const AttemptSpec& spec = this->specs.at(attempt);
    REQUIRE(this->now < spec.deadline);
    if (this->withdrawn) {
      REQUIRE(spec.version->version != VersionId("2"));
    }
    this->phases[attempt] = Phase::kRunning;
    const LoadReport load = this->admission.Load(this->now);
    REQUIRE(load.in_flight <= load.limit);
    REQUIRE(load.limit <= kMaxConcurrency);
    // Nothing more urgent was left behind.
    for (std::size_t urgent = 0; urgent < static_cast<std::size_t>(spec.request_class); ++urgent) {
      REQUIRE(load.queued.at(urgent) == 0);
    }
  }

  void CheckRefusal(const RefusedAttempt& refused) {
    REQUIRE_FALSE(this->started.contains(refused.attempt));
    REQUIRE(refused.retry_after.has_value() == WaitingHelps(refused.reason));
    if (refused.retry_after) {
      REQUIRE(*refused.retry_after > milliseconds(0));
    }
    const bool capacity =
        refused.reason == RefuseReason::kQueueFull || refused.reason == RefuseReason::kDisplaced;
    const AttemptSpec& spec = this->specs.at(refused.attempt);
    if (capacity && spec.request_class == RequestClass::kBrief) {
      const LoadReport load = this->admission.Load(this->now);
      REQUIRE(load.queued.at(static_cast<std::size_t>(RequestClass::kTag)) == 0);
      REQUIRE(load.queued.at(static_cast<std::size_t>(RequestClass::kCaption)) == 0);
    }
  }

  void CheckCounts() {
    const LoadReport load = this->admission.Load(this->now);
    REQUIRE(load.in_flight == this->Of(Phase::kRunning).size());
    std::size_t queued = 0;
    for (const std::uint32_t count : load.queued) {
      queued += count;
    }
    REQUIRE(queued == this->Of(Phase::kQueued).size());
    REQUIRE(queued <= Options().queue.max_length);
    REQUIRE(this->admission.HeldReceipts() + load.in_flight <= Options().receipts.capacity);
  }

  std::vector<AttemptId> Of(Phase phase) const {
    std::vector<AttemptId> found;
    for (const auto& [attempt, current] : this->phases) {
      if (current == phase) {
        found.push_back(attempt);
      }
    }
    return found;
  }

  AttemptId Pick(const std::vector<AttemptId>& from) {
    return from.at(this->random.Below(from.size()));
  }

  Random random;
  Admission admission;
  TimePoint now = kStart;
  TimePoint lease = kStart;
  config::Number config_number = 0;
  bool withdrawn = false;
  bool shut = false;
  bool draining = false;
  std::map<AttemptId, AttemptSpec> specs;
  std::map<AttemptId, Phase> phases;
  std::set<AttemptId> started;
  std::set<AttemptId> fenced;
  std::map<AttemptId, IncarnationId> fenced_incarnation;
};

TEST_CASE("every attempt ends once and nothing starts that must not, whatever happens") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Driver(seed).Run();
  }
}

}  // namespace
}  // namespace masticrill::sidecar
