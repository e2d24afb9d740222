#include "masticrill/gateway/upstream_choice.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::gateway {
namespace {

double MeanLoad(const std::vector<Candidate>& candidates) {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.load;
  }
  return sum / static_cast<double>(candidates.size());
}

/// The place of the candidate that the key prefers among those within the load bound.
std::optional<std::size_t> PreferredWithin(const std::vector<Candidate>& candidates,
                                           std::string_view affinity_key, double load_bound) {
  std::optional<std::size_t> best;
  std::uint64_t best_rank = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    if (candidate.load > load_bound) {
      continue;
    }
    const std::uint64_t rank = Hash64(candidate.id.Value(), Hash64(affinity_key));
    if (!best || rank > best_rank) {
      best = index;
      best_rank = rank;
    }
  }
  return best;
}

double Cost(const Candidate& candidate, const ChoiceSettings& settings) {
  return candidate.load + (candidate.local ? 0 : settings.remote_penalty);
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
                                std::string_view affinity_key, const ChoiceSettings& settings,
                                Random& random) {
  if (candidates.empty()) {
    return {};
  }
  if (!affinity_key.empty()) {
    const double bound =
        MeanLoad(candidates) * settings.affinity_load_factor + settings.affinity_load_slack;
    if (const auto preferred = PreferredWithin(candidates, affinity_key, bound)) {
      return {preferred, ChoiceReason::kCachedPrompt};
    }
  }
  const std::size_t first = random.Below(candidates.size());
  std::size_t second = first;
  if (candidates.size() > 1) {
    second = random.Below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
  }
  // A local upstream with room is better than two remote ones that happened to be drawn.
  std::size_t best =
      Cost(candidates[second], settings) < Cost(candidates[first], settings) ? second : first;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (candidates[index].local &&
        Cost(candidates[index], settings) < Cost(candidates[best], settings)) {
      best = index;
    }
  }
  return {best, ChoiceReason::kLessLoaded};
}

}  // namespace masticrill::gateway
