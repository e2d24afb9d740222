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

/// An upstream that may take the request, as the choice sees it.
struct Candidate {
  UpstreamId id;
  /// Requests that run or wait there, as far as is known.
  double load = 0;
  /// Requests that it runs at once; 0 when it is not known.
  std::uint32_t slots = 0;
  /// In the failure domain of this host.
  bool local = false;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

enum class ChoiceReason {
  kCachedPrompt,  // The upstream that keeps the prompt's shared parts.
  kLessLoaded,    // The upstream with the most room.
  kNone,          // No upstream may take the request.
};

inline constexpr std::array kAllChoiceReasons = {ChoiceReason::kCachedPrompt,
                                                 ChoiceReason::kLessLoaded, ChoiceReason::kNone};

std::string_view ToString(ChoiceReason reason);

struct ChoiceSettings {
  /// The load over the mean of all candidates, as a factor and a sum, up to which an upstream gets
  /// the requests whose prompt it keeps. Consistent hashing with bounded loads uses the same form.
  double affinity_load_factor = 1.25;
  double affinity_load_slack = 4;
  /// Requests that an upstream of another failure domain must be less loaded by to be taken.
  double remote_penalty = 1;

  friend bool operator==(const ChoiceSettings&, const ChoiceSettings&) = default;
};

struct UpstreamDecision {
  /// The place among the candidates; nothing when there are none.
  std::optional<std::size_t> index;
  ChoiceReason reason = ChoiceReason::kNone;

  friend bool operator==(const UpstreamDecision&, const UpstreamDecision&) = default;
};

/// Chooses an upstream. With an affinity key every host prefers the same upstream for equal keys,
/// by rendezvous hashing, as long as its load is bounded. Otherwise the less loaded of two drawn
/// ones is taken, so that hosts with equal reports do not all choose the same one. Pure.
UpstreamDecision ChooseUpstream(const std::vector<Candidate>& candidates,
                                std::string_view affinity_key, const ChoiceSettings& settings,
                                Random& random);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_CHOICE_H_
