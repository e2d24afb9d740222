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

/// How much a request asks of an upstream, in prompt tokens of the strongest model; for a plain
/// service each request counts as one.
struct WorkEstimate {
  /// What the prompt shares with other requests. An upstream that keeps it need not read it again.
  double shared = 0;
  /// What only this request has.
  double own = 1;
  /// What reading the shared part again costs besides its time, in the same unit.
  double recompute_cost = 0;

  friend bool operator==(const WorkEstimate&, const WorkEstimate&) = default;
};

/// An upstream that may take the request, as the choice sees it.
struct Candidate {
  UpstreamId id;
  /// The work that waits or runs there, of all hosts as far as is known.
  double load = 0;
  /// In the failure domain of this host.
  bool local = false;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

enum class ChoiceReason {
  kCachedPrompt,  // An upstream that keeps the prompt's shared parts.
  kLessLoaded,    // The upstream with the least work.
  kNone,          // No upstream may take the request.
};

inline constexpr std::array kAllChoiceReasons = {ChoiceReason::kCachedPrompt,
                                                 ChoiceReason::kLessLoaded, ChoiceReason::kNone};

std::string_view ToString(ChoiceReason reason);

struct ChoiceSettings {
  /// The part of the shared work that the key's second upstream saves, to which its requests go
  /// when the first one is loaded.
  double second_upstream_saving = 0.5;
  /// What a request costs more in another failure domain, as a share of its work.
  double remote_penalty = 0.05;

  friend bool operator==(const ChoiceSettings&, const ChoiceSettings&) = default;
};

struct UpstreamDecision {
  /// The place among the candidates; nothing when there are none.
  std::optional<std::size_t> index;
  ChoiceReason reason = ChoiceReason::kNone;
  /// The work that the upstream is expected to have with the request.
  double work = 0;

  friend bool operator==(const UpstreamDecision&, const UpstreamDecision&) = default;
};

/// Chooses the upstream at which the request's work is done first: the work that waits there and
/// what the request adds. By rendezvous hashing of the affinity key every host expects the shared
/// part of equal prompts at the same two upstreams. Ties are broken by lot, so that hosts with
/// equal views do not all choose the same one. Pure.
UpstreamDecision ChooseUpstream(const std::vector<Candidate>& candidates,
                                std::string_view affinity_key, const WorkEstimate& work,
                                const ChoiceSettings& settings, Random& random);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_CHOICE_H_
