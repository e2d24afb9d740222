#ifndef MASTICRILL_GATEWAY_UPSTREAM_CHOICE_H_
#define MASTICRILL_GATEWAY_UPSTREAM_CHOICE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/random.h"

namespace masticrill::gateway {

/// The expected work of a request at an upstream, in prompt tokens of the strongest model; where
/// the upstreams of the service are no model engines, each request counts as one.
struct WorkEstimate {
  /// The part of the prompt that the affinity key names, which other requests share. An upstream
  /// that has it cached skips it. What stands before it is shared by so many requests that every
  /// upstream is expected to have it.
  double shared = 0;
  /// The part of the prompt that only this request has.
  double own = 1;
  /// The extra cost of processing the shared part at an upstream that has not cached it, besides
  /// that work itself; in the same unit.
  double recompute_cost = 0;
  /// The extra cost of an upstream in another failure domain, in the same unit: request and answer
  /// cross a link that is paid for and that may lose packets.
  double remote_cost = 0;

  friend bool operator==(const WorkEstimate&, const WorkEstimate&) = default;
};

/// An upstream that may take the request, with the properties on which the choice depends.
struct Candidate {
  UpstreamId id;
  /// The work of all hosts that waits or runs at the upstream, as far as this host knows.
  double load = 0;
  /// Whether the upstream is in the failure domain of this host.
  bool local = false;
  /// How long work takes there, as a multiple of the usual time.
  double slowdown = 1;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

enum class ChoiceReason {
  kCachedPrompt,  // An upstream that is expected to have the shared part cached.
  kLessLoaded,    // Any other upstream, at which the work costs least.
  kNone,          // No upstream may take the request.
};

inline constexpr std::array kAllChoiceReasons = {ChoiceReason::kCachedPrompt,
                                                 ChoiceReason::kLessLoaded, ChoiceReason::kNone};

std::string_view ToString(ChoiceReason reason);

struct ChoiceSettings {
  /// The share of the shared work that is saved at the affinity key's second upstream, which takes
  /// its requests when the first one is loaded.
  double second_upstream_saving = 0.5;
  friend bool operator==(const ChoiceSettings&, const ChoiceSettings&) = default;
};

struct UpstreamDecision {
  /// The index of the chosen candidate; absent when there are no candidates.
  std::optional<std::size_t> index;
  ChoiceReason reason = ChoiceReason::kNone;
  /// The work that the request is expected to add at the upstream.
  double work = 0;

  friend bool operator==(const UpstreamDecision&, const UpstreamDecision&) = default;
};

/// Chooses the upstream with the lowest cost: its load, the work that the request adds, and the
/// costs of processing a shared part again and of leaving the failure domain. Rendezvous hashing of
/// the affinity key gives every host the same two upstreams, at which it expects the shared part of
/// the key's prompts to be cached. Ties are broken at random, so that hosts with equal views do not
/// all choose the same upstream. Pure except for `random`.
UpstreamDecision ChooseUpstream(const std::vector<Candidate>& candidates,
                                std::string_view affinity_key, const WorkEstimate& work,
                                const ChoiceSettings& settings, Random& random);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_CHOICE_H_
