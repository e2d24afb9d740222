#include "masticrill/routing/rollout_evaluation.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "masticrill/common/random.h"
#include "masticrill/routing/evidence_table.h"
#include "masticrill/routing/rollout_soundness.h"

namespace masticrill::routing {
namespace {

const FailureDomainId kLocalDomain("north-a");
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
  CHECK(table.Read(version, TimePoint()).domains.empty());
  table.Add(version, kLocalDomain, {.version = version, .outcome = AttemptOutcome::kTimedOut});
  CHECK(table.Read(version, TimePoint()).Total().counts[0] == TrialCount{1, 1});
  table.Reset(version);
  CHECK(table.Read(version, TimePoint()).domains.empty());
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

/// Adds `requests` first tokens of two kinds of requests and many sizes, at an even pace and with a
/// seeded spread; each `slow_every`th takes `slow_factor` times as long.
VersionEvidence FirstTokens(std::uint64_t seed, int requests, int slow_every, double slow_factor,
                            double work_factor = 1) {
  Random random(seed);
  VersionEvidence evidence;
  for (int request = 0; request < requests; ++request) {
    const bool is_long = request % 2 == 0;
    const double work = work_factor * (is_long ? 2000 : 100) * (0.5 + random.Uniform());
    double ms = 30 + work / 20 * (0.8 + 0.4 * random.Uniform());
    if (slow_every > 0 && request % slow_every == 0) {
      ms *= slow_factor;
    }
    evidence.AddFirstToken(request % 3 == 0 ? kLocalDomain : kRemoteDomain,
                           GroupOf(is_long ? "long" : "short", work),
                           milliseconds(static_cast<int>(ms)), {});
  }
  return evidence;
}

TEST_CASE(
    "a candidate that is slow for the kind and size of its requests is stopped in its trial") {
  // Failure: several times slower answers counted as good, as each came before the fixed bound.
  const VersionEvidence baseline = FirstTokens(1, 600, 0, 1);
  for (std::uint64_t seed = 2; seed < 22; ++seed) {
    CAPTURE(seed);
    const RolloutDecision bad = EvaluateRollout(FirstTokens(seed, 24, 2, 5), baseline, {});
    CHECK(bad.stop);
    CHECK(bad.reason == RolloutReason::kSlowFirstToken);
    CHECK(bad.trend > 0);
    CHECK(EvaluateRollout(FirstTokens(seed, 10, 2, 5), baseline, {}).trend > 0);
    const RolloutDecision good = EvaluateRollout(FirstTokens(seed, 24, 0, 1), baseline, {});
    CHECK_FALSE(good.stop);
    CHECK(good.trend <= 0);
  }
}

TEST_CASE("a candidate that gets larger requests than the baseline is not taken for a slow one") {
  // Failure: the latencies of large requests are compared with those of small ones.
  const VersionEvidence baseline = FirstTokens(1, 600, 0, 1);
  for (std::uint64_t seed = 2; seed < 22; ++seed) {
    CAPTURE(seed);
    CHECK_FALSE(EvaluateRollout(FirstTokens(seed, 100, 0, 1, 8), baseline, {}).stop);
  }
}

TEST_CASE("a candidate is shown sound only by enough requests, few of them bad") {
  // Failure: a handful of requests that happened to be good counted as a good trial.
  const auto judge = [](const TrialCount& candidate) {
    VersionEvidence tried;
    SetCount(tried, kLocalDomain, EvidenceKind::kErrors, candidate.trials, candidate.bad);
    VersionEvidence usual;
    SetCount(usual, kLocalDomain, EvidenceKind::kErrors, 600, 2);
    return JudgeSoundness(tried, usual, {});
  };
  CHECK(judge({0, 0}) == Soundness::kLikely);
  CHECK(judge({6, 0}) == Soundness::kLikely);
  CHECK(judge({16, 0}) == Soundness::kShown);
  CHECK(judge({16, 3}) == Soundness::kDoubtful);
  CHECK(judge({40, 1}) == Soundness::kShown);
}

TEST_CASE("a candidate with late first tokens is not shown sound by the absence of errors") {
  const auto with_answers = [](VersionEvidence evidence, std::uint64_t trials) {
    SetCount(evidence, kLocalDomain, EvidenceKind::kErrors, trials, 0);
    return evidence;
  };
  const VersionEvidence baseline = with_answers(FirstTokens(1, 600, 0, 1), 600);
  for (std::uint64_t seed = 2; seed < 22; ++seed) {
    CAPTURE(seed);
    CHECK(JudgeSoundness(with_answers(FirstTokens(seed, 32, 0, 1), 32), baseline, {}) ==
          Soundness::kShown);
    CHECK(JudgeSoundness(with_answers(FirstTokens(seed, 32, 3, 5), 32), baseline, {}) ==
          Soundness::kDoubtful);
  }
}

TEST_CASE("first tokens that have not come count as late once they are, and keep soundness open") {
  // Failure: the slow answers of a bad version were awaited when its trial was judged.
  const RequestGroup group = GroupOf("route", 100);
  VersionEvidence baseline;
  VersionEvidence candidate;
  const AttemptResult answered{.outcome = AttemptOutcome::kAnswered};
  for (int trial = 0; trial < 100; ++trial) {
    baseline.Add(FailureDomainId("d"), answered, {});
    candidate.Add(FailureDomainId("d"), answered, {});
    baseline.AddFirstToken(FailureDomainId("d"), group, milliseconds(100 + trial), {});
    candidate.AddFirstToken(FailureDomainId("d"), group, milliseconds(100 + trial), {});
  }
  CHECK(JudgeSoundness(candidate, baseline, {}) == Soundness::kShown);
  VersionEvidence awaiting = candidate;
  for (int wait = 0; wait < 60; ++wait) {
    awaiting.AddWait(group, milliseconds(20));
  }
  CHECK(CountLate(awaiting, baseline, {}).candidate.trials == 100);
  CHECK(CountLate(awaiting, baseline, {}).candidate_awaited == 60);
  CHECK(CountStarted(awaiting) == 160);
  CHECK(JudgeSoundness(awaiting, baseline, {}) == Soundness::kLikely);
  VersionEvidence overdue = candidate;
  for (int wait = 0; wait < 60; ++wait) {
    overdue.AddWait(group, milliseconds(2000));
  }
  CHECK(CountLate(overdue, baseline, {}).candidate.trials == 160);
  CHECK(JudgeSoundness(overdue, baseline, {}) == Soundness::kDoubtful);
  CHECK(EvaluateRollout(overdue, baseline, {}).stop);
  // The baseline's late ones count, too.
  VersionEvidence loaded = baseline;
  loaded.Merge({.waits = overdue.waits});
  CHECK_FALSE(EvaluateRollout(overdue, loaded, {}).stop);
}

TEST_CASE("latency counts of several entries merge to the counts of all their requests") {
  VersionEvidence merged = FirstTokens(1, 50, 0, 1);
  merged.Merge(FirstTokens(2, 70, 0, 1));
  std::uint64_t total = 0;
  for (const auto& [group, latencies] : merged.first_tokens) {
    CHECK(latencies.CountAbove(0) == latencies.Total());
    CHECK(latencies.CountAbove(latencies.StepOfQuantile(1)) == 0);
    total += latencies.Total();
  }
  CHECK(total == 120);
}

TEST_CASE("callers that make up kinds of requests cannot make the counts grow without bound") {
  VersionEvidence evidence;
  for (int kind = 0; kind < 1000; ++kind) {
    evidence.AddFirstToken(kLocalDomain, GroupOf(std::to_string(kind), 1), milliseconds(1), {});
  }
  CHECK(evidence.first_tokens.size() <= 128);
  CHECK(
      evidence.Total().counts.at(static_cast<std::size_t>(EvidenceKind::kSlowFirstToken)).trials ==
      1000);
}

}  // namespace
}  // namespace masticrill::routing
