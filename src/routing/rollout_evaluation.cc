#include "masticrill/routing/rollout_evaluation.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "masticrill/routing/rollout_soundness.h"

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
constexpr double kStepsPerDoubling = 4;
constexpr double kSizeClassFactor = 4;
/// Bounds the size of reports where callers make up kinds or sizes.
constexpr std::size_t kMaxRequestGroups = 128;

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

LatencyHistogram HistogramOf(const std::map<RequestGroup, LatencyHistogram>& groups,
                             const RequestGroup& group) {
  const auto place = groups.find(group);
  return place == groups.end() ? LatencyHistogram{} : place->second;
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
      // Half of the share of slow first tokens goes to CompareLate.
      const bool is_split = kind == EvidenceKind::kSlowFirstToken && !domain;
      this->Consider({.kind = kind,
                      .candidate = CountOf(candidate, kind),
                      .baseline = CountOf(baseline, kind),
                      .tolerated_difference =
                          this->settings.tolerated_difference.at(static_cast<std::size_t>(kind)),
                      .chance = chance / kEvidenceKindCount / (is_split ? 2 : 1)},
                     domain);
    }
  }

  void CompareLate(const LateCounts& late, double chance) {
    this->Consider({.kind = EvidenceKind::kSlowFirstToken,
                    .candidate = late.candidate,
                    .baseline = late.baseline,
                    .tolerated_difference = this->settings.tolerated_late_difference,
                    .chance = chance / kEvidenceKindCount / 2},
                   std::nullopt);
  }

  const RolloutDecision& Decision() const { return this->decision; }

 private:
  struct Counts {
    EvidenceKind kind;
    TrialCount candidate;
    TrialCount baseline;
    double tolerated_difference;
    double chance;
  };

  void Consider(const Counts& counts, const std::optional<FailureDomainId>& domain) {
    const double evidence =
        LogEvidenceOfRegression(counts.candidate, counts.baseline, counts.tolerated_difference);
    if (!domain) {
      this->trend = std::max(this->trend.value_or(evidence), evidence);
    }
    const double margin = evidence + std::log(counts.chance);
    if (this->empty || margin > this->best_margin) {
      this->empty = false;
      this->best_margin = margin;
      this->decision = {.stop = margin >= 0,
                        .reason = margin >= 0 ? ReasonFor(counts.kind) : RolloutReason::kContinue,
                        .failure_domain = domain,
                        .candidate = counts.candidate,
                        .baseline = counts.baseline,
                        .log_evidence = evidence};
    }
    this->decision.trend = this->trend.value_or(0);
  }

  const RolloutSettings& settings;
  bool empty = true;
  double best_margin = 0;
  std::optional<double> trend;
  RolloutDecision decision;
};

std::string Percent(const TrialCount& count) {
  constexpr double kPerMille = 1000;
  const auto per_mille = static_cast<long>(std::lround(BadRate(count) * kPerMille));
  return std::to_string(per_mille / 10) + "." + std::to_string(per_mille % 10) + "% of " +
         std::to_string(count.trials);
}

}  // namespace

RequestGroup GroupOf(std::string kind, double work) {
  const double size_class = std::log(std::max(work, 1.0)) / std::log(kSizeClassFactor);
  return {std::move(kind), static_cast<std::uint32_t>(size_class)};
}

void LatencyHistogram::Add(Duration latency) {
  const auto micros = static_cast<double>(duration_cast<microseconds>(latency).count());
  ++this->counts[static_cast<std::uint32_t>(std::log2(std::max(micros, 1.0)) * kStepsPerDoubling)];
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  for (const auto& [step, count] : other.counts) {
    this->counts[step] += count;
  }
}

std::uint64_t LatencyHistogram::Total() const {
  std::uint64_t total = 0;
  for (const auto& [step, count] : this->counts) {
    total += count;
  }
  return total;
}

std::uint32_t LatencyHistogram::StepOfQuantile(double quantile) const {
  const double rank = quantile * static_cast<double>(this->Total());
  std::uint64_t seen = 0;
  std::uint32_t last = 0;
  for (const auto& [step, count] : this->counts) {
    seen += count;
    last = step;
    if (static_cast<double>(seen) >= rank) {
      break;
    }
  }
  return last;
}

std::uint64_t LatencyHistogram::CountAbove(std::uint32_t step) const {
  std::uint64_t above = 0;
  for (auto place = this->counts.upper_bound(step); place != this->counts.end(); ++place) {
    above += place->second;
  }
  return above;
}

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
  if (answered && result.first_token) {
    this->AddFirstToken(domain, {}, *result.first_token, settings);
  }
}

void VersionEvidence::AddFirstToken(const FailureDomainId& domain, const RequestGroup& group,
                                    Duration latency, const EvidenceSettings& settings) {
  TrialCount& slow =
      this->domains[domain].counts.at(static_cast<std::size_t>(EvidenceKind::kSlowFirstToken));
  ++slow.trials;
  slow.bad += latency > settings.slow_first_token ? 1 : 0;
  if (this->first_tokens.size() < kMaxRequestGroups || this->first_tokens.contains(group)) {
    this->first_tokens[group].Add(latency);
  }
}

void VersionEvidence::AddWait(const RequestGroup& group, Duration waited) {
  if (this->waits.size() < kMaxRequestGroups || this->waits.contains(group)) {
    this->waits[group].Add(waited);
  }
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
  for (const auto& [group, histogram] : other.first_tokens) {
    this->first_tokens[group].Merge(histogram);
  }
  for (const auto& [group, histogram] : other.waits) {
    this->waits[group].Merge(histogram);
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

LateCounts CountLate(const VersionEvidence& candidate, const VersionEvidence& baseline,
                     const RolloutSettings& settings) {
  const auto factor_steps =
      static_cast<std::uint32_t>(std::lround(std::log2(settings.late_factor) * kStepsPerDoubling));
  LateCounts late;
  for (const auto& [group, usual] : baseline.first_tokens) {
    const LatencyHistogram come = HistogramOf(candidate.first_tokens, group);
    const LatencyHistogram awaited = HistogramOf(candidate.waits, group);
    if (usual.Total() < settings.min_group_baseline || come.Total() + awaited.Total() == 0) {
      continue;
    }
    const std::uint32_t bound = std::max(usual.StepOfQuantile(settings.late_quantile),
                                         usual.StepOfQuantile(0.5) + factor_steps);
    const std::uint64_t overdue = awaited.CountAbove(bound);
    const std::uint64_t usual_overdue = HistogramOf(baseline.waits, group).CountAbove(bound);
    late.candidate.trials += come.Total() + overdue;
    late.candidate.bad += come.CountAbove(bound) + overdue;
    late.candidate_awaited += awaited.Total() - overdue;
    late.baseline.trials += usual.Total() + usual_overdue;
    late.baseline.bad += usual.CountAbove(bound) + usual_overdue;
  }
  return late;
}

std::uint64_t CountStarted(const VersionEvidence& evidence) {
  std::uint64_t started = 0;
  for (const auto* histograms : {&evidence.first_tokens, &evidence.waits}) {
    for (const auto& [group, histogram] : *histograms) {
      started += histogram.Total();
    }
  }
  return started;
}

RolloutDecision EvaluateRollout(const VersionEvidence& candidate, const VersionEvidence& baseline,
                                const RolloutSettings& settings) {
  // Half of the false alarm probability goes to the comparison over all failure domains; the other
  // half is divided among the domains.
  const double half = settings.false_alarm_chance / 2;
  Comparison comparison(settings);
  comparison.Compare(candidate.Total(), baseline.Total(), std::nullopt, half);
  comparison.CompareLate(CountLate(candidate, baseline, settings), half);
  const auto domain_count = static_cast<double>(std::max<std::size_t>(1, candidate.domains.size()));
  for (const auto& [domain, evidence] : candidate.domains) {
    if (const auto baseline_count = baseline.domains.find(domain);
        baseline_count != baseline.domains.end()) {
      comparison.Compare(evidence, baseline_count->second, domain, half / domain_count);
    }
  }
  return comparison.Decision();
}

Soundness JudgeSoundness(const VersionEvidence& candidate, const VersionEvidence& baseline,
                         const RolloutSettings& settings, const SoundnessSettings& soundness) {
  const auto judge = [&](const TrialCount& tried, const TrialCount& usual) {
    const double harmful = BadRate(usual) + soundness.harmful_difference;
    if (BadRate(tried) >= harmful - soundness.harmful_difference / 2) {
      return Soundness::kDoubtful;
    }
    const double evidence = LogMixtureRatio(tried, kCandidatePrior, harmful);
    return evidence >= -std::log(soundness.error_chance) ? Soundness::kShown : Soundness::kLikely;
  };
  const Soundness by_errors = judge(CountOf(candidate.Total(), EvidenceKind::kErrors),
                                    CountOf(baseline.Total(), EvidenceKind::kErrors));
  const LateCounts late = CountLate(candidate, baseline, settings);
  const std::uint64_t started = late.candidate.trials + late.candidate_awaited;
  if (started == 0) {
    return by_errors;
  }
  const Soundness by_latency =
      late.candidate.trials == 0 ? Soundness::kLikely : judge(late.candidate, late.baseline);
  // The first tokens that come first are the early ones. A candidate is shown sound only if it
  // would be with all those that are awaited late, too.
  const bool is_shown_at_worst = judge({started, late.candidate.bad + late.candidate_awaited},
                                       late.baseline) == Soundness::kShown;
  const Soundness limit = is_shown_at_worst ? Soundness::kShown : Soundness::kLikely;
  return std::max({by_errors, by_latency, limit});
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
