#ifndef MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_
#define MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"
#include "masticrill/routing/load.h"

namespace masticrill::routing {

/// What is compared between two versions.
enum class EvidenceKind { kErrors, kSlowFirstToken, kLowRatings };

inline constexpr std::array kAllEvidenceKinds = {
    EvidenceKind::kErrors, EvidenceKind::kSlowFirstToken, EvidenceKind::kLowRatings};
inline constexpr std::size_t kEvidenceKindCount = kAllEvidenceKinds.size();

std::string_view ToString(EvidenceKind kind);

/// Trials and the bad ones among them.
struct TrialCount {
  std::uint64_t trials = 0;
  std::uint64_t bad = 0;

  friend bool operator==(const TrialCount&, const TrialCount&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->trials, this->bad);
  }
};

/// The counts of one version in one failure domain.
struct DomainEvidence {
  std::array<TrialCount, kEvidenceKindCount> counts{};

  friend bool operator==(const DomainEvidence&, const DomainEvidence&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    for (TrialCount& count : this->counts) {
      archive(count);
    }
  }
};

struct EvidenceSettings {
  /// A first token later than this counts as slow.
  Duration slow_first_token = milliseconds(1400);
  /// A rating below this counts as low.
  double low_rating = 0.7;

  friend bool operator==(const EvidenceSettings&, const EvidenceSettings&) = default;
};

/// The counts of one version since its roll-out began, from one entry or merged from several.
struct VersionEvidence {
  std::map<FailureDomainId, DomainEvidence> domains = {};

  /// Counts an attempt that the version served. Refusals and unreachable upstreams don't count:
  /// they say nothing about the version.
  void Add(const FailureDomainId& domain, const AttemptResult& result,
           const EvidenceSettings& settings);
  void AddRating(const FailureDomainId& domain, double score, const EvidenceSettings& settings);
  /// Adds the counts of another entry.
  void Merge(const VersionEvidence& other);
  DomainEvidence Total() const;

  friend bool operator==(const VersionEvidence&, const VersionEvidence&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->domains);
  }
};

struct RolloutSettings {
  /// The chance at which a good version may be stopped, over the whole roll-out.
  double false_alarm_chance = 0.01;
  /// How much worse, as a difference of rates, a candidate may be in each kind of evidence.
  std::array<double, kEvidenceKindCount> tolerated = {0.002, 0.01, 0.02};

  friend bool operator==(const RolloutSettings&, const RolloutSettings&) = default;
};

enum class RolloutReason { kContinue, kErrors, kSlowFirstToken, kLowRatings };

inline constexpr std::array kAllRolloutReasons = {RolloutReason::kContinue, RolloutReason::kErrors,
                                                  RolloutReason::kSlowFirstToken,
                                                  RolloutReason::kLowRatings};

std::string_view ToString(RolloutReason reason);

struct RolloutDecision {
  bool stop = false;
  RolloutReason reason = RolloutReason::kContinue;
  /// The failure domain in which the candidate is worse; absent when it is so overall.
  std::optional<FailureDomainId> failure_domain = {};
  TrialCount candidate = {};
  TrialCount baseline = {};
  /// The strongest evidence found, as the logarithm of an e-value.
  double log_evidence = 0;

  friend bool operator==(const RolloutDecision&, const RolloutDecision&) = default;
};

/// The logarithm of an e-value against "the candidate's rate is at most the baseline's plus the
/// tolerated difference". It may be looked at after any request without a correction: under that
/// hypothesis the chance that it ever passes log(1/a) is at most a.
double LogEvidenceOfWorse(const TrialCount& candidate, const TrialCount& baseline,
                          double tolerated);

/// Judges a candidate against the default version. A pure function.
RolloutDecision EvaluateRollout(const VersionEvidence& candidate, const VersionEvidence& baseline,
                                const RolloutSettings& settings);

/// The JSON merge patch that halts the roll-out and withdraws the candidate, with the reason for
/// readers. It is to be sent under the configuration number that the decision was made on.
std::string HaltPatch(const ModelId& model, const VersionId& candidate,
                      const RolloutDecision& decision);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_
