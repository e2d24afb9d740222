#include "masticrill/routing/rollout_evaluation.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace masticrill::routing {
namespace {

/// Parameters of the Beta distribution of rates that the evidence mixes over.
struct Prior {
  double bad;
  double good;
};
/// Low rates are likely for a version in service, and any rate for a bad candidate. Other rates
/// only cost some power: the bound on false alarms holds for every prior.
constexpr Prior kBaselinePrior{0.5, 10};
constexpr Prior kCandidatePrior{0.5, 2};
/// Rates closer to 0 or 1 than this are not told apart from them.
constexpr double kSmallestRate = 1e-9;

double LogBeta(double left, double right) {
  return std::lgamma(left) + std::lgamma(right) - std::lgamma(left + right);
}

/// The logarithm of the mixture likelihood of the counts over their likelihood at `rate`. For a
/// true rate it is the logarithm of a martingale that starts at 1.
double LogMixtureRatio(const TrialCount& count, const Prior& prior, double rate) {
  const auto bad = static_cast<double>(count.bad);
  const auto good = static_cast<double>(count.trials - count.bad);
  const double clamped = std::clamp(rate, kSmallestRate, 1 - kSmallestRate);
  const double mixture =
      LogBeta(prior.bad + bad, prior.good + good) - LogBeta(prior.bad, prior.good);
  return mixture - bad * std::log(clamped) - good * std::log1p(-clamped);
}

double Rate(const TrialCount& count) {
  return count.trials == 0 ? 0 : static_cast<double>(count.bad) / static_cast<double>(count.trials);
}

TrialCount CountOf(const DomainEvidence& evidence, EvidenceKind kind) {
  return evidence.counts.at(static_cast<std::size_t>(kind));
}

RolloutReason ReasonFor(EvidenceKind kind) {
  switch (kind) {
    case EvidenceKind::kErrors:
      return RolloutReason::kErrors;
    case EvidenceKind::kSlowFirstToken:
      return RolloutReason::kSlowFirstToken;
    case EvidenceKind::kLowRatings:
      return RolloutReason::kLowRatings;
  }
  return RolloutReason::kContinue;
}

/// Compares one kind of evidence and keeps the decision with the largest margin over its threshold.
class Comparison {
 public:
  explicit Comparison(const RolloutSettings& settings) : settings(settings) {}

  void Consider(const DomainEvidence& candidate, const DomainEvidence& baseline,
                const std::optional<FailureDomainId>& domain, double chance) {
    for (const EvidenceKind kind : kAllEvidenceKinds) {
      const TrialCount ours = CountOf(candidate, kind);
      const TrialCount theirs = CountOf(baseline, kind);
      const double tolerated = this->settings.tolerated.at(static_cast<std::size_t>(kind));
      const double evidence = LogEvidenceOfWorse(ours, theirs, tolerated);
      const double margin = evidence + std::log(chance / kEvidenceKindCount);
      if (this->first || margin > this->best_margin) {
        this->first = false;
        this->best_margin = margin;
        this->decision = {.stop = margin >= 0,
                          .reason = margin >= 0 ? ReasonFor(kind) : RolloutReason::kContinue,
                          .failure_domain = domain,
                          .candidate = ours,
                          .baseline = theirs,
                          .log_evidence = evidence};
      }
    }
  }

  const RolloutDecision& Decision() const { return this->decision; }

 private:
  const RolloutSettings& settings;
  bool first = true;
  double best_margin = 0;
  RolloutDecision decision;
};

std::string Percent(const TrialCount& count) {
  constexpr double kPerMille = 1000;
  const auto per_mille = static_cast<long>(std::lround(Rate(count) * kPerMille));
  return std::to_string(per_mille / 10) + "." + std::to_string(per_mille % 10) + "% of " +
         std::to_string(count.trials);
}

}  // namespace

void VersionEvidence::Add(const FailureDomainId& domain, const AttemptResult& result,
                          const EvidenceSettings& settings) {
  const bool answered = result.outcome == AttemptOutcome::kAnswered;
  const bool failed = result.outcome == AttemptOutcome::kFailed ||
                      result.outcome == AttemptOutcome::kTimedOut ||
                      result.outcome == AttemptOutcome::kBroken;
  if (!answered && !failed) {
    return;
  }
  auto& counts = this->domains[domain].counts;
  TrialCount& errors = counts.at(static_cast<std::size_t>(EvidenceKind::kErrors));
  ++errors.trials;
  errors.bad += failed ? 1 : 0;
  if (!answered || !result.first_token) {
    return;
  }
  TrialCount& slow = counts.at(static_cast<std::size_t>(EvidenceKind::kSlowFirstToken));
  ++slow.trials;
  slow.bad += *result.first_token > settings.slow_first_token ? 1 : 0;
}

void VersionEvidence::AddRating(const FailureDomainId& domain, double score,
                                const EvidenceSettings& settings) {
  if (!std::isfinite(score) || score < 0 || score > 1) {
    return;
  }
  TrialCount& low =
      this->domains[domain].counts.at(static_cast<std::size_t>(EvidenceKind::kLowRatings));
  ++low.trials;
  low.bad += score < settings.low_rating ? 1 : 0;
}

void VersionEvidence::Merge(const VersionEvidence& other) {
  for (const auto& [domain, evidence] : other.domains) {
    DomainEvidence& mine = this->domains[domain];
    for (std::size_t i = 0; i < kEvidenceKindCount; ++i) {
      mine.counts.at(i).trials += evidence.counts.at(i).trials;
      mine.counts.at(i).bad += evidence.counts.at(i).bad;
    }
  }
}

DomainEvidence VersionEvidence::Total() const {
  DomainEvidence total;
  for (const auto& [domain, evidence] : this->domains) {
    for (std::size_t i = 0; i < kEvidenceKindCount; ++i) {
      total.counts.at(i).trials += evidence.counts.at(i).trials;
      total.counts.at(i).bad += evidence.counts.at(i).bad;
    }
  }
  return total;
}

double LogEvidenceOfWorse(const TrialCount& candidate, const TrialCount& baseline,
                          double tolerated) {
  const bool impossible = candidate.bad > candidate.trials || baseline.bad > baseline.trials;
  if (impossible || candidate.trials == 0 || baseline.trials == 0) {
    return 0;
  }
  const double candidate_rate = Rate(candidate);
  const double baseline_rate = Rate(baseline);
  if (candidate_rate <= baseline_rate + tolerated) {
    return LogMixtureRatio(candidate, kCandidatePrior, candidate_rate) +
           LogMixtureRatio(baseline, kBaselinePrior, baseline_rate);
  }
  // The least evidence over all rates of the hypothesis lies on its boundary, where the sum is
  // convex: a search by thirds finds it.
  constexpr int kIterations = 60;
  const auto evidence_at = [&](double rate) {
    return LogMixtureRatio(baseline, kBaselinePrior, rate) +
           LogMixtureRatio(candidate, kCandidatePrior, rate + tolerated);
  };
  double low = 0;
  double high = 1 - tolerated;
  for (int i = 0; i < kIterations; ++i) {
    const double left = low + (high - low) / 3;
    const double right = high - (high - low) / 3;
    if (evidence_at(left) < evidence_at(right)) {
      high = right;
    } else {
      low = left;
    }
  }
  return evidence_at((low + high) / 2);
}

RolloutDecision EvaluateRollout(const VersionEvidence& candidate, const VersionEvidence& baseline,
                                const RolloutSettings& settings) {
  // Half of the chance of a false alarm goes to the whole, the rest to the failure domains.
  const double half = settings.false_alarm_chance / 2;
  Comparison comparison(settings);
  comparison.Consider(candidate.Total(), baseline.Total(), std::nullopt, half);
  const auto domain_count = static_cast<double>(std::max<std::size_t>(1, candidate.domains.size()));
  for (const auto& [domain, evidence] : candidate.domains) {
    if (const auto theirs = baseline.domains.find(domain); theirs != baseline.domains.end()) {
      comparison.Consider(evidence, theirs->second, domain, half / domain_count);
    }
  }
  return comparison.Decision();
}

std::string HaltPatch(const ModelId& model, const VersionId& candidate,
                      const RolloutDecision& decision) {
  std::string reason =
      "Stopped by the roll-out judge for " + std::string(ToString(decision.reason));
  if (decision.failure_domain) {
    reason += " in " + decision.failure_domain->Value();
  }
  reason += ": " + Percent(decision.candidate) + " against " + Percent(decision.baseline) +
            " of the default version.";
  const nlohmann::json patch = {
      {"models",
       {{model.Value(),
         {{"rollout", {{"state", "halted"}, {"reason", reason}}},
          {"versions", {{candidate.Value(), {{"state", "withdrawn"}}}}}}}}}};
  return patch.dump();
}

}  // namespace masticrill::routing
