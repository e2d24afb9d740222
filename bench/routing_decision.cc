/// Measures one routing decision against the number of upstreams that serve a version.

#include <benchmark/benchmark.h>

#include "fakes/routing_fleet.h"
#include "masticrill/routing/request_state_machine.h"

namespace masticrill::routing {
namespace {

UpstreamDirectory DirectoryWith(int workers, std::size_t subset_size) {
  constexpr int kDomains = 7;
  return UpstreamDirectory(
      std::make_shared<const config::Configuration>(fakes::SmallFleet(workers, kDomains)),
      DirectorySettings{NodeId("entry-0"), FailureDomainId("domain-0"), subset_size});
}

/// Half loads every upstream, from reports, as a busy day would.
void Load(UpstreamTable& table, const std::vector<RoutableUpstream>& entries) {
  for (const RoutableUpstream& entry : entries) {
    table.OnLoadReport(
        {entry.id, 1, 1, 0, entry.max_concurrency / 2, 0, entry.max_concurrency, false},
        TimePoint{});
  }
}

void ChooseAmong(benchmark::State& state, std::size_t subset_size) {
  const UpstreamDirectory directory = DirectoryWith(static_cast<int>(state.range(0)), subset_size);
  const ModelVersion version{fakes::kCheap, fakes::kOld};
  const std::vector<RoutableUpstream>& candidates = directory.UpstreamsServing(version);
  UpstreamTable table;
  Load(table, candidates);
  Random random(1);
  ChoiceRequest request;
  request.version = version;
  request.expected_tokens = 100;
  const ChoiceSettings settings;
  for (auto _ : state) {
    request.session_hash = random.Next();
    benchmark::DoNotOptimize(
        ChooseUpstream(candidates, table, request, settings, TimePoint{}, random));
  }
}

void ChooseInSubset(benchmark::State& state) { ChooseAmong(state, 24); }
void ChooseInAll(benchmark::State& state) { ChooseAmong(state, 0); }

/// A whole request through the machine: start, hand-over, first token, answer.
void WholeRequest(benchmark::State& state) {
  const UpstreamDirectory directory = DirectoryWith(static_cast<int>(state.range(0)), 24);
  UpstreamTable table;
  Load(table, directory.UpstreamsServing({fakes::kCheap, fakes::kOld}));
  RetryBudget budget;
  CascadePolicy cascades;
  Random random(1);
  const RequestSettings settings;
  TransitionContext context{directory, table, budget, cascades, random, settings, nullptr, true};
  const RequestTraits traits = fakes::TraitsFor(ModelTarget{fakes::kCheap, std::nullopt});
  for (auto _ : state) {
    RequestStateMachine machine(traits);
    benchmark::DoNotOptimize(machine.Start(context, TimePoint{}));
    machine.OnEvent(context, AttemptStarted{1}, TimePoint{});
    machine.OnEvent(context, FirstTokenReceived{1}, TimePoint{} + milliseconds(300));
    benchmark::DoNotOptimize(
        machine.OnEvent(context, AttemptFinished{1, 100}, TimePoint{} + milliseconds(900)));
  }
}

constexpr int kSizes[] = {10, 66, 660};

void ForSizes(benchmark::internal::Benchmark* benchmark) {
  for (const int size : kSizes) {
    benchmark->Arg(size);
  }
}

BENCHMARK(ChooseInSubset)->Apply(ForSizes);
BENCHMARK(ChooseInAll)->Apply(ForSizes);
BENCHMARK(WholeRequest)->Apply(ForSizes);

}  // namespace
}  // namespace masticrill::routing

BENCHMARK_MAIN();
