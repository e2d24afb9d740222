#ifndef MASTICRILL_ROUTING_PROMPT_EVIDENCE_H_
#define MASTICRILL_ROUTING_PROMPT_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/routing/prompt_report.h"

namespace masticrill::routing {

/// The id under which a part of a prompt is kept. Callers choose the ids, so a long one is replaced
/// by its hash.
PromptPartId MakePromptPartId(std::string_view id);

/// The report of one entry as another process holds it.
struct AgedPromptReport {
  PromptReport report;
  /// Since the report was made.
  std::int64_t age_ms = 0;
};

/// The merged reports of all entries. Ages count from the time of the merge.
struct PromptEvidence {
  std::vector<LostStart> lost;
  /// The age of the most recent survival of each part that has one.
  std::map<PromptPartId, std::int64_t> survivals;
  /// The parts that every entry with a recent report has answered for.
  std::set<PromptPartId> answered;
  /// False while an entry is silent whose requests may end upstreams, too.
  bool is_complete = true;
};

struct PromptSettings {
  /// Lost upstreams after which entries are asked whether the part's requests survive elsewhere.
  std::size_t suspect_after = 2;
  /// Lost upstreams that condemn a part of which no survival is known.
  std::size_t condemn_after = 3;
  /// Lost upstreams that condemn a part with earlier survivals, or one of several parts that were
  /// present each time.
  std::size_t condemn_at_last = 5;
  /// A part is compared with those whose count of lost upstreams is at least this share of the
  /// largest.
  double nearly_longest = 0.75;
  /// Distinct requests that a verdict needs, and with `condemn_at_last` upstreams or more.
  std::size_t min_requests = 3;
  std::size_t min_requests_of_many = 2;
  /// Lost upstreams that a verdict on a part needs without the request that was there most often,
  /// which may be the cause itself.
  std::size_t min_ends_of_others = 2;
  /// An upstream's end is known by connections that it ends within this time. Upstreams that are
  /// lost within it count as one: a failure domain or an entry's link fails at once, while requests
  /// end upstreams one after another.
  milliseconds same_moment{150};
  std::size_t min_moments = 3;
  /// The same for `condemn_at_last` upstreams and more.
  std::size_t min_moments_of_many = 2;
  /// An upstream has survived a request whose answer has lasted this long.
  milliseconds survival_time{500};
  /// The time in which a part with earlier survivals could have had another one.
  milliseconds time_to_survive{2000};
  /// Losses under a part or request with earlier survivals count as one event within this time: all
  /// upstreams of a service may end within moments.
  milliseconds same_event{1000};
  std::size_t min_events_after_survival = 3;
  /// They must also go on: the last one is no older than this.
  milliseconds losses_go_on{2500};
  /// Older evidence does not count.
  milliseconds window{60'000};
  /// A report is recent up to this age.
  milliseconds recent_report{1500};
  /// An entry whose report is not recent, but not older than this, is silent rather than gone.
  milliseconds silent_report{20'000};
  std::size_t max_suspects = 32;
  /// One request ends upstreams one after another, as its retries follow at once; upstreams that
  /// are lost within this time count as one.
  milliseconds same_request_moment{25};
  std::size_t min_request_moments = 2;
  /// The ends of this time, up to the last one under a request, show whether upstreams also end
  /// without it.
  milliseconds storm_window{10'000};
  /// A request under which enough upstreams have ended for a verdict is held back after this time,
  /// even if others may be the cause.
  milliseconds time_to_resolve{1800};
  /// The time in which arrivals of a whole request elsewhere could have been survived, and the
  /// survivals reported.
  milliseconds request_settling{500};

  friend bool operator==(const PromptSettings&, const PromptSettings&) = default;
};

/// A part, or a whole request, under which upstreams end.
struct PartVerdict {
  PromptPartId part;
  std::size_t lost_upstreams = 0;
  std::size_t requests = 0;
  /// False if the cause may be another one, as where requests with the part survived before. Such a
  /// verdict holds for a short time.
  bool is_certain = true;

  friend bool operator==(const PartVerdict&, const PartVerdict&) = default;
};

/// Merges the reports of all entries.
PromptEvidence MergePromptReports(const std::vector<AgedPromptReport>& reports,
                                  const PromptSettings& settings);

/// Removes the evidence on a part that is older than the given age, for instance since an operator
/// has lifted a verdict that was based on it.
void ForgetOlder(PromptEvidence& evidence, const PromptPartId& part, std::int64_t age_ms);

/// The parts that are blocked, each with the age of the decision in milliseconds.
using BlockedParts = std::map<PromptPartId, std::int64_t>;

/// The parts and whole requests that entries shall answer for, those with most lost upstreams
/// first.
std::vector<PromptPartId> FindSuspects(const PromptEvidence& evidence, const BlockedParts& blocked,
                                       const PromptSettings& settings);

/// Finds the part under which upstreams end; nothing while there is none, or not enough evidence. A
/// part counts the upstreams that were lost since the last survival of a request with it; attempts
/// at an upstream that was gone do not count. The part that explains most of these ends is judged,
/// so that those of requests that merely ran there are acquitted. Ends that a blocked part
/// explains, and all from before the latest block, do not count. Pure.
std::optional<PartVerdict> JudgePromptParts(const PromptEvidence& evidence,
                                            const BlockedParts& blocked,
                                            const PromptSettings& settings);

/// Finds the whole requests that end their upstreams. One counts the upstreams that were lost under
/// it since its last survival, as a part does, but needs no other request: it may come again after
/// each end. Needs more ends where another request was lost at the same upstreams as often, or
/// where most upstreams end without it. Ends under a blocked part or request do not count. Pure.
std::vector<PartVerdict> JudgeWholeRequests(const PromptEvidence& evidence, BlockedParts blocked,
                                            const PromptSettings& settings);

/// All verdicts on parts and whole requests. Pure.
std::vector<PartVerdict> FindVerdicts(const PromptEvidence& evidence, const BlockedParts& blocked,
                                      const PromptSettings& settings);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_PROMPT_EVIDENCE_H_
