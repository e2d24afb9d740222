#include "gateway/model_confidence.h"

#include <doctest/doctest.h>

#include <vector>

#include "masticrill/common/hash.h"

namespace masticrill::gateway {
namespace {

const std::vector<ModelId> kModels = {ModelId("small"), ModelId("middle"), ModelId("large")};
const routing::RequestGroup kEasy{"route", 1};
const routing::RequestGroup kHard{"route", 5};
constexpr double kTarget = 0.6;
/// The hash of a request that is no sample.
constexpr std::uint64_t kPlain = 1;

void AddMany(ModelConfidence& learned, const routing::RequestGroup& group, const ModelId& model,
             double confidence, int count = 100) {
  for (int answer = 0; answer < count; ++answer) {
    learned.Add(group, model, confidence);
  }
}

// Pattern: requests that may run once, of two sizes; the small model answers only the short ones.
TEST_CASE("a request that runs once gets the cheapest model that is known to answer its kind") {
  ModelConfidence learned;
  CHECK(learned.Choose(kEasy, kModels, kTarget, kPlain) == 2);
  AddMany(learned, kEasy, kModels[0], 0.9);
  AddMany(learned, kHard, kModels[0], 0.2);
  CHECK(learned.Choose(kEasy, kModels, kTarget, kPlain) == 0);
  CHECK(learned.Choose(kHard, kModels, kTarget, kPlain) == 2);
  AddMany(learned, kHard, kModels[1], 0.8);
  CHECK(learned.Choose(kHard, kModels, kTarget, kPlain) == 1);
  // What the models can do changes.
  AddMany(learned, kEasy, kModels[0], 0.3);
  CHECK(learned.Choose(kEasy, kModels, kTarget, kPlain) == 2);
}

TEST_CASE("a few confident answers do not make a model known") {
  ModelConfidence learned;
  AddMany(learned, kEasy, kModels[0], 1, 3);
  CHECK(learned.Choose(kEasy, kModels, kTarget, kPlain) == 2);
}

TEST_CASE("under overload, when any answer is taken, the cheapest model runs") {
  const ModelConfidence learned;
  CHECK(learned.Choose(kHard, kModels, 0, kPlain) == 0);
}

// Pattern: the small model answers well, but nothing is known of it at the start.
TEST_CASE("a small share of requests finds out what the cheaper models can do") {
  ModelConfidence learned;
  std::vector<int> runs(kModels.size());
  constexpr int kRequests = 4000;
  for (int request = 0; request < kRequests; ++request) {
    const std::size_t model =
        learned.Choose(kEasy, kModels, kTarget, Hash64(std::to_string(request)));
    ++runs[model];
    learned.Add(kEasy, kModels[model], 0.9);
  }
  CHECK(runs[0] > kRequests / 4);
  CHECK(runs[2] < kRequests / 2);
  AddMany(learned, kHard, kModels[2], 0.9);
  int sampled = 0;
  for (int request = 0; request < kRequests; ++request) {
    sampled += learned.Choose(kHard, kModels, kTarget, Hash64(std::to_string(request))) < 2 ? 1 : 0;
  }
  CHECK(sampled > 0);
  CHECK(sampled < kRequests / 25);
}

TEST_CASE("a single model is always chosen") {
  const ModelConfidence learned;
  CHECK(learned.Choose(kEasy, {ModelId("only")}, kTarget, 0) == 0);
}

TEST_CASE("the number of groups that are remembered is bounded") {
  ModelConfidence learned;
  for (int route = 0; route < 10'000; ++route) {
    learned.Add({"route " + std::to_string(route), 1}, kModels[0], 0.9);
  }
  AddMany(learned, kEasy, kModels[0], 0.9);
  CHECK(learned.Choose(kEasy, kModels, kTarget, kPlain) == 0);
}

}  // namespace
}  // namespace masticrill::gateway
