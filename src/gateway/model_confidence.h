#ifndef MASTICRILL_GATEWAY_MODEL_CONFIDENCE_H_
#define MASTICRILL_GATEWAY_MODEL_CONFIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::gateway {

/// Learns how confident each model is of its answers to each group of requests, and chooses the
/// model of a request that runs only once, whose answer no stronger model can replace. Thread-safe.
class ModelConfidence {
 public:
  /// Records the confidence, from 0 to 1, that a model states of an answer.
  void Add(const routing::RequestGroup& group, const ModelId& model, double confidence);

  /// The index of the cheapest model that reaches `target` on average, else of the strongest one.
  /// A model counts from a few answers on; with a target of 0 every model reaches it. A small share
  /// of requests runs the next cheaper model, so that its confidence stays known; `request_hash`
  /// tells which ones. `models` are ordered from the cheapest to the strongest, at least one.
  std::size_t Choose(const routing::RequestGroup& group, const std::vector<ModelId>& models,
                     double target, std::uint64_t request_hash) const;

 private:
  struct Mean {
    double confidence = 0;
    std::uint64_t answers = 0;
  };

  bool Reaches(const routing::RequestGroup& group, const ModelId& model, double target) const;

  mutable std::mutex mutex;
  std::map<std::pair<routing::RequestGroup, ModelId>, Mean> means;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_MODEL_CONFIDENCE_H_
