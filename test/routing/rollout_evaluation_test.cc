#include "masticrill/routing/rollout_evaluation.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "masticrill/common/random.h"
#include "masticrill/routing/evidence_table.h"

namespace masticrill::routing {
namespace {

const FailureDomainId kLocalDomain("casa-a");
const FailureDomainId kRemoteDomain("rabat-b");

void SetCount(VersionEvidence& evidence, const FailureDomainId& domain, EvidenceKind kind,
              std::uint64_t trials, std::uint64_t bad) {
  evidence.domains[domain].counts.at(static_cast<std::size_t>(kind)) = {trials, bad};
}

struct EvaluationCase {
  const char* name;
  EvidenceKind kind;
  TrialCount candidate;
  TrialCount baseline;
  bool stop;
};

const EvaluationCase kEvaluationCases[] = {
    {"no evidence", EvidenceKind::kErrors, {0, 0}, {0, 0}, false},
    {"no baseline", EvidenceKind::kErrors, {50, 50}, {0, 0}, false},
    {"equal", EvidenceKind::kErrors, {5000, 50}, {50'000, 500}, false},
    {"better", EvidenceKind::kErrors, {5000, 0}, {50'000, 500}, false},
    {"first attempt fails", EvidenceKind::kErrors, {1, 1}, {100, 0}, false},
    {"dead", EvidenceKind::kErrors, {12, 12}, {200, 1}, true},
    {"a fifth fails", EvidenceKind::kErrors, {80, 16}, {1000, 2}, true},
    {"slow", EvidenceKind::kSlowFirstToken, {200, 60}, {2000, 40}, true},
    {"low ratings", EvidenceKind::kLowRatings, {300, 150}, {3000, 450}, true},
    {"worse within the tolerance", EvidenceKind::kLowRatings, {5000, 800}, {50'000, 7500}, false},
    {"more bad results than trials is no evidence",
     EvidenceKind::kErrors,
     {5, 4000},
     {1000, 2},
     false},
};

TEST_CASE("a candidate is stopped only if it is worse than the baseline by more than tolerated") {
  for (const EvaluationCase& test : kEvaluationCases) {
    CAPTURE(test.name);
    VersionEvidence candidate;
    VersionEvidence baseline;
    SetCount(candidate, kLocalDomain, test.kind, test.candidate.trials, test.candidate.bad);
    SetCount(baseline, kLocalDomain, test.kind, test.baseline.trials, test.baseline.bad);
    const RolloutDecision decision = EvaluateRollout(candidate, baseline, {});
    CHECK(decision.stop == test.stop);
    CHECK((decision.reason == RolloutReason::kContinue) == !test.stop);
  }
}

TEST_CASE(
    "a candidate that is bad in only one failure domain is stopped, and the domain is named") {
  VersionEvidence candidate;
  VersionEvidence baseline;
  SetCount(candidate, kLocalDomain, EvidenceKind::kErrors, 3000, 6);
  SetCount(baseline, kLocalDomain, EvidenceKind::kErrors, 30'000, 60);
  SetCount(candidate, kRemoteDomain, EvidenceKind::kErrors, 40, 20);
  SetCount(baseline, kRemoteDomain, EvidenceKind::kErrors, 400, 1);
  const RolloutDecision decision = EvaluateRollout(candidate, baseline, {});
  CHECK(decision.stop);
  CHECK(decision.failure_domain == kRemoteDomain);
}

TEST_CASE("evidence merged from several entries equals evidence from one") {
  Random random(4);
  VersionEvidence whole;
  VersionEvidence parts[3];
  for (int i = 0; i < 3000; ++i) {
    const AttemptResult result{
        .outcome = kAllAttemptOutcomes.at(random.Below(kAllAttemptOutcomes.size())),
        .first_token = milliseconds(random.Below(3000))};
    const FailureDomainId& domain = random.Below(2) == 0 ? kLocalDomain : kRemoteDomain;
    VersionEvidence& part = parts[random.Below(3)];
    const double score = random.Uniform() * 1.2 - 0.1;
    for (VersionEvidence* evidence : {&whole, &part}) {
      evidence->Add(domain, result, {});
      evidence->AddRating(domain, score, {});
    }
  }
  VersionEvidence merged;
  for (const VersionEvidence& part : parts) {
    merged.Merge(part);
  }
  CHECK(merged == whole);
  CHECK(whole.Total().counts[0].trials > 0);
}

TEST_CASE("refusals, cancellations and unreachable upstreams are not counted as evidence") {
  EvidenceTable table;
  const ModelVersion version{ModelId("m"), VersionId("v2")};
  for (const AttemptOutcome outcome : {AttemptOutcome::kRefusedFull, AttemptOutcome::kRefusedOther,
                                       AttemptOutcome::kUnreachable, AttemptOutcome::kCancelled}) {
    table.Add(version, kLocalDomain, {.version = version, .outcome = outcome});
  }
  CHECK(table.Read(version).domains.empty());
  table.Add(version, kLocalDomain, {.version = version, .outcome = AttemptOutcome::kTimedOut});
  CHECK(table.Read(version).Total().counts[0] == TrialCount{1, 1});
  table.Reset(version);
  CHECK(table.Read(version).domains.empty());
}

TEST_CASE("evaluation after every request keeps the false alarm rate within the bound") {
  constexpr int kRollouts = 300;
  constexpr int kRequests = 400;
  // The boundary of the hypothesis: the candidate is worse by exactly the tolerated difference.
  RolloutSettings settings;
  constexpr double kBaselineRate = 0.05;
  const double candidate_rate = kBaselineRate + settings.tolerated_difference[0];
  Random random(9);
  int alarms = 0;
  for (int i = 0; i < kRollouts; ++i) {
    VersionEvidence candidate;
    VersionEvidence baseline;
    TrialCount candidate_count;
    TrialCount baseline_count;
    for (int j = 0; j < kRequests; ++j) {
      candidate_count = {candidate_count.trials + 1,
                         candidate_count.bad + (random.Uniform() < candidate_rate ? 1U : 0U)};
      baseline_count = {baseline_count.trials + 1,
                        baseline_count.bad + (random.Uniform() < kBaselineRate ? 1U : 0U)};
      SetCount(candidate, kLocalDomain, EvidenceKind::kErrors, candidate_count.trials,
               candidate_count.bad);
      SetCount(baseline, kLocalDomain, EvidenceKind::kErrors, baseline_count.trials,
               baseline_count.bad);
      if (EvaluateRollout(candidate, baseline, settings).stop) {
        ++alarms;
        break;
      }
    }
  }
  CHECK(alarms <= 0.01 * kRollouts);
}

TEST_CASE("the patch halts the roll-out and withdraws the candidate with its reason") {
  RolloutDecision decision;
  decision.stop = true;
  decision.reason = RolloutReason::kErrors;
  decision.failure_domain = kRemoteDomain;
  decision.candidate = {40, 20};
  decision.baseline = {400, 1};
  const auto patch =
      nlohmann::json::parse(HaltPatch(ModelId("m\"odel"), VersionId("v2"), decision));
  const auto& model = patch.at("models").at("m\"odel");
  CHECK(model.at("rollout").at("state") == "halted");
  CHECK(model.at("versions").at("v2").at("state") == "withdrawn");
  CHECK(model.at("rollout").at("reason") ==
        "Stopped by the roll-out evaluation for errors in rabat-b: 50.0% of 40 against 0.3% of 400 "
        "of the default version.");
}

}  // namespace
}  // namespace masticrill::routing
