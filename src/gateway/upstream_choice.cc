#include "masticrill/gateway/upstream_choice.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::gateway {
namespace {

/// The indexes of the two candidates that are expected to have the shared part of the key's prompts
/// cached, by their rank in the rendezvous hash.
struct PreferredCandidates {
  std::optional<std::size_t> first;
  std::optional<std::size_t> second;
};

PreferredCandidates FindPreferred(const std::vector<Candidate>& candidates,
                                  std::string_view affinity_key) {
  PreferredCandidates preferred;
  if (affinity_key.empty()) {
    return preferred;
  }
  const std::uint64_t seed = Hash64(affinity_key);
  std::uint64_t first_rank = 0;
  std::uint64_t second_rank = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::uint64_t rank = Hash64(candidates[index].id.Value(), seed);
    if (!preferred.first || rank > first_rank) {
      preferred.second = std::exchange(preferred.first, index);
      second_rank = std::exchange(first_rank, rank);
    } else if (!preferred.second || rank > second_rank) {
      preferred.second = index;
      second_rank = rank;
    }
  }
  return preferred;
}

}  // namespace

std::string_view ToString(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kCachedPrompt:
      return "cached_prompt";
    case ChoiceReason::kLessLoaded:
      return "less_loaded";
    case ChoiceReason::kNone:
      break;
  }
  return "none";
}

UpstreamDecision ChooseUpstream(const std::vector<Candidate>& candidates,
                                std::string_view affinity_key, const WorkEstimate& work,
                                const ChoiceSettings& settings, Random& random) {
  const PreferredCandidates preferred = FindPreferred(candidates, affinity_key);
  UpstreamDecision best;
  double best_cost = 0;
  std::uint64_t ties = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    double recompute_share = 1;
    if (preferred.first == index) {
      recompute_share = 0;
    } else if (preferred.second == index) {
      recompute_share = 1 - settings.second_upstream_saving;
    }
    const double added = work.own + work.shared * recompute_share;
    const double remote_cost = candidate.local ? 0 : work.remote_cost;
    const double cost =
        (candidate.load + added + work.recompute_cost * recompute_share) * candidate.slowdown +
        remote_cost;
    if (!best.index || cost < best_cost) {
      ties = 1;
    } else if (cost == best_cost) {
      ++ties;
    } else {
      continue;
    }
    if (ties == 1 || random.Below(ties) == 0) {
      const bool is_preferred = preferred.first == index || preferred.second == index;
      best = {index, is_preferred ? ChoiceReason::kCachedPrompt : ChoiceReason::kLessLoaded, added};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace masticrill::gateway
