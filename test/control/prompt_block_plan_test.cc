#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "control/prompt_block_controller.h"

namespace masticrill::control {
namespace {

using Json = nlohmann::json;

constexpr WallTimeMs kNow = 1'790'000'000'000;
constexpr WallTimeMs kHourMs = 3'600'000;

config::PromptBlock Block(WallTimeMs decided_at,
                          config::PromptBlockState state = config::PromptBlockState::kBlocked) {
  return {state, decided_at, "reason"};
}

Json Plan(const config::Configuration& current,
          const std::optional<routing::PartVerdict>& verdict = std::nullopt) {
  const std::string patch = PlanPromptBlocks(current, verdict, kNow);
  return patch.empty() ? Json() : Json::parse(patch).at("prompt_blocks");
}

TEST_CASE("a verdict becomes a block with its time and reason, also where one was lifted") {
  config::Configuration current;
  CHECK(Plan(current).is_null());
  const routing::PartVerdict verdict{PromptPartId("a"), 3, 4};
  CHECK(Plan(current, verdict) ==
        Json{{"a",
              {{"state", "blocked"},
               {"decided_at", kNow},
               {"reason", "3 upstreams ended under 4 requests with it"}}}});
  current.prompt_blocks[PromptPartId("a")] = Block(kNow - 5000, config::PromptBlockState::kLifted);
  CHECK(Plan(current).is_null());
  CHECK(Plan(current, verdict).at("a").at("state") == "blocked");
}

TEST_CASE("blocks end after an hour, and the oldest ones give way to a new one") {
  config::Configuration current;
  current.prompt_blocks[PromptPartId("old")] = Block(kNow - kHourMs - 1);
  current.prompt_blocks[PromptPartId("new")] = Block(kNow - kHourMs + 1);
  CHECK(Plan(current) == Json{{"old", nullptr}});

  config::Configuration full;
  for (int number = 0; number < 256; ++number) {
    full.prompt_blocks[PromptPartId(std::to_string(number))] = Block(kNow - 1000 - number);
  }
  CHECK(Plan(full).is_null());
  const Json changes = Plan(full, routing::PartVerdict{PromptPartId("a"), 3, 4});
  CHECK(changes.size() == 2);
  CHECK(changes.at("255").is_null());
}

TEST_CASE("only blocked parts count as blocked, each with the age of the decision") {
  config::Configuration current;
  current.prompt_blocks[PromptPartId("a")] = Block(kNow - 700);
  current.prompt_blocks[PromptPartId("b")] = Block(kNow, config::PromptBlockState::kLifted);
  // The clock of the host that decided may be ahead.
  current.prompt_blocks[PromptPartId("c")] = Block(kNow + 700);
  CHECK(BlockedPartsOf(current, kNow) ==
        routing::BlockedParts{{PromptPartId("a"), 700}, {PromptPartId("c"), 0}});
}

TEST_CASE("reports of nodes other than entries are no evidence") {
  net::NodeReport report;
  report.prompts.lost.push_back({1, 2, {PromptPartId("a")}, true, false, 100});
  report.age_ms = 50;
  CHECK(MergePromptEvidence({report}, {}).lost.at(0).age_ms == 150);
  report.role = net::NodeRole::kSidecar;
  CHECK(MergePromptEvidence({report}, {}).lost.empty());
}

}  // namespace
}  // namespace masticrill::control
