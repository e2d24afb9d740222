#include "masticrill/routing/upstream_table.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

namespace masticrill::routing {
namespace {

const UpstreamId kUpstream("worker-0");
const ModelVersion kGood{ModelId("m"), VersionId("v1")};
const ModelVersion kBad{ModelId("m"), VersionId("v2")};
const TimePoint kStart = TimePoint{} + seconds(1000);

LoadReport ReportOf(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t in_flight) {
  return {kUpstream, incarnation, sequence, 0, in_flight, 0, 8, false};
}

struct ReportCase {
  const char* name;
  std::vector<LoadReport> reports;
  std::vector<bool> accepted;
  double load;
};

const ReportCase kReportCases[] = {
    {"in order", {ReportOf(1, 1, 3), ReportOf(1, 2, 5)}, {true, true}, 5},
    {"doubled", {ReportOf(1, 2, 3), ReportOf(1, 2, 7)}, {true, false}, 3},
    {"reordered", {ReportOf(1, 2, 3), ReportOf(1, 1, 7)}, {true, false}, 3},
    {"new incarnation restarts its sequence",
     {ReportOf(1, 9, 3), ReportOf(2, 1, 1)},
     {true, true},
     1},
    {"late report of the previous incarnation",
     {ReportOf(2, 1, 1), ReportOf(1, 10, 7)},
     {true, false},
     1},
    {"impossible", {ReportOf(1, 1, 2), ReportOf(1, 2, 4'000'000'000U)}, {true, false}, 2},
};

TEST_CASE("duplicate, old and impossible load reports are dropped") {
  for (const ReportCase& test : kReportCases) {
    CAPTURE(test.name);
    UpstreamTable table;
    for (std::size_t i = 0; i < test.reports.size(); ++i) {
      CHECK(table.OnLoadReport(test.reports[i], kStart) == test.accepted[i]);
    }
    CHECK(table.Read(kUpstream, kGood, kStart).load == doctest::Approx(test.load));
  }
}

TEST_CASE("the weight of a report decays with its age until the report expires") {
  UpstreamTable table;
  table.OnLoadReport(ReportOf(1, 1, 8), kStart);
  CHECK(table.Read(kUpstream, kGood, kStart + seconds(2)).load == doctest::Approx(4));
  const UpstreamSnapshot old = table.Read(kUpstream, kGood, kStart + seconds(11));
  CHECK(old.load == 0);
  CHECK_FALSE(old.limit);
}

TEST_CASE("a report of too low a load does not hide the attempts of this entry") {
  UpstreamTable table;
  for (int i = 0; i < 6; ++i) {
    table.OnDispatch(kUpstream, kGood, kStart);
  }
  table.OnLoadReport(ReportOf(1, 1, 0), kStart);
  CHECK(table.Read(kUpstream, kGood, kStart).load == 6);
}

HealthState StateAt(const UpstreamTable& table, const ModelVersion& version, Duration after) {
  return table.Read(kUpstream, version, kStart + after).health.state;
}

void Attempt(UpstreamTable& table, const ModelVersion& version, AttemptOutcome outcome,
             Duration after = Duration(0)) {
  table.OnDispatch(kUpstream, version, kStart + after);
  table.OnResult(kUpstream, {.version = version, .outcome = outcome}, kStart + after);
}

struct HealthCase {
  const char* name;
  AttemptOutcome outcome;
  int times;
  HealthState good_version;
  HealthState bad_version;
};

const HealthCase kHealthCases[] = {
    {"two lost connections", AttemptOutcome::kBroken, 2, HealthState::kHealthy,
     HealthState::kHealthy},
    {"three lost connections", AttemptOutcome::kBroken, 3, HealthState::kEjected,
     HealthState::kEjected},
    {"three times unreachable", AttemptOutcome::kUnreachable, 3, HealthState::kEjected,
     HealthState::kEjected},
    {"three time-outs", AttemptOutcome::kTimedOut, 3, HealthState::kEjected, HealthState::kEjected},
    {"error answers of one version", AttemptOutcome::kFailed, 5, HealthState::kHealthy,
     HealthState::kEjected},
    {"refusals are neutral", AttemptOutcome::kRefusedFull, 50, HealthState::kHealthy,
     HealthState::kHealthy},
    {"cancellations are neutral", AttemptOutcome::kCancelled, 50, HealthState::kHealthy,
     HealthState::kHealthy},
};

TEST_CASE("failed results eject an upstream, or one version on it") {
  for (const HealthCase& test : kHealthCases) {
    CAPTURE(test.name);
    UpstreamTable table;
    for (int i = 0; i < test.times; ++i) {
      Attempt(table, kBad, test.outcome);
    }
    CHECK(StateAt(table, kGood, Duration(0)) == test.good_version);
    CHECK(StateAt(table, kBad, Duration(0)) == test.bad_version);
  }
}

TEST_CASE("after an ejection single probes run: a failure doubles the ejection, successes end it") {
  UpstreamTable table;
  for (int i = 0; i < 3; ++i) {
    Attempt(table, kGood, AttemptOutcome::kBroken);
  }
  CHECK(StateAt(table, kGood, milliseconds(999)) == HealthState::kEjected);
  CHECK(StateAt(table, kGood, seconds(1)) == HealthState::kHalfOpen);
  table.OnDispatch(kUpstream, kGood, kStart + seconds(1));
  CHECK_FALSE(table.Read(kUpstream, kGood, kStart + seconds(1)).health.probe_allowed);
  table.OnResult(kUpstream, {.version = kGood, .outcome = AttemptOutcome::kBroken},
                 kStart + seconds(1));
  CHECK(StateAt(table, kGood, milliseconds(2999)) == HealthState::kEjected);
  CHECK(StateAt(table, kGood, seconds(3)) == HealthState::kHalfOpen);
  for (int i = 0; i < 3; ++i) {
    CHECK(StateAt(table, kGood, seconds(3)) == HealthState::kHalfOpen);
    Attempt(table, kGood, AttemptOutcome::kAnswered, seconds(3));
  }
  CHECK(StateAt(table, kGood, seconds(3)) == HealthState::kHealthy);
}

TEST_CASE("a restart of the upstream ends an ejection at once and allows probes") {
  UpstreamTable table;
  table.OnLoadReport(ReportOf(1, 1, 0), kStart);
  for (int i = 0; i < 3; ++i) {
    Attempt(table, kGood, AttemptOutcome::kBroken);
  }
  table.OnLoadReport(ReportOf(2, 1, 0), kStart);
  CHECK(StateAt(table, kGood, Duration(0)) == HealthState::kHalfOpen);
}

TEST_CASE("the newest cache hint counts, an eviction elsewhere does not, and old hints expire") {
  UpstreamTable table;
  const UpstreamId other("worker-1");
  table.OnCacheHint({kUpstream, 5, true}, kStart);
  table.OnCacheHint({other, 5, false}, kStart);
  CHECK(table.CachedAt(5, kStart) == kUpstream);
  table.OnCacheHint({other, 5, true}, kStart);
  CHECK(table.CachedAt(5, kStart) == other);
  CHECK_FALSE(table.CachedAt(5, kStart + seconds(121)));
  CHECK_FALSE(table.CachedAt(0, kStart));
}

TEST_CASE("concurrent threads that share the table lose no attempt") {
  constexpr int kThreads = 4;
  constexpr int kAttempts = 5000;
  UpstreamTable table;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&table] {
      for (int j = 0; j < kAttempts; ++j) {
        Attempt(table, kGood, AttemptOutcome::kAnswered);
      }
      table.OnDispatch(kUpstream, kGood, kStart);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(table.Read(kUpstream, kGood, kStart).own_in_flight == kThreads);
}

}  // namespace
}  // namespace masticrill::routing
