#include "masticrill/routing/rollout_evaluation.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace masticrill::routing {
namespace {

/// Parameters of the Beta prior of a rate, over which the likelihood is mixed.
struct Prior {
  double bad;
  double good;
};
/// A version in service has a low bad rate; a bad candidate may have any rate. A prior that does
/// not fit only costs statistical power: the bound on false alarms holds for every prior.
constexpr Prior kBaselinePrior{0.5, 10};
constexpr Prior kCandidatePrior{0.5, 2};
/// Rates are kept this far from 0 and 1 because their logarithms diverge there.
constexpr double kMinRate = 1e-9;

double LogBeta(double left, double right) {
  return std::lgamma(left) + std::lgamma(right) - std::lgamma(left + right);
}

/// The logarithm of the mixture likelihood of the counts divided by their likelihood at `rate`. If
/// `rate` is the true rate, it is the logarithm of a martingale that starts at 1.
double LogMixtureRatio(const TrialCount& count, const Prior& prior, double rate) {
  const auto bad = static_cast<double>(count.bad);
  const auto good = static_cast<double>(count.trials - count.bad);
  const double clamped = std::clamp(rate, kMinRate, 1 - kMinRate);
  const double mixture =
      LogBeta(prior.bad + bad, prior.good + good) - LogBeta(prior.bad, prior.good);
  return mixture - bad * std::log(clamped) - good * std::log1p(-clamped);
}

double BadRate(const TrialCount& count) {
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

/// Compares all kinds of evidence and keeps the decision with the largest margin over its
/// threshold.
class Comparison {
 public:
  explicit Comparison(const RolloutSettings& settings) : settings(settings) {}

  void Compare(const DomainEvidence& candidate, const DomainEvidence& baseline,
               const std::optional<FailureDomainId>& domain, double chance) {
    for (const EvidenceKind kind : kAllEvidenceKinds) {
      const TrialCount candidate_count = CountOf(candidate, kind);
      const TrialCount baseline_count = CountOf(baseline, kind);
      const double tolerated_difference =
          this->settings.tolerated_difference.at(static_cast<std::size_t>(kind));
      const double evidence =
          LogEvidenceOfRegression(candidate_count, baseline_count, tolerated_difference);
      const double margin = evidence + std::log(chance / kEvidenceKindCount);
      if (this->empty || margin > this->best_margin) {
        this->empty = false;
        this->best_margin = margin;
        this->decision = {.stop = margin >= 0,
                          .reason = margin >= 0 ? ReasonFor(kind) : RolloutReason::kContinue,
                          .failure_domain = domain,
                          .candidate = candidate_count,
                          .baseline = baseline_count,
                          .log_evidence = evidence};
      }
    }
  }

  const RolloutDecision& Decision() const { return this->decision; }

 private:
  const RolloutSettings& settings;
  bool empty = true;
  double best_margin = 0;
  RolloutDecision decision;
};

std::string Percent(const TrialCount& count) {
  constexpr double kPerMille = 1000;
  const auto per_mille = static_cast<long>(std::lround(BadRate(count) * kPerMille));
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
    DomainEvidence& merged = this->domains[domain];
    for (std::size_t i = 0; i < kEvidenceKindCount; ++i) {
      merged.counts.at(i).trials += evidence.counts.at(i).trials;
      merged.counts.at(i).bad += evidence.counts.at(i).bad;
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

double LogEvidenceOfRegression(const TrialCount& candidate, const TrialCount& baseline,
                               double tolerated_difference) {
  const bool impossible = candidate.bad > candidate.trials || baseline.bad > baseline.trials;
  if (impossible || candidate.trials == 0 || baseline.trials == 0) {
    return 0;
  }
  const double candidate_rate = BadRate(candidate);
  const double baseline_rate = BadRate(baseline);
  if (candidate_rate <= baseline_rate + tolerated_difference) {
    return LogMixtureRatio(candidate, kCandidatePrior, candidate_rate) +
           LogMixtureRatio(baseline, kBaselinePrior, baseline_rate);
  }
  // The minimum of the evidence over all rates of the hypothesis lies on its boundary, where the
  // sum is convex: a ternary search finds it.
  constexpr int kIterations = 60;
  const auto evidence_at = [&](double rate) {
    return LogMixtureRatio(baseline, kBaselinePrior, rate) +
           LogMixtureRatio(candidate, kCandidatePrior, rate + tolerated_difference);
  };
  double low = 0;
  double high = 1 - tolerated_difference;
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
  // Half of the false alarm probability goes to the comparison over all failure domains; the other
  // half is divided among the domains.
  const double half = settings.false_alarm_chance / 2;
  Comparison comparison(settings);
  comparison.Compare(candidate.Total(), baseline.Total(), std::nullopt, half);
  const auto domain_count = static_cast<double>(std::max<std::size_t>(1, candidate.domains.size()));
  for (const auto& [domain, evidence] : candidate.domains) {
    if (const auto baseline_count = baseline.domains.find(domain);
        baseline_count != baseline.domains.end()) {
      comparison.Compare(evidence, baseline_count->second, domain, half / domain_count);
    }
  }
  return comparison.Decision();
}

std::string HaltPatch(const ModelId& model, const VersionId& candidate,
                      const RolloutDecision& decision) {
  std::string reason =
      "Stopped by the roll-out evaluation for " + std::string(ToString(decision.reason));
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
