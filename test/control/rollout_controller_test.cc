#include "control/rollout_controller.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace masticrill::control {
namespace {

const ServiceId kService("s");
const VersionId kTarget("v2");

routing::VersionEvidence Evidence(std::uint64_t trials, std::uint64_t bad) {
  routing::VersionEvidence evidence;
  evidence.domains[FailureDomainId("d")].counts.at(
      static_cast<std::size_t>(routing::EvidenceKind::kErrors)) = {trials, bad};
  return evidence;
}

net::NodeReport Report(const std::string& node, std::uint64_t trials, std::uint64_t bad,
                       std::int64_t age_ms = 0) {
  net::NodeReport report;
  report.node = NodeId(node);
  report.age_ms = age_ms;
  report.rollouts.push_back({kService, kTarget, Evidence(trials, bad), Evidence(100, 0)});
  return report;
}

config::ServiceRollout Running() {
  return {kTarget, milliseconds(20'000), 0, config::ServiceRolloutState::kRunning, ""};
}

RolloutVerdict VerdictAt(const std::vector<net::NodeReport>& reports, WallTimeMs now) {
  return JudgeServiceRollout(Running(), MergeEvidence(reports, {}, kService, kTarget), {}, now)
      .verdict;
}

TEST_CASE("bad answers that are too few at each entry roll back a roll-out when merged") {
  // Failure: a bad version gets a small trial share, so that each of many entries has few samples.
  std::vector<net::NodeReport> reports;
  for (int entry = 0; entry < 8; ++entry) {
    reports.push_back(Report("e" + std::to_string(entry), 4, 2));
  }
  CHECK(VerdictAt({reports.front()}, 12'000) == RolloutVerdict::kContinue);
  CHECK(VerdictAt(reports, 12'000) == RolloutVerdict::kRollBack);
}

TEST_CASE("a candidate that answers half of its requests late is stopped in its trial") {
  // Failure: a slow version is completed since no answer fails or misses its deadline. A trial
  // share of some dozen requests must be enough to stop it before all sessions move.
  constexpr int kTrials = 24;
  const auto evidence_of = [](int slow) {
    routing::VersionEvidence evidence;
    for (int trial = 0; trial < kTrials; ++trial) {
      routing::AttemptResult result;
      result.first_token = milliseconds(trial < slow ? 800 : 100);
      evidence.Add(FailureDomainId("d"), result, {});
    }
    return evidence;
  };
  RolloutEvidence merged;
  for (int part = 0; part < 10; ++part) {
    merged.baseline.Merge(evidence_of(part % 2));
  }
  merged.candidate = evidence_of(kTrials / 2);
  CHECK(JudgeServiceRollout(Running(), merged, {}, 12'000).verdict == RolloutVerdict::kRollBack);
  // Upstreams with cold prompt caches are a little slower at first.
  merged.candidate = evidence_of(2);
  CHECK(JudgeServiceRollout(Running(), merged, {}, 12'000).verdict == RolloutVerdict::kContinue);
}

TEST_CASE(
    "a good candidate gets all sessions after its trial, and is completed when these settled") {
  const std::vector<net::NodeReport> tried = {Report("e1", 20, 0), Report("e2", 20, 0)};
  CHECK(VerdictAt(tried, 12'000) == RolloutVerdict::kContinue);
  CHECK(VerdictAt(tried, 13'500) == RolloutVerdict::kMoveAll);
  config::ServiceRollout moved = Running();
  const auto verdict_at = [&](const std::vector<net::NodeReport>& reports, WallTimeMs now) {
    return JudgeServiceRollout(moved, MergeEvidence(reports, {}, kService, kTarget), {}, now)
        .verdict;
  };
  moved.moved_at = 14'500;
  CHECK(verdict_at(tried, 17'500) == RolloutVerdict::kContinue);
  CHECK(verdict_at(tried, 18'500) == RolloutVerdict::kComplete);
  CHECK(verdict_at({Report("e1", 0, 0)}, 18'500) == RolloutVerdict::kContinue);
  CHECK(verdict_at({}, 18'500) == RolloutVerdict::kContinue);
  // One that moves late is still completed before its deadline.
  moved.moved_at = 18'500;
  CHECK(verdict_at(tried, 18'600) == RolloutVerdict::kContinue);
  CHECK(verdict_at(tried, 19'300) == RolloutVerdict::kComplete);
}

TEST_CASE("a candidate that gets few requests is not held for want of trials") {
  // Failure: a good version of a service with little traffic is not completed by its deadline.
  CHECK(VerdictAt({Report("e1", 3, 0)}, 14'000) == RolloutVerdict::kContinue);
  CHECK(VerdictAt({Report("e1", 3, 0)}, 16'500) == RolloutVerdict::kMoveAll);
}

TEST_CASE(
    "a candidate on which the evidence leans worse keeps its trial share, or is rolled back") {
  // Failure: all sessions moved by time alone to a version on which the trial was undecided.
  const std::vector<net::NodeReport> undecided = {Report("e1", 12, 2)};
  for (const WallTimeMs now : {13'500, 15'000, 17'900}) {
    CHECK(VerdictAt(undecided, now) == RolloutVerdict::kContinue);
  }
  CHECK(VerdictAt(undecided, 18'100) == RolloutVerdict::kRollBack);
  CHECK(VerdictAt({Report("e1", 60, 0)}, 15'000) == RolloutVerdict::kMoveAll);
}

TEST_CASE("waits count that come beside the report of the same run of an entry") {
  const routing::RequestGroup group = routing::GroupOf("route", 1);
  net::AgedEntryReport aged;
  aged.report.node = NodeId("e1");
  aged.report.incarnation = Report("e1", 1, 0).incarnation;
  aged.report.waits.push_back({kService, kTarget, {}, {}});
  aged.report.waits[0].candidate[group].Add(milliseconds(500));
  const auto waits = [&](const net::AgedEntryReport& report, const VersionId& target) {
    return MergeEvidence({Report("e1", 1, 0)}, {report}, kService, target).candidate.waits.size();
  };
  CHECK(waits(aged, kTarget) == 1);
  CHECK(waits(aged, VersionId("v3")) == 0);
  net::AgedEntryReport old = aged;
  old.age_ms = 60'000;
  CHECK(waits(old, kTarget) == 0);
  net::AgedEntryReport earlier_run = aged;
  earlier_run.report.incarnation = IncarnationId("earlier");
  CHECK(waits(earlier_run, kTarget) == 0);
}

TEST_CASE("reports on another target, and out-of-date reports of entries, do not count") {
  const RolloutEvidence other =
      MergeEvidence({Report("e1", 50, 50)}, {}, kService, VersionId("v3"));
  CHECK(other == RolloutEvidence{});
  CHECK(MergeEvidence({Report("e1", 50, 50, 60'000)}, {}, kService, kTarget) == RolloutEvidence{});
}

}  // namespace
}  // namespace masticrill::control
