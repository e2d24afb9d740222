#include "masticrill/sidecar/fair_queue.h"

#include <doctest/doctest.h>

#include <map>

#include "fakes/sidecar_inputs.h"
#include "masticrill/common/random.h"

namespace masticrill::sidecar {
namespace {

using testing::MakeSpec;

TEST_CASE("classes are served strictly in order") {
  FairQueue queue({.max_length = 10});
  queue.Push(MakeSpec("t", RequestClass::kTag));
  queue.Push(MakeSpec("c", RequestClass::kCaption));
  queue.Push(MakeSpec("b", RequestClass::kBrief));
  CHECK(queue.Pop()->attempt == AttemptId("b"));
  CHECK(queue.Pop()->attempt == AttemptId("c"));
  CHECK(queue.Pop()->attempt == AttemptId("t"));
  CHECK_FALSE(queue.Pop());
}

TEST_CASE("a full queue displaces an attempt for a more urgent class or a team below its share") {
  struct Case {
    const char* name;
    std::vector<AttemptSpec> queued;
    AttemptSpec pushed;
    /// Empty when the pushed attempt is not accepted.
    std::string displaced;
  };
  const auto brief = RequestClass::kBrief;
  const auto caption = RequestClass::kCaption;
  const auto tag = RequestClass::kTag;
  const std::vector<Case> cases = {
      {"a brief displaces the latest tag",
       {MakeSpec("1", tag), MakeSpec("2", tag, "t1"), MakeSpec("3", caption)},
       MakeSpec("x", brief),
       "2"},
      {"a brief displaces a caption when there is no tag",
       {MakeSpec("1", caption), MakeSpec("2", brief), MakeSpec("3", brief)},
       MakeSpec("x", brief),
       "1"},
      {"a caption displaces a tag",
       {MakeSpec("1", tag), MakeSpec("2", brief), MakeSpec("3", brief)},
       MakeSpec("x", caption),
       "1"},
      {"a tag displaces nothing of a more urgent class",
       {MakeSpec("1", caption), MakeSpec("2", brief), MakeSpec("3", brief)},
       MakeSpec("x", tag),
       ""},
      {"a team with less queued displaces the latest of the team with the most",
       {MakeSpec("1", brief), MakeSpec("2", brief), MakeSpec("3", brief)},
       MakeSpec("x", brief, "t1"),
       "3"},
      {"a team does not displace itself",
       {MakeSpec("1", brief), MakeSpec("2", brief), MakeSpec("3", brief)},
       MakeSpec("x", brief),
       ""},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    FairQueue queue({.max_length = 3});
    for (const AttemptSpec& spec : test.queued) {
      REQUIRE(queue.Push(spec).accepted);
    }
    const PushResult result = queue.Push(test.pushed);
    CHECK(result.accepted == !test.displaced.empty());
    CHECK((result.displaced ? result.displaced->attempt.Value() : "") == test.displaced);
    CHECK(queue.Size() == 3);
  }
}

/// Serves a queue in which team t0 submits ten times as many attempts as t1, and both submit more
/// than is served. With `understate`, t0 declares 1 token for each attempt and uses 60. Returns the
/// share of the served tokens that t1 received.
double ShareOfSmallTeam(std::uint64_t seed, std::uint32_t weight, bool understate) {
  FairQueue queue({.max_length = 64});
  Random random(seed);
  double small = 0;
  double total = 0;
  for (int round = 0; round < 4000; ++round) {
    for (int arrival = 0; arrival < 11; ++arrival) {
      const bool is_small = arrival == 0;
      AttemptSpec spec = MakeSpec(std::to_string(round) + "-" + std::to_string(arrival),
                                  RequestClass::kCaption, is_small ? "t1" : "t0");
      spec.team_weight = is_small ? weight : 1;
      const auto tokens = static_cast<std::uint32_t>(20 + random.Below(80));
      spec.expected_tokens = understate && !is_small ? 1 : tokens;
      queue.Push(spec);
    }
    if (const auto served = queue.Pop()) {
      const double tokens =
          understate && served->team == TeamId("t0") ? 60 : served->expected_tokens;
      queue.CorrectCharge(*served, tokens);
      small += served->team == TeamId("t1") ? tokens : 0;
      total += tokens;
    }
  }
  return small / total;
}

TEST_CASE(
    "a team that submits ten times as much leaves another at least 90 % of its weighted share") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    CHECK(ShareOfSmallTeam(seed, 1, false) >= 0.5 * 0.9);
    CHECK(ShareOfSmallTeam(seed, 3, false) >= 0.75 * 0.9);
    CHECK(ShareOfSmallTeam(seed, 1, true) >= 0.5 * 0.9);
  }
}

TEST_CASE("an idle team's credit is bounded and its account is dropped") {
  FairQueue queue({.max_length = 100});
  for (int team = 0; team < 1000; ++team) {
    queue.Push(
        MakeSpec("a" + std::to_string(team), RequestClass::kTag, "t" + std::to_string(team)));
    queue.Push(MakeSpec("b" + std::to_string(team), RequestClass::kTag, "busy"));
    queue.Pop();
    queue.Pop();
  }
  CHECK(queue.Accounts() <= 100);
}

TEST_CASE("under random operations the sizes stay correct and no attempt is lost") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    FairQueue queue({.max_length = 16});
    Random random(seed);
    std::map<AttemptId, RequestClass> expected;
    for (int step = 0; step < 500; ++step) {
      const AttemptId some(std::to_string(random.Below(40)));
      switch (random.Below(4)) {
        case 0:
        case 1: {
          const RequestClass request_class = kAllRequestClasses.at(random.Below(3));
          const PushResult result = queue.Push(
              MakeSpec(some.Value(), request_class, "t" + std::to_string(random.Below(3))));
          if (result.displaced) {
            REQUIRE(expected.erase(result.displaced->attempt) == 1);
          }
          if (result.accepted) {
            REQUIRE(expected.emplace(some, request_class).second);
          }
          break;
        }
        case 2:
          REQUIRE(queue.Remove(some) == (expected.erase(some) == 1));
          break;
        default:
          if (const auto popped = queue.Pop()) {
            const RequestClass request_class = expected.at(popped->attempt);
            expected.erase(popped->attempt);
            for (const auto& [name, other] : expected) {
              REQUIRE(other >= request_class);
            }
          } else {
            REQUIRE(expected.empty());
          }
      }
      REQUIRE(queue.Size() == expected.size());
      REQUIRE(queue.Size() <= 16);
    }
  }
}

}  // namespace
}  // namespace masticrill::sidecar
