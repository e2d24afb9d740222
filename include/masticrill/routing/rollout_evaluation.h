#ifndef MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_
#define MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_

#include <array>
#include <compare>
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

/// The number of trials and how many of them were bad.
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

/// Requests whose latencies are comparable: those of one kind that cause a similar amount of work.
struct RequestGroup {
  std::string kind;
  /// The order of magnitude of the work, see GroupOf.
  std::uint32_t size_class = 0;

  friend auto operator<=>(const RequestGroup&,
                          const RequestGroup&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->size_class);
  }
};

/// The group of a request. Each size class spans a factor of four.
RequestGroup GroupOf(std::string kind, double work);

/// Counts latencies in steps of about a fifth.
struct LatencyHistogram {
  /// The number of latencies in each step that has any.
  std::map<std::uint32_t, std::uint64_t> counts;

  void Add(Duration latency);
  void Merge(const LatencyHistogram& other);
  std::uint64_t Total() const;
  /// The step that contains the quantile; 0 without any latency.
  std::uint32_t StepOfQuantile(double quantile) const;
  /// The number of latencies in later steps.
  std::uint64_t CountAbove(std::uint32_t step) const;

  friend bool operator==(const LatencyHistogram&, const LatencyHistogram&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->counts);
  }
};

struct EvidenceSettings {
  /// A first token later than this counts as slow.
  Duration slow_first_token = milliseconds(1400);
  /// A rating below this counts as low.
  double low_rating = 0.7;

  friend bool operator==(const EvidenceSettings&, const EvidenceSettings&) = default;
};

/// The counts of one version since its roll-out began, from one entry or merged from several
/// entries.
struct VersionEvidence {
  std::map<FailureDomainId, DomainEvidence> domains = {};
  /// The times to first tokens, by groups of comparable requests.
  std::map<RequestGroup, LatencyHistogram> first_tokens = {};
  /// How long requests have waited for first tokens that have not come, or had when they were given
  /// up. Not serialized: control_messages.h sends them apart.
  std::map<RequestGroup, LatencyHistogram> waits = {};

  /// Counts the result of an attempt. Refusals, cancellations and unreachable upstreams are not
  /// counted: they say nothing about the version.
  void Add(const FailureDomainId& domain, const AttemptResult& result,
           const EvidenceSettings& settings);
  /// Counts the time to a first token as soon as it has come. Counting it at the end of the answer
  /// would leave out the slowest answers for longest.
  void AddFirstToken(const FailureDomainId& domain, const RequestGroup& group, Duration latency,
                     const EvidenceSettings& settings);
  /// Counts a request that has waited for its first token until now, or until it was given up.
  void AddWait(const RequestGroup& group, Duration waited);
  void AddRating(const FailureDomainId& domain, double score, const EvidenceSettings& settings);
  /// Adds the counts of another entry.
  void Merge(const VersionEvidence& other);
  DomainEvidence Total() const;

  friend bool operator==(const VersionEvidence&, const VersionEvidence&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->domains, this->first_tokens);
  }
};

struct RolloutSettings {
  /// The maximum probability that a good version is stopped, over the whole roll-out.
  double false_alarm_chance = 0.01;
  /// The tolerated difference of rates between candidate and baseline, for each kind of evidence.
  std::array<double, kEvidenceKindCount> tolerated_difference = {0.002, 0.01, 0.02};
  /// A first token is late for its group if it comes after this quantile of the baseline's, and
  /// after this multiple of the baseline's median.
  double late_quantile = 0.9;
  double late_factor = 1.5;
  /// The tolerated difference of the rates of late first tokens: a new version starts without
  /// cached prompts.
  double tolerated_late_difference = 0.05;
  /// Groups with fewer first tokens of the baseline are not compared.
  std::uint64_t min_group_baseline = 10;

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
  /// The failure domain in which the candidate is worse; absent if the comparison is over all
  /// domains.
  std::optional<FailureDomainId> failure_domain = {};
  TrialCount candidate = {};
  TrialCount baseline = {};
  /// The log e-value of the comparison with the largest margin over its threshold.
  double log_evidence = 0;
  /// The largest log e-value of the comparisons over all failure domains. Above 0 the evidence
  /// leans against the candidate, although it may not suffice for a stop.
  double trend = 0;

  friend bool operator==(const RolloutDecision&, const RolloutDecision&) = default;
};

/// The logarithm of an e-value against the hypothesis "the candidate's rate is at most the
/// baseline's plus the tolerated difference". It may be evaluated after every request without a
/// correction: under the hypothesis the probability that it ever exceeds log(1/a) is at most a.
double LogEvidenceOfRegression(const TrialCount& candidate, const TrialCount& baseline,
                               double tolerated_difference);

/// The first tokens of two versions that came late for their groups. One that has not come counts
/// as soon as it is late.
struct LateCounts {
  TrialCount candidate;
  TrialCount baseline;
  /// First tokens of the candidate that have not come and are not late yet.
  std::uint64_t candidate_awaited = 0;

  friend bool operator==(const LateCounts&, const LateCounts&) = default;
};
LateCounts CountLate(const VersionEvidence& candidate, const VersionEvidence& baseline,
                     const RolloutSettings& settings);

/// The requests whose first tokens have come or are awaited.
std::uint64_t CountStarted(const VersionEvidence& evidence);

/// Decides whether to stop a candidate, compared with the default version. A pure function.
RolloutDecision EvaluateRollout(const VersionEvidence& candidate, const VersionEvidence& baseline,
                                const RolloutSettings& settings);

/// The JSON merge patch that halts the roll-out and withdraws the candidate, with a reason for
/// operators. Send it with the configuration number on which the decision was based.
std::string HaltPatch(const ModelId& model, const VersionId& candidate,
                      const RolloutDecision& decision);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_ROLLOUT_EVALUATION_H_
