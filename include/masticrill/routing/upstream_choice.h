#ifndef MASTICRILL_ROUTING_UPSTREAM_CHOICE_H_
#define MASTICRILL_ROUTING_UPSTREAM_CHOICE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/random.h"
#include "masticrill/common/request_class.h"
#include "masticrill/routing/directory.h"
#include "masticrill/routing/upstream_table.h"

namespace masticrill::routing {

/// Why an upstream was chosen or none was.
enum class ChoiceReason {
  kLeastExpectedLatency,  // The best candidate, in the failure domain of the entry.
  kSpilled,               // In another failure domain: the entry's was full or slower.
  kCachedPrefix,          // The upstream announced that it has the prompt's prefix.
  kSessionAffinity,       // The preferred upstream of the session or prefix, by hash.
  kProbe,                 // Ejected before: a probe, or too many upstreams are ejected.
  kQueued,                // No upstream has room; this one has the lowest expected latency.
  kRefusedNoneServes,     // No upstream in service offers the version or service.
  kRefusedAllExcluded,    // This request has already tried every upstream.
  kRefusedAllEjected,     // Every upstream is ejected and no probe is allowed.
  kRefusedAllFull,        // Every healthy upstream has just refused for lack of room.
};

inline constexpr std::array kAllChoiceReasons = {
    ChoiceReason::kLeastExpectedLatency,
    ChoiceReason::kSpilled,
    ChoiceReason::kCachedPrefix,
    ChoiceReason::kSessionAffinity,
    ChoiceReason::kProbe,
    ChoiceReason::kQueued,
    ChoiceReason::kRefusedNoneServes,
    ChoiceReason::kRefusedAllExcluded,
    ChoiceReason::kRefusedAllEjected,
    ChoiceReason::kRefusedAllFull,
};

std::string_view ToString(ChoiceReason reason);

/// The properties of a request on which the choice of an upstream depends.
struct ChoiceRequest {
  /// Empty for a plain service.
  ModelVersion version = {};
  RequestClass request_class = RequestClass::kTag;
  /// The request may probe a half-open upstream although a healthy one has room.
  bool may_probe = true;
  std::uint64_t session_hash = 0;
  std::uint64_t prefix_hash = 0;
  std::uint32_t expected_tokens = 0;
  /// Upstreams that this request must not use again.
  std::vector<UpstreamId> excluded = {};

  friend bool operator==(const ChoiceRequest&, const ChoiceRequest&) = default;
};

struct ChoiceSettings {
  /// The factor on the expected latency of an upstream in another failure domain or region.
  double other_domain_factor = 1.1;
  double other_region_factor = 2.0;
  /// The share of the time to the first token that a cached prefix saves.
  double cached_prefix_bonus = 0.5;
  /// The share taken off the expected latency of the preferred upstream of a session or prefix.
  double session_bonus = 0.1;
  /// The maximum share of ejected upstreams, not counting failure domains that are wholly ejected.
  double max_ejected_share = 0.5;
  /// Assumed latencies for an upstream without measurements.
  double default_first_token_seconds = 0.3;
  double default_token_seconds = 0.02;

  friend bool operator==(const ChoiceSettings&, const ChoiceSettings&) = default;
};

struct UpstreamDecision {
  /// Absent if no upstream may be used now.
  std::optional<UpstreamId> upstream = {};
  ChoiceReason reason = ChoiceReason::kRefusedNoneServes;
  /// The expected time to the complete answer.
  Duration expected{0};
  Duration expected_first_token{0};
  /// The load of the upstream, with this request, divided by its concurrency limit; above 1 the
  /// request queues.
  double utilisation = 0;
  /// Without an upstream: the time after which another attempt may find one.
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const UpstreamDecision&, const UpstreamDecision&) = default;
};

/// Chooses the best of a small weighted random sample of the candidates (power of two choices), or
/// of all candidates if the sample has no room. Thread safe as far as the arguments are.
UpstreamDecision ChooseUpstream(const std::vector<RoutableUpstream>& candidates,
                                const UpstreamTable& table, const ChoiceRequest& request,
                                const ChoiceSettings& settings, TimePoint now, Random& random);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_UPSTREAM_CHOICE_H_
