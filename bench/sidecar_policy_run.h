#ifndef MASTICRILL_BENCH_SIDECAR_POLICY_RUN_H_
#define MASTICRILL_BENCH_SIDECAR_POLICY_RUN_H_

// One run of a controller in front of the fake engine, in virtual time.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/sidecar_engine.h"
#include "masticrill/common/random.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar::bench {

using testing::EngineEvent;
using testing::EngineModel;
using testing::FakeEngine;

inline constexpr Duration kStep = milliseconds(10);
inline constexpr int kTeams = 10;

/// The work of a class: seconds alone on a warm engine.
struct ClassLoad {
  double share;
  std::uint32_t tokens;
  double first_token_work;
  double total_work;
  Duration deadline;
};
inline constexpr std::array<ClassLoad, kRequestClassCount> kLoads = {{
    {0.2, 300, 0.4, 3.4, seconds(20)},
    {0.5, 60, 0.1, 0.7, seconds(6)},
    {0.3, 15, 0.05, 0.2, seconds(10)},
}};

/// Work that the engine model can do in a second at its best concurrency.
inline double EngineCapacity(const EngineModel& model) {
  return model.capacity / (1 + model.capacity / model.knee);
}

inline double MeanWork() {
  double work = 0;
  for (const ClassLoad& load : kLoads) {
    work += load.share * load.total_work;
  }
  return work;
}

inline config::ConfigurationPtr MakeConfiguration(std::uint32_t max_concurrency) {
  config::Configuration configuration;
  configuration.number = 1;
  for (int team = 0; team < kTeams; ++team) {
    configuration.teams[TeamId("t" + std::to_string(team))].models[ModelId("m")] = {};
  }
  configuration.models[ModelId("m")].versions[VersionId("1")] = {};
  configuration.failure_domains[FailureDomainId("d")] = {};
  config::Upstream& upstream = configuration.upstreams[UpstreamId("u")];
  upstream.failure_domain = FailureDomainId("d");
  upstream.serves = {{ModelId("m"), VersionId("1")}};
  upstream.max_concurrency = max_concurrency;
  return std::make_shared<const config::Configuration>(configuration);
}

/// The sidecar's own decisions.
template <typename Core>
struct Managed {
  explicit Managed(TimePoint now, std::uint32_t initial_bound = 1)
      : core(IncarnationId("i"), Options(initial_bound), now) {
    this->core.OnConfiguration(MakeConfiguration(64), UpstreamId("u"), now);
    this->core.OnLease(now + std::chrono::hours(10), now);
    this->core.OnEngineStart(1, now);
  }
  static AdmissionOptions Options(std::uint32_t initial_bound) {
    AdmissionOptions options;
    options.ramp.initial_bound = initial_bound;
    options.receipts.capacity = 1'000'000;
    return options;
  }
  Decision Submit(const AttemptSpec& spec, TimePoint now) { return this->core.Submit(spec, now); }
  void OnFirstToken(const AttemptId& attempt, TimePoint now) {
    this->core.OnFirstToken(attempt, now);
  }
  Effects OnFinished(const AttemptId& attempt, EngineOutcome outcome, std::uint64_t tokens,
                     TimePoint now) {
    return this->core.OnFinished(attempt, {outcome, tokens, ""}, now);
  }
  Effects OnTick(TimePoint now) { return this->core.OnTick(now); }
  void OnEngineStart(WallTimeMs start, TimePoint now) { this->core.OnEngineStart(start, now); }

  Core core;
};
using Gradient = Managed<BasicAdmission<ConfigurationPermission, GradientPolicy>>;
using Aimd = Managed<BasicAdmission<ConfigurationPermission, AimdPolicy>>;

/// The baseline: a fixed limit, no ramp, and one first-in first-out queue of bounded length.
template <std::size_t kLimit>
struct FixedFifo {
  explicit FixedFifo(TimePoint /*now*/, std::uint32_t /*initial_bound*/ = 0) {}
  Decision Submit(const AttemptSpec& spec, TimePoint /*now*/) {
    if (this->in_flight < kLimit) {
      this->in_flight += 1;
      return {DecisionKind::kStart, {}, {}, {}};
    }
    if (this->queue.size() >= 512) {
      return {DecisionKind::kRefuse, RefuseReason::kQueueFull, milliseconds(1000), {}};
    }
    this->queue.push_back(spec.attempt);
    return {DecisionKind::kQueued, {}, {}, {}};
  }
  void OnFirstToken(const AttemptId& /*attempt*/, TimePoint /*now*/) {}
  Effects OnFinished(const AttemptId& /*attempt*/, EngineOutcome /*outcome*/,
                     std::uint64_t /*tokens*/, TimePoint /*now*/) {
    this->in_flight -= 1;
    if (this->queue.empty()) {
      return {};
    }
    this->in_flight += 1;
    Effects effects{{this->queue.front()}, {}};
    this->queue.pop_front();
    return effects;
  }
  Effects OnTick(TimePoint /*now*/) { return {}; }
  void OnEngineStart(WallTimeMs /*start*/, TimePoint /*now*/) {}

  std::size_t in_flight = 0;
  std::deque<AttemptId> queue;
};

enum class ColdStart { kNone, kAnnounced, kUnannounced };

struct Scenario {
  /// Arriving work over the engine's capacity.
  double load = 0.7;
  ColdStart cold_start = ColdStart::kNone;
  /// The load of team 0 over that of each other team.
  double greed = 1;
  Duration measured = seconds(60);
  /// Attempts that the sidecar gives a cold engine.
  std::uint32_t initial_bound = 1;
  Duration brief_deadline = kLoads.at(0).deadline;
};

struct Outcome {
  double goodput = 0;  // Work done in time, per second.
  std::array<std::vector<double>, kRequestClassCount> latencies;
  std::array<std::uint64_t, kRequestClassCount> arrived{};
  std::array<std::uint64_t, kRequestClassCount> in_time{};
  std::array<std::uint64_t, kRequestClassCount> late{};
  std::array<double, kTeams> team_work{};
  std::uint64_t briefs_lost_to_tags = 0;
  std::uint32_t crashes = 0;
  std::size_t peak_cold = 0;
};

/// Runs one scenario: 120 s to settle at a load below capacity, then 60 s that are measured.
template <typename Controller>
class Run {
 public:
  Run(const Scenario& scenario, std::uint64_t seed)
      : scenario(scenario),
        random(seed),
        engine(EngineModel{}),
        controller(TimePoint{}, scenario.initial_bound) {}

  Outcome Measure() {
    constexpr Duration kSettle = seconds(120);
    const Duration measured = this->scenario.measured;
    for (; this->now < TimePoint{} + kSettle + measured + seconds(20); this->now += kStep) {
      if (!this->begun && this->now >= TimePoint{} + kSettle) {
        this->begun = true;
        this->measuring = true;
        this->BeginMeasured();
      }
      this->measuring = this->measuring && this->now < TimePoint{} + kSettle + measured;
      this->Arrive(this->measuring ? this->scenario.load : 0.7);
      for (const EngineEvent& event : this->engine.Step(this->now, kStep)) {
        this->Handle(event);
      }
      if (this->now.time_since_epoch() % milliseconds(100) == Duration::zero()) {
        this->Apply(this->controller.OnTick(this->now));
      }
    }
    this->outcome.goodput /= std::chrono::duration<double>(measured).count();
    this->outcome.crashes = this->engine.Crashes();
    this->outcome.peak_cold = this->engine.PeakCold();
    return this->outcome;
  }

 private:
  struct Request {
    AttemptSpec spec;
    TimePoint arrival;
    int team = 0;
    bool measured = false;
  };

  void BeginMeasured() {
    if (this->scenario.cold_start == ColdStart::kNone) {
      return;
    }
    const bool announced = this->scenario.cold_start == ColdStart::kAnnounced;
    this->engine.TurnCold(this->now, announced);
    if (announced) {
      this->controller.OnEngineStart(2, this->now);
    }
  }

  void Arrive(double load) {
    const double rate = load * EngineCapacity(EngineModel{}) / MeanWork();
    double expected = rate * std::chrono::duration<double>(kStep).count();
    for (; expected > 0; expected -= 1) {
      if (this->random.Uniform() < expected) {
        this->SubmitOne();
      }
    }
  }

  int PickTeam() {
    const double total = this->scenario.greed + kTeams - 1;
    const double pick = this->random.Uniform() * total - this->scenario.greed;
    return pick < 0 ? 0 : 1 + static_cast<int>(pick);
  }

  void SubmitOne() {
    const double pick = this->random.Uniform();
    const std::size_t index = pick < 0.2 ? 0 : pick < 0.7 ? 1 : 2;
    const ClassLoad& load = kLoads.at(index);
    Request request;
    request.team = this->PickTeam();
    request.arrival = this->now;
    request.measured = this->measuring;
    AttemptSpec& spec = request.spec;
    spec.attempt = AttemptId("a" + std::to_string(this->next_id++));
    spec.team = TeamId("t" + std::to_string(request.team));
    spec.request_class = kAllRequestClasses.at(index);
    spec.version = ModelVersion{ModelId("m"), VersionId("1")};
    spec.deadline = this->now + (index == 0 ? this->scenario.brief_deadline : load.deadline);
    spec.expected_tokens = load.tokens;
    this->outcome.arrived.at(index) += request.measured ? 1 : 0;
    this->requests.emplace(spec.attempt, request);
    const Decision decision = this->controller.Submit(spec, this->now);
    if (decision.kind == DecisionKind::kStart) {
      this->Start(spec.attempt);
    } else if (decision.kind == DecisionKind::kRefuse) {
      this->Lose(spec.attempt);
    }
    this->Apply(decision.effects);
  }

  void Start(const AttemptId& attempt) {
    const Request& request = this->requests.at(attempt);
    const auto index = static_cast<std::size_t>(request.spec.request_class);
    this->engine.Start(attempt, kLoads.at(index).first_token_work, kLoads.at(index).total_work);
    // A brief was lost to a tag if this tag came later and starts while the brief had time left.
    if (request.measured && request.spec.request_class == RequestClass::kTag) {
      std::erase_if(this->lost_briefs, [&](const Request& brief) {
        const std::chrono::duration<double> left = brief.spec.deadline - this->now;
        const bool lost = request.arrival > brief.arrival &&
                          left.count() > kLoads.at(0).total_work * this->engine.Slowdown();
        this->outcome.briefs_lost_to_tags += lost ? 1 : 0;
        return lost || this->now >= brief.spec.deadline;
      });
    }
  }

  void Lose(const AttemptId& attempt) {
    const auto place = this->requests.find(attempt);
    if (place->second.measured && place->second.spec.request_class == RequestClass::kBrief) {
      this->lost_briefs.push_back(place->second);
    }
    this->requests.erase(place);
  }

  void Apply(const Effects& effects) {
    for (const AttemptId& attempt : effects.start) {
      this->Start(attempt);
    }
    for (const RefusedAttempt& refused : effects.refused) {
      this->Lose(refused.attempt);
    }
  }

  void Handle(const EngineEvent& event) {
    if (event.first_token) {
      this->controller.OnFirstToken(event.attempt, this->now);
    }
    if (!event.ended) {
      return;
    }
    const auto place = this->requests.find(event.attempt);
    const Request request = place->second;
    this->requests.erase(place);
    if (event.outcome == EngineOutcome::kOk) {
      this->Count(request);
    }
    this->Apply(this->controller.OnFinished(event.attempt, event.outcome,
                                            request.spec.expected_tokens, this->now));
  }

  void Count(const Request& request) {
    if (!request.measured) {
      return;
    }
    const auto index = static_cast<std::size_t>(request.spec.request_class);
    const double latency = std::chrono::duration<double>(this->now - request.arrival).count();
    this->outcome.latencies.at(index).push_back(latency);
    if (this->now > request.spec.deadline) {
      this->outcome.late.at(index) += 1;
      return;
    }
    this->outcome.in_time.at(index) += 1;
    this->outcome.goodput += kLoads.at(index).total_work;
    this->outcome.team_work.at(static_cast<std::size_t>(request.team)) +=
        kLoads.at(index).total_work;
  }

  Scenario scenario;
  Random random;
  FakeEngine engine;
  Controller controller;
  TimePoint now{};
  bool begun = false;
  bool measuring = false;
  std::uint64_t next_id = 0;
  std::unordered_map<AttemptId, Request> requests;
  std::vector<Request> lost_briefs;
  Outcome outcome;
};

}  // namespace masticrill::sidecar::bench

#endif  // MASTICRILL_BENCH_SIDECAR_POLICY_RUN_H_
