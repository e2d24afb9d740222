/// Measures the routing decisions against plain routers on the two deployments' sizes, with fakes
/// at the interface and a virtual clock, and checks the stated targets. Fails when one is missed.

#include <cmath>
#include <cstdio>
#include <string>

#include "fakes/routing_upstreams.h"
#include "routing_baselines.h"

namespace masticrill::routing {
namespace {

using fakes::ClassResult;
using fakes::kCheap;
using fakes::kNew;
using fakes::kOld;
using fakes::kStrong;
using fakes::Workbench;

constexpr std::uint64_t kSeeds[] = {11, 12, 13};
bool all_passed = true;

void Bound(const std::string& what, double value, const char* relation, double bound) {
  const bool passed = relation[0] == '<' ? value <= bound : value >= bound;
  all_passed = all_passed && passed;
  std::printf("  %s  %s: %.4f, bound %s %.4f\n", passed ? "PASS" : "FAIL", what.c_str(), value,
              relation, bound);
}

struct Deployment {
  const char* name;
  int workers;
  int domains;
  double requests_per_second;
};
constexpr Deployment kDeployments[] = {{"guild", 10, 3, 10.0}, {"qaftan", 20, 4, 20.0}};

/// Two fifths of the workers run the cheap model, the others the strong one.
config::Configuration Fleet(const Deployment& deployment) {
  config::Configuration fleet = fakes::SmallFleet(deployment.workers, deployment.domains);
  int number = 0;
  for (auto& [id, upstream] : fleet.upstreams) {
    if (upstream.serves.empty()) {
      continue;
    }
    const ModelId model = 5 * number < 2 * deployment.workers ? kCheap : kStrong;
    upstream.failure_domain =
        FailureDomainId("domain-" + std::to_string(number % deployment.domains));
    upstream.serves = {{model, kOld}, {model, kNew}};
    ++number;
  }
  return fleet;
}

template <typename Machine>
std::unique_ptr<Workbench<Machine>> Prepare(const Deployment& deployment, std::uint64_t seed) {
  auto bench = std::make_unique<Workbench<Machine>>(Fleet(deployment), seed);
  for (const VersionId& version : {kOld, kNew}) {
    bench->versions[{kCheap, version}] = {0.1, 0.01, 0.002};
    bench->versions[{kStrong, version}] = {0.3, 0.03, 0.002};
  }
  if constexpr (!std::is_same_v<Machine, RequestStateMachine>) {
    Machine::InFlight().clear();
  }
  return bench;
}

struct Summary {
  double cost_per_answer = 0;
  double quality = 0;
  double answered = 0;
  double amplification = 0;
  std::map<RequestClass, ClassResult> classes;
};

template <typename Machine>
void AddTo(Summary& summary, Workbench<Machine>& bench) {
  int received = 0;
  int answered = 0;
  int good = 0;
  for (auto& [request_class, result] : bench.results) {
    received += result.received;
    answered += result.answered;
    good += result.good;
    auto& all = summary.classes[request_class].seconds;
    all.insert(all.end(), result.seconds.begin(), result.seconds.end());
  }
  const double runs = std::size(kSeeds);
  summary.cost_per_answer += bench.cost / answered / runs;
  summary.quality += static_cast<double>(good) / answered / runs;
  summary.answered += static_cast<double>(answered) / received / runs;
  summary.amplification += static_cast<double>(bench.attempts) / received / runs;
}

void Print(const char* name, Summary& summary) {
  std::printf("  %-26s cost %8.0f  quality %.4f  answered %.4f  attempts %.3f\n", name,
              summary.cost_per_answer, summary.quality, summary.answered, summary.amplification);
  for (auto& [request_class, result] : summary.classes) {
    std::printf("    %-8s p50 %6.2f s  p95 %6.2f s  p99 %6.2f s\n",
                std::string(ToString(request_class)).c_str(), result.Quantile(0.5),
                result.Quantile(0.95), result.Quantile(0.99));
  }
}

/// Steady load; one worker of each model is three times slower than the others.
template <typename Machine>
Summary Steady(const Deployment& deployment, const char* name) {
  Summary summary;
  for (const std::uint64_t seed : kSeeds) {
    auto bench = Prepare<Machine>(deployment, seed);
    constexpr double kSlow = 3;
    bench->upstreams[UpstreamId("worker-0")].slowness = kSlow;
    bench->upstreams[UpstreamId("worker-9")].slowness = kSlow;
    bench->Run(deployment.requests_per_second, seconds(600));
    AddTo(summary, *bench);
  }
  Print(name, summary);
  return summary;
}

using RoundRobin = BaselineMachine<Pick::kRoundRobin, Steps::kFixedCascade, 3>;
using LeastInFlight = BaselineMachine<Pick::kLeastInFlight, Steps::kFixedCascade, 3>;
using AlwaysStrong = BaselineMachine<Pick::kLeastInFlight, Steps::kAlwaysStrong, 3>;
using UnboundedRetry = BaselineMachine<Pick::kRoundRobin, Steps::kFixedCascade, 1'000'000>;

void MeasureSteady(const Deployment& deployment) {
  std::printf("steady, %s: %d workers, %d failure domains, %.0f requests/s, 600 s, 3 seeds\n",
              deployment.name, deployment.workers, deployment.domains,
              deployment.requests_per_second);
  Summary ours = Steady<RequestStateMachine>(deployment, "masticrill");
  Summary round_robin = Steady<RoundRobin>(deployment, "round robin cascade");
  Summary least = Steady<LeastInFlight>(deployment, "least in-flight cascade");
  const Summary strong = Steady<AlwaysStrong>(deployment, "always strong");
  Bound("cost over always strong", ours.cost_per_answer / strong.cost_per_answer, "<=", 0.5);
  Bound("quality below always strong", strong.quality - ours.quality, "<=", 0.01);
  for (const RequestClass request_class : kAllRequestClasses) {
    ClassResult& best = least.classes[request_class];
    Bound("p95 over the better plain cascade, " + std::string(ToString(request_class)),
          ours.classes[request_class].Quantile(0.95) /
              std::min(best.Quantile(0.95), round_robin.classes[request_class].Quantile(0.95)),
          "<=", 1.0);
  }
}

/// A failure domain dies unannounced at 120 s and returns at 240 s.
template <typename Machine>
double Domain(const Deployment& deployment, const char* name) {
  double worst = 1;
  double goodput[3] = {0, 0, 0};
  std::map<RefusalKind, int> refusals;
  for (const std::uint64_t seed : kSeeds) {
    auto bench = Prepare<Machine>(deployment, seed);
    const config::Configuration fleet = Fleet(deployment);
    for (const bool down : {true, false}) {
      bench->At(TimePoint{} + seconds(down ? 120 : 240), [&, down] {
        for (const auto& [id, upstream] : fleet.upstreams) {
          if (upstream.failure_domain == FailureDomainId("domain-0")) {
            bench->SetDown(id, down);
          }
        }
      });
    }
    bench->Run(deployment.requests_per_second, seconds(360));
    const auto share = [&](int from, int to) {
      double received = 0;
      double answered = 0;
      for (int second = from; second < to; ++second) {
        received += bench->received_in[second];
        answered += bench->answered_in[second];
      }
      return received == 0 ? 1 : answered / received;
    };
    for (const auto& [kind, count] : bench->refusals) {
      refusals[kind] += count;
    }
    goodput[0] += share(110, 125) / std::size(kSeeds);
    goodput[1] += share(125, 240) / std::size(kSeeds);
    goodput[2] += share(240, 270) / std::size(kSeeds);
    for (int second = 100; second < 270; second += 5) {
      worst = std::min(worst, share(second, second + 5));
    }
  }
  std::printf("  %-26s answered: leave %.4f  away %.4f  return %.4f  worst 5 s %.4f\n", name,
              goodput[0], goodput[1], goodput[2], worst);
  for (const auto& [kind, count] : refusals) {
    std::printf("    refused %s: %d\n", std::string(ToString(kind)).c_str(), count);
  }
  return (goodput[0] + goodput[1] + goodput[2]) / 3;
}

/// The same at a third of the load, where always strong has room for every request.
void MeasureLight(Deployment deployment) {
  deployment.requests_per_second /= 3;
  std::printf("light load, %s: %.1f requests/s\n", deployment.name, deployment.requests_per_second);
  const Summary ours = Steady<RequestStateMachine>(deployment, "masticrill");
  const Summary strong = Steady<AlwaysStrong>(deployment, "always strong");
  Bound("cost over always strong", ours.cost_per_answer / strong.cost_per_answer, "<=", 0.5);
  Bound("quality below always strong", strong.quality - ours.quality, "<=", 0.01);
}

void MeasureDomain(const Deployment& deployment) {
  std::printf("failure domain leaves at 120 s unannounced and returns at 240 s, %s\n",
              deployment.name);
  const double ours = Domain<RequestStateMachine>(deployment, "masticrill");
  const double least = Domain<LeastInFlight>(deployment, "least in-flight, 3 retries");
  Domain<RoundRobin>(deployment, "round robin, 3 retries");
  Bound("goodput against least in-flight with 3 retries", ours - least, ">=", 0.0);
}

/// Everything is down from 60 s to 120 s.
template <typename Machine>
double Outage(const Deployment& deployment, const char* name) {
  double worst = 0;
  for (const std::uint64_t seed : kSeeds) {
    auto bench = Prepare<Machine>(deployment, seed);
    int attempts_before = 0;
    int requests_before = 0;
    for (auto& [id, upstream] : bench->upstreams) {
      bench->At(TimePoint{} + seconds(60), [&bench, id = id] { bench->SetDown(id, true); });
    }
    bench->At(TimePoint{} + seconds(60), [&] {
      attempts_before = bench->attempts;
      requests_before = bench->requests;
    });
    bench->Run(deployment.requests_per_second, seconds(120));
    worst = std::max(worst, static_cast<double>(bench->attempts - attempts_before) /
                                (bench->requests - requests_before));
  }
  std::printf("  %-26s attempts per request in the outage, worst seed: %.3f\n", name, worst);
  return worst;
}

void MeasureOutage(const Deployment& deployment) {
  std::printf("full outage of 60 s, %s\n", deployment.name);
  const double ours = Outage<RequestStateMachine>(deployment, "masticrill");
  Outage<LeastInFlight>(deployment, "3 retries");
  Bound("amplification", ours, "<=", 1.1);
}

/// A candidate with the given error rate takes 5 in 100 new requests from 60 s on.
int Exposed(const Deployment& deployment, double error_rate, std::uint64_t seed, double& stopped) {
  auto bench = Prepare<RequestStateMachine>(deployment, seed);
  const ModelVersion candidate{kCheap, kNew};
  bench->versions[candidate].error_rate = error_rate;
  bench->At(TimePoint{} + seconds(60), [&] {
    bench->evidence.Reset({kCheap, kOld});
    bench->ChangeConfiguration([](config::Configuration& configuration) {
      configuration.models[kCheap].rollout =
          config::Rollout{kNew, 500, config::RolloutState::kRunning, ""};
    });
  });
  stopped = -1;
  for (int second = 61; second < 1800; ++second) {
    bench->At(TimePoint{} + seconds(second), [&, second] {
      const RolloutDecision decision =
          EvaluateRollout(bench->evidence.Read(candidate, TimePoint()),
                          bench->evidence.Read({kCheap, kOld}, TimePoint()), {});
      if (stopped >= 0 || !decision.stop) {
        return;
      }
      stopped = second - 60;
      bench->ChangeConfiguration([](config::Configuration& configuration) {
        configuration.models[kCheap].rollout->state = config::RolloutState::kHalted;
        configuration.models[kCheap].versions[kNew].state = config::VersionState::kWithdrawn;
      });
    });
  }
  bench->Run(deployment.requests_per_second, seconds(1800), [&] { return stopped >= 0; });
  return bench->handed_over[candidate];
}

void MeasureExposure(const Deployment& deployment) {
  constexpr int kRuns = 20;
  std::printf(
      "bad version at 5 in 100 of the traffic, errors 0.2 in 100 before, judged each second, %s\n",
      deployment.name);
  for (const double error_rate : {0.05, 0.2, 0.6}) {
    std::vector<int> exposed;
    int never = 0;
    for (int run = 0; run < kRuns; ++run) {
      double stopped = 0;
      exposed.push_back(Exposed(deployment, error_rate, kSeeds[0] + run, stopped));
      never += stopped < 0 ? 1 : 0;
    }
    std::sort(exposed.begin(), exposed.end());
    std::printf(
        "  error rate %.2f: requests exposed p50 %d, p95 %d, most %d; not stopped %d of %d\n",
        error_rate, exposed[kRuns / 2], exposed[kRuns * 95 / 100], exposed.back(), never, kRuns);
  }
}

/// Candidates as good as the default, judged after every tenth request.
void MeasureFalseAlarms() {
  constexpr int kRollouts = 2000;
  constexpr int kRequests = 3000;
  constexpr int kStep = 10;
  constexpr int kBaselinePerCandidate = 9;
  std::printf("false alarms: %d roll-outs of an equal version, %d candidate requests each\n",
              kRollouts, kRequests);
  for (const double error_rate : {0.002, 0.02, 0.1}) {
    Random random(kSeeds[0]);
    int alarms = 0;
    for (int i = 0; i < kRollouts; ++i) {
      VersionEvidence candidate;
      VersionEvidence baseline;
      const auto add = [&](VersionEvidence& evidence) {
        const FailureDomainId domain("domain-" + std::to_string(random.Below(3)));
        const bool fails = random.Uniform() < error_rate;
        const bool slow = random.Uniform() < error_rate;
        const AttemptResult result{
            .outcome = fails ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered,
            .first_token = slow ? seconds(3) : milliseconds(300)};
        evidence.Add(domain, result, {});
        evidence.AddRating(domain, random.Uniform() < 2 * error_rate ? 0.5 : 0.9, {});
      };
      for (int j = 0; j < kRequests; ++j) {
        add(candidate);
        for (int k = 0; k < kBaselinePerCandidate; ++k) {
          add(baseline);
        }
        if (j % kStep == 0 && EvaluateRollout(candidate, baseline, {}).stop) {
          ++alarms;
          break;
        }
      }
    }
    Bound("false alarms at a rate of " + std::to_string(error_rate),
          static_cast<double>(alarms) / kRollouts, "<=", 0.01);
  }
}

}  // namespace
}  // namespace masticrill::routing

int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  const auto wanted = [&](const char* part) { return only.empty() || only == part; };
  using namespace masticrill::routing;  // NOLINT(google-build-using-namespace)
  for (const Deployment& deployment : kDeployments) {
    if (wanted("steady")) {
      MeasureSteady(deployment);
    }
    if (wanted("light")) {
      MeasureLight(deployment);
    }
    if (wanted("domain")) {
      MeasureDomain(deployment);
    }
    if (wanted("outage")) {
      MeasureOutage(deployment);
    }
    if (wanted("exposure")) {
      MeasureExposure(deployment);
    }
  }
  if (wanted("alarms")) {
    MeasureFalseAlarms();
  }
  std::printf(all_passed ? "all bounds hold\n" : "a bound is missed\n");
  return all_passed ? 0 : 1;
}
