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
    candidates.push_back({UpstreamId("u" + std::to_string(index)), 0, false});
  }
  return candidates;
}

/// A long prompt, most of which other requests share.
constexpr WorkEstimate kLongPrompt{5000, 1000, 0};

TEST_CASE("hosts without knowledge of each other send equal prompts to the same upstream") {
  const std::vector<Candidate> candidates = Equal(9);
  Random first_host(1);
  Random second_host(2);
  for (int key = 0; key < 100; ++key) {
    const std::string name = "part-" + std::to_string(key);
    const UpstreamDecision first_decision =
        ChooseUpstream(candidates, name, kLongPrompt, {}, first_host);
    CHECK(first_decision.reason == ChoiceReason::kCachedPrompt);
    CHECK(first_decision.work == kLongPrompt.own);
    CHECK(first_decision == ChooseUpstream(candidates, name, kLongPrompt, {}, second_host));
  }
}

TEST_CASE(
    "hot key: requests with the same prompt go to other upstreams when waiting takes longer") {
  // Pattern: much of the traffic has the same prompt. Its preferred upstream becomes overloaded
  // while the others stay idle.
  std::vector<Candidate> candidates = Equal(4);
  Random random(3);
  std::map<std::size_t, double> work;
  for (int request = 0; request < 200; ++request) {
    const UpstreamDecision decision = ChooseUpstream(candidates, "hot", kLongPrompt, {}, random);
    candidates[*decision.index].load += decision.work;
    work[*decision.index] += decision.work;
  }
  const auto by_work = [](const auto& left, const auto& right) {
    return left.second < right.second;
  };
  const double most = std::max_element(work.begin(), work.end(), by_work)->second;
  const double least = std::min_element(work.begin(), work.end(), by_work)->second;
  CHECK(work.size() == 4);
  // The work of any two upstreams differs by at most two complete prompts.
  CHECK(most - least <= 2 * (kLongPrompt.own + kLongPrompt.shared));
}

TEST_CASE(
    "the recompute cost keeps requests at their prompt's preferred upstream under small loads") {
  std::vector<Candidate> candidates = Equal(6);
  Random random(6);
  const std::size_t preferred = *ChooseUpstream(candidates, "key", kLongPrompt, {}, random).index;
  const WorkEstimate unpriced{50, 10, 0};
  const WorkEstimate priced{50, 10, 2500};
  candidates[preferred].load = 500;
  CHECK(*ChooseUpstream(candidates, "key", unpriced, {}, random).index != preferred);
  CHECK(*ChooseUpstream(candidates, "key", priced, {}, random).index == preferred);
}

TEST_CASE("hosts with equal views do not all choose the same upstream") {
  const std::vector<Candidate> candidates = Equal(5);
  std::map<std::size_t, int> counts;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Random random(seed);
    ++counts[*ChooseUpstream(candidates, "", {0, 1, 0}, {}, random).index];
  }
  CHECK(counts.size() == 5);
}

TEST_CASE("a local upstream is preferred at equal load, and a less loaded remote one otherwise") {
  std::vector<Candidate> candidates = Equal(3);
  candidates[2].local = true;
  const WorkEstimate work{0, 1, 0, 0.05};
  Random random(4);
  for (int request = 0; request < 20; ++request) {
    CHECK(*ChooseUpstream(candidates, "", work, {}, random).index == 2);
  }
  candidates[2].load = 10;
  for (int request = 0; request < 20; ++request) {
    CHECK(*ChooseUpstream(candidates, "", work, {}, random).index != 2);
  }
}

/// Three upstreams in each of three failure domains; the first domain is the own one.
std::vector<Candidate> ThreeDomains() {
  std::vector<Candidate> candidates = Equal(9);
  for (std::size_t index = 0; index < 3; ++index) {
    candidates[index].local = true;
  }
  return candidates;
}

/// How many of 300 requests, each with another key, leave the failure domain.
int CountRemote(const std::vector<Candidate>& candidates, const WorkEstimate& work) {
  Random random(8);
  int remote = 0;
  for (int key = 0; key < 300; ++key) {
    const UpstreamDecision decision =
        ChooseUpstream(candidates, "part-" + std::to_string(key), work, {}, random);
    remote += candidates[*decision.index].local ? 0 : 1;
  }
  return remote;
}

TEST_CASE("lossy links: a request leaves its failure domain only for what that saves") {
  // Pattern: links between failure domains lose packets. Each event of a stream that crosses one
  // may come late, and its bytes are paid for.
  const std::vector<Candidate> candidates = ThreeDomains();
  // A chat message: 79 of 826 tokens lie in the part that its key names; 8 kilobytes cross a link.
  CHECK(CountRemote(candidates, {79, 628, 40, 235}) == 0);
  // A long document with most of it in that part: two in three of its keys have their upstreams in
  // other domains, and processing the part again costs more than the link.
  const int remote = CountRemote(candidates, {4870, 6610, 2435, 1000});
  CHECK(remote > 150);
  CHECK(remote < 250);
}

TEST_CASE(
    "burst in one failure domain: short requests go to other domains when its upstreams lag") {
  std::vector<Candidate> candidates = ThreeDomains();
  const WorkEstimate work{79, 628, 40, 235};
  Random random(9);
  int remote = 0;
  for (int request = 0; request < 300; ++request) {
    const UpstreamDecision decision = ChooseUpstream(candidates, "", work, {}, random);
    candidates[*decision.index].load += decision.work;
    remote += candidates[*decision.index].local ? 0 : 1;
  }
  // The own domain gets its third and what the link is worth, not all of it.
  CHECK(remote >= 190);
}

TEST_CASE("without candidates no upstream is chosen") {
  Random random(5);
  CHECK_FALSE(ChooseUpstream({}, "key", {}, {}, random).index);
}

}  // namespace
}  // namespace masticrill::gateway
