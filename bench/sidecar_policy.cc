// Measures the sidecar's decisions against simpler ones, with a virtual clock and a small engine
// model: overload, cold starts, shares of teams, latency per class and the cost of a decision.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "masticrill/sidecar/admission.h"
#include "sidecar_policy_run.h"

namespace masticrill::sidecar {
namespace {

using testing::EngineModel;
using namespace bench;  // NOLINT

constexpr std::array<std::uint64_t, 3> kSeeds = {1, 2, 3};
constexpr double kOverloadShareOfPeak = 0.9;
constexpr double kFairShareSlack = 0.9;

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values.at(static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1)));
}

/// Runs all seeds and joins them; goodput and team work are means.
template <typename Controller>
Outcome MeasureAll(const Scenario& scenario) {
  Outcome all;
  for (const std::uint64_t seed : kSeeds) {
    const Outcome one = Run<Controller>(scenario, seed).Measure();
    all.goodput += one.goodput / kSeeds.size();
    for (std::size_t index = 0; index < kRequestClassCount; ++index) {
      auto& latencies = all.latencies.at(index);
      latencies.insert(latencies.end(), one.latencies.at(index).begin(),
                       one.latencies.at(index).end());
      all.arrived.at(index) += one.arrived.at(index);
      all.in_time.at(index) += one.in_time.at(index);
      all.late.at(index) += one.late.at(index);
    }
    for (std::size_t team = 0; team < kTeams; ++team) {
      all.team_work.at(team) += one.team_work.at(team) / kSeeds.size();
    }
    all.briefs_lost_to_tags += one.briefs_lost_to_tags;
    all.crashes += one.crashes;
    all.peak_cold = std::max(all.peak_cold, one.peak_cold);
  }
  return all;
}

template <typename Controller>
double PrintOverload(const char* name) {
  double peak = 0;
  double at_ten = 0;
  std::uint64_t lost = 0;
  for (const double load : {0.7, 1.0, 1.5, 3.0, 10.0}) {
    Scenario scenario;
    scenario.load = load;
    const Outcome outcome = MeasureAll<Controller>(scenario);
    peak = std::max(peak, outcome.goodput);
    at_ten = outcome.goodput;
    lost += outcome.briefs_lost_to_tags;
    std::printf("%-14s load %4.1f goodput %5.2f", name, load, outcome.goodput);
    for (std::size_t index = 0; index < kRequestClassCount; ++index) {
      const auto& latencies = outcome.latencies.at(index);
      std::printf(" | %s %3.0f%% late %llu p50/95/99 %.1f/%.1f/%.1f s",
                  std::string(ToString(kAllRequestClasses.at(index))).c_str(),
                  100.0 * static_cast<double>(outcome.in_time.at(index)) /
                      std::max<double>(1, static_cast<double>(outcome.arrived.at(index))),
                  static_cast<unsigned long long>(outcome.late.at(index)),  // NOLINT
                  Quantile(latencies, 0.5), Quantile(latencies, 0.95), Quantile(latencies, 0.99));
    }
    std::printf(" | briefs lost to tags %llu\n",
                static_cast<unsigned long long>(outcome.briefs_lost_to_tags));  // NOLINT
  }
  const bool pass = at_ten >= kOverloadShareOfPeak * peak && lost == 0;
  std::printf("%-14s goodput at 10x / peak = %.2f, briefs lost to tags %llu: %s\n\n", name,
              at_ten / peak, static_cast<unsigned long long>(lost),
              pass ? "pass" : "FAIL");  // NOLINT
  return at_ten / peak;
}

template <typename Controller>
void PrintColdStarts(const char* name, std::uint32_t initial_bound) {
  Scenario scenario;
  scenario.initial_bound = initial_bound;
  scenario.load = 0.9;
  const double warm = MeasureAll<Controller>(scenario).goodput;
  for (const ColdStart cold_start : {ColdStart::kAnnounced, ColdStart::kUnannounced}) {
    scenario.cold_start = cold_start;
    const Outcome outcome = MeasureAll<Controller>(scenario);
    const bool announced = cold_start == ColdStart::kAnnounced;
    const std::uint32_t allowed = announced ? 0 : kSeeds.size();
    std::printf(
        "%-14s initial %u cold start %-11s goodput %5.2f (warm %5.2f) crashes %u peak cold %zu: "
        "%s\n",
        name, initial_bound, announced ? "announced" : "unannounced", outcome.goodput, warm,
        outcome.crashes, outcome.peak_cold, outcome.crashes <= allowed ? "pass" : "FAIL");
  }
}

template <typename Controller>
void PrintShares(const char* name, Duration brief_deadline) {
  Scenario scenario;
  scenario.brief_deadline = brief_deadline;
  scenario.load = 6;
  scenario.greed = 10;
  scenario.measured = seconds(600);
  const Outcome outcome = MeasureAll<Controller>(scenario);
  double total = 0;
  for (const double work : outcome.team_work) {
    total += work;
  }
  double least = 1;
  for (std::size_t team = 1; team < kTeams; ++team) {
    least = std::min(least, outcome.team_work.at(team) / total);
  }
  // Briefs alone of each other team ask for 6/19 * 0.62 of the capacity, more than its tenth.
  const double fair = 1.0 / kTeams;
  std::printf(
      "%-14s greedy team 10x, briefs due in %2lld s: its share %.3f, least other share %.3f, fair "
      "%.3f: %s\n",
      name, static_cast<long long>(duration_cast<seconds>(brief_deadline).count()),  // NOLINT
      outcome.team_work.at(0) / total, least, fair,
      least >= kFairShareSlack * fair ? "pass" : "FAIL");
}

/// Wall-clock cost of submit, first token and finish, with the queue full and ten teams waiting.
void PrintCost() {
  constexpr int kRounds = 200'000;
  TimePoint now{};
  Gradient controller(now);
  AttemptSpec spec;
  spec.version = ModelVersion{ModelId("m"), VersionId("1")};
  spec.request_class = RequestClass::kCaption;
  spec.expected_tokens = 60;
  std::deque<AttemptId> started;
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    now += milliseconds(5);
    spec.attempt = AttemptId("attempt-0123456789abcdef-" + std::to_string(round));
    spec.team = TeamId("t" + std::to_string(round % kTeams));
    spec.deadline = now + seconds(100);
    if (controller.Submit(spec, now).kind == DecisionKind::kStart) {
      started.push_back(spec.attempt);
    }
    if (round % 2 == 0 && !started.empty()) {
      controller.OnFirstToken(started.front(), now);
      const Effects effects = controller.OnFinished(started.front(), EngineOutcome::kOk, 60, now);
      controller.core.AcknowledgeReceipt(started.front());
      started.pop_front();
      started.insert(started.end(), effects.start.begin(), effects.start.end());
    }
  }
  const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
  std::printf("decision cost: %.0f ns a submitted attempt, half of them finished\n",
              spent.count() / kRounds);
}

}  // namespace
}  // namespace masticrill::sidecar

int main() {
  using namespace masticrill::sidecar;  // NOLINT
  std::printf("engine capacity %.2f work-seconds a second\n", EngineCapacity(EngineModel{}));
  PrintOverload<Gradient>("gradient");
  PrintOverload<Aimd>("aimd");
  PrintOverload<FixedFifo<64>>("fixed-64 fifo");
  PrintOverload<FixedFifo<24>>("fixed-24 fifo");
  for (const std::uint32_t initial_bound : {1U, 2U, 4U}) {
    PrintColdStarts<Aimd>("aimd", initial_bound);
  }
  PrintColdStarts<Gradient>("gradient", 1);
  PrintColdStarts<FixedFifo<64>>("fixed-64 fifo", 0);
  PrintColdStarts<FixedFifo<24>>("fixed-24 fifo", 0);
  for (const masticrill::Duration deadline : {masticrill::seconds(20), masticrill::seconds(30)}) {
    PrintShares<Aimd>("aimd", deadline);
    PrintShares<Gradient>("gradient", deadline);
    PrintShares<FixedFifo<24>>("fixed-24 fifo", deadline);
  }
  PrintCost();
}
