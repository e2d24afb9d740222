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
  kLeastExpectedLatency,  // The best of the sampled ones, in the entry's own failure domain.
  kSpilled,               // The own failure domain had no room or was much slower.
  kCachedPrefix,          // It announced the prompt's prefix.
  kSessionAffinity,       // The session's usual upstream.
  kProbe,                 // A probe of an upstream that was ejected.
  kQueued,                // None has room; this one is expected to have it first.
  kRefusedNoneServes,     // No upstream in service offers it.
  kRefusedAllExcluded,    // Every one was already tried by this request.
  kRefusedAllEjected,     // Every one is ejected and no probe is due.
  kRefusedAllFull,        // Every one refused for lack of room a moment ago.
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

/// The part of a request that matters for the choice of an upstream.
struct ChoiceRequest {
  /// Empty for a plain service.
  ModelVersion version = {};
  RequestClass request_class = RequestClass::kTag;
  /// The request may be spent on an upstream that has just been ejected.
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
  /// The share of the expected latency that the session's usual upstream is allowed to cost more.
  double session_bonus = 0.1;
  /// The largest share of the upstreams outside wholly ejected failure domains that stays ejected.
  double max_ejected_share = 0.5;
  /// Assumed where nothing was measured.
  double default_first_token_seconds = 0.3;
  double default_token_seconds = 0.02;

  friend bool operator==(const ChoiceSettings&, const ChoiceSettings&) = default;
};

struct UpstreamDecision {
  /// Absent when none may be used now.
  std::optional<UpstreamId> upstream = {};
  ChoiceReason reason = ChoiceReason::kRefusedNoneServes;
  /// The expected time to the whole answer.
  Duration expected{0};
  Duration expected_first_token{0};
  /// Its load over what it runs at once; above 1 the request waits there.
  double utilisation = 0;
  /// Without an upstream: when another try may find one.
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const UpstreamDecision&, const UpstreamDecision&) = default;
};

/// Chooses one of the candidates by weighted two choices. Thread safe as far as its arguments are.
UpstreamDecision ChooseUpstream(const std::vector<RoutableUpstream>& candidates,
                                const UpstreamTable& table, const ChoiceRequest& request,
                                const ChoiceSettings& settings, TimePoint now, Random& random);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_UPSTREAM_CHOICE_H_
