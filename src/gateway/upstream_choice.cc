#include "masticrill/gateway/upstream_choice.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::gateway {
namespace {

/// The places of the two candidates at which the key's shared part is expected, first one first.
struct Keepers {
  std::optional<std::size_t> first;
  std::optional<std::size_t> second;
};

Keepers FindKeepers(const std::vector<Candidate>& candidates, std::string_view affinity_key) {
  Keepers keepers;
  if (affinity_key.empty()) {
    return keepers;
  }
  const std::uint64_t seed = Hash64(affinity_key);
  std::uint64_t first_rank = 0;
  std::uint64_t second_rank = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::uint64_t rank = Hash64(candidates[index].id.Value(), seed);
    if (!keepers.first || rank > first_rank) {
      keepers.second = std::exchange(keepers.first, index);
      second_rank = std::exchange(first_rank, rank);
    } else if (!keepers.second || rank > second_rank) {
      keepers.second = index;
      second_rank = rank;
    }
  }
  return keepers;
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
  const Keepers keepers = FindKeepers(candidates, affinity_key);
  UpstreamDecision best;
  double best_cost = 0;
  std::uint64_t ties = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    double read_again = 1;
    if (keepers.first == index) {
      read_again = 0;
    } else if (keepers.second == index) {
      read_again = 1 - settings.second_saves;
    }
    const double added = work.own + work.shared * read_again;
    const double penalty = candidate.local ? 0 : settings.remote_penalty * (work.own + work.shared);
    const double cost = candidate.load + added + work.reread_price * read_again + penalty;
    if (!best.index || cost < best_cost) {
      ties = 1;
    } else if (cost == best_cost) {
      ++ties;
    } else {
      continue;
    }
    if (ties == 1 || random.Below(ties) == 0) {
      const bool is_keeper = keepers.first == index || keepers.second == index;
      best = {index, is_keeper ? ChoiceReason::kCachedPrompt : ChoiceReason::kLessLoaded, added};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace masticrill::gateway
