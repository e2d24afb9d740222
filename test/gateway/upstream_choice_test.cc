#include "masticrill/gateway/upstream_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace masticrill::gateway {
namespace {

std::vector<Candidate> Equal(std::size_t count) {
  std::vector<Candidate> candidates;
  for (std::size_t index = 0; index < count; ++index) {
    candidates.push_back({UpstreamId("u" + std::to_string(index)), 0, 8, false});
  }
  return candidates;
}

TEST_CASE("hosts that know nothing of each other send equal prompts to the same upstream") {
  const std::vector<Candidate> candidates = Equal(9);
  Random one(1);
  Random other(2);
  for (int key = 0; key < 100; ++key) {
    const std::string name = "part-" + std::to_string(key);
    const UpstreamDecision left = ChooseUpstream(candidates, name, {}, one);
    CHECK(left.reason == ChoiceReason::kCachedPrompt);
    CHECK(left == ChooseUpstream(candidates, name, {}, other));
  }
}

TEST_CASE("hot key: an upstream over the load bound passes its prompt's requests on") {
  // Pattern: one prompt gets much of the traffic. Its upstream fills up, the others stay free.
  std::vector<Candidate> candidates = Equal(4);
  Random random(3);
  std::map<std::size_t, int> counts;
  for (int request = 0; request < 400; ++request) {
    const auto index = *ChooseUpstream(candidates, "hot", {}, random).index;
    ++counts[index];
    candidates[index].load += 1;
  }
  const auto most = std::max_element(counts.begin(), counts.end(), [](auto left, auto right) {
    return left.second < right.second;
  });
  CHECK(counts.size() == 4);
  // The bound is 1.25 times the mean and 4 more.
  CHECK(most->second <= 400 / 4 * 1.25 + 5);
}

TEST_CASE("without a prompt a local upstream goes first until it is more loaded") {
  std::vector<Candidate> candidates = Equal(3);
  candidates[2].local = true;
  Random random(4);
  for (int request = 0; request < 20; ++request) {
    CHECK(*ChooseUpstream(candidates, "", {}, random).index == 2);
  }
  candidates[2].load = 10;
  for (int request = 0; request < 20; ++request) {
    CHECK(*ChooseUpstream(candidates, "", {}, random).index != 2);
  }
}

TEST_CASE("no candidate, no choice") {
  Random random(5);
  CHECK_FALSE(ChooseUpstream({}, "key", {}, random).index);
}

}  // namespace
}  // namespace masticrill::gateway
