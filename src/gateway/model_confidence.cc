#include "gateway/model_confidence.h"

#include <algorithm>

namespace masticrill::gateway {
namespace {

/// Answers from which the mean of a model is believed.
constexpr std::uint64_t kAnswersUntilKnown = 20;
/// The weight of the newest answer once the model is known.
constexpr double kNewestWeight = 0.05;
/// One in this many requests runs a cheaper model than the chosen one.
constexpr std::uint64_t kSampleInterval = 50;
/// Routes come and go with the configuration; beyond this number all means are learned anew.
constexpr std::size_t kMaxMeans = 4096;

}  // namespace

void ModelConfidence::Add(const routing::RequestGroup& group, const ModelId& model,
                          double confidence) {
  const std::scoped_lock lock(this->mutex);
  if (this->means.size() >= kMaxMeans && !this->means.contains({group, model})) {
    this->means.clear();
  }
  Mean& mean = this->means[{group, model}];
  ++mean.answers;
  const double weight = std::max(1 / static_cast<double>(mean.answers), kNewestWeight);
  mean.confidence += weight * (confidence - mean.confidence);
}

std::size_t ModelConfidence::Choose(const routing::RequestGroup& group,
                                    const std::vector<ModelId>& models, double target,
                                    std::uint64_t request_hash) const {
  const std::scoped_lock lock(this->mutex);
  std::size_t chosen = 0;
  while (chosen + 1 < models.size() && !this->Reaches(group, models[chosen], target)) {
    ++chosen;
  }
  return chosen > 0 && request_hash % kSampleInterval == 0 ? chosen - 1 : chosen;
}

/// The caller holds the mutex.
bool ModelConfidence::Reaches(const routing::RequestGroup& group, const ModelId& model,
                              double target) const {
  if (target <= 0) {
    return true;
  }
  const auto found = this->means.find({group, model});
  return found != this->means.end() && found->second.answers >= kAnswersUntilKnown &&
         found->second.confidence >= target;
}

}  // namespace masticrill::gateway
