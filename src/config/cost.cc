#include "masticrill/config/cost.h"

namespace masticrill::config {

std::uint64_t CostOf(const Configuration& configuration, const ModelVersion& version,
                     std::uint64_t generated_tokens) {
  constexpr std::uint64_t kTokensPerPrice = 1000;
  const auto model = configuration.models.find(version.model);
  if (model == configuration.models.end()) {
    return 0;
  }
  const auto found = model->second.versions.find(version.version);
  if (found == model->second.versions.end()) {
    return 0;
  }
  return (generated_tokens * found->second.cost_per_1k_tokens + kTokensPerPrice - 1) /
         kTokensPerPrice;
}

}  // namespace masticrill::config
