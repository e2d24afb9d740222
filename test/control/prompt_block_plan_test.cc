#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control/entry_report_controller.h"

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
          const std::vector<routing::PartVerdict>& verdicts = {}) {
  const std::string patch = PlanPromptBlocks(current, verdicts, kNow);
  return patch.empty() ? Json() : Json::parse(patch).at("prompt_blocks");
}

TEST_CASE("a verdict becomes a block with its time and reason, also where one was lifted") {
  config::Configuration current;
  CHECK(Plan(current).is_null());
  const routing::PartVerdict verdict{PromptPartId("a"), 3, 4};
  CHECK(Plan(current, {verdict}) ==
        Json{{"a",
              {{"state", "blocked"},
               {"decided_at", kNow},
               {"reason", "3 upstreams ended under 4 requests with it"}}}});
  current.prompt_blocks[PromptPartId("a")] = Block(kNow - 5000, config::PromptBlockState::kLifted);
  CHECK(Plan(current).is_null());
  CHECK(Plan(current, {verdict}).at("a").at("state") == "blocked");
}

TEST_CASE("all verdicts of a check become blocks, with what ended under each") {
  const Json changes = Plan({}, {{PromptPartId("a"), 3, 4}, {PromptPartId("request.b"), 5, 1}});
  CHECK(changes.at("a").at("reason") == "3 upstreams ended under 4 requests with it");
  CHECK(changes.at("request.b").at("reason") == "5 upstreams ended under the request");
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
  const Json changes = Plan(full, {{PromptPartId("a"), 3, 4}});
  CHECK(changes.size() == 2);
  CHECK(changes.at("255").is_null());
}

TEST_CASE("a request that may not be the cause is held back for a minute, the second time longer") {
  const auto at = [](int in_seconds) {
    return TimePoint() + std::chrono::hours(1) + seconds(in_seconds);
  };
  const PromptPartId held("request.held");
  config::Configuration current;
  current.prompt_blocks[held] = Block(kNow);
  current.prompt_blocks[PromptPartId("request.certain")] = Block(kNow);
  CHECK(PlanEndOfHeldBlocks(current, {{held, {at(0)}}}, at(60)).empty());
  CHECK(Json::parse(PlanEndOfHeldBlocks(current, {{held, {at(0)}}}, at(61))) ==
        Json{{"prompt_blocks", {{"request.held", nullptr}}}});
  CHECK(PlanEndOfHeldBlocks(current, {{held, {at(0), true}}}, at(300)).empty());
  // An operator's word counts more.
  current.prompt_blocks[held] = Block(kNow, config::PromptBlockState::kLifted);
  CHECK(PlanEndOfHeldBlocks(current, {{held, {at(0)}}}, at(61)).empty());
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

TEST_CASE("ages of evidence count from now, however old the report is") {
  net::AgedEntryReport aged;
  aged.report.prompts.lost.push_back({1, 2, {PromptPartId("a")}, true, false, 100});
  aged.age_ms = 50;
  CHECK(MergePromptEvidence({aged}, {}).lost.at(0).age_ms == 150);
}

// Guards against a configuration with a block that processes of an earlier program cannot read.
TEST_CASE("an entry of an earlier program, which sends no reports, is noticed") {
  const auto node = [](const std::string& name, std::int64_t age_ms,
                       net::NodeRole role = net::NodeRole::kEntry) {
    net::NodeReport report;
    report.node = NodeId(name);
    report.role = role;
    report.load_address = "10.0.0.1:7000";
    report.age_ms = age_ms;
    return report;
  };
  net::AgedEntryReport reported;
  reported.report.node = NodeId("new");
  CHECK(AllEntriesReport({node("new", 100)}, {reported}));
  CHECK_FALSE(AllEntriesReport({node("new", 100), node("old", 100)}, {reported}));
  // One that is gone holds up no verdict, and sidecars send no reports.
  CHECK(AllEntriesReport({node("new", 100), node("old", 60'000)}, {reported}));
  CHECK(AllEntriesReport({node("new", 100), node("s", 100, net::NodeRole::kSidecar)}, {reported}));
}

TEST_CASE("only recent reports tell the demand of an entry") {
  const auto report = [](const std::string& address, std::uint32_t demand, std::int64_t age_ms) {
    net::AgedEntryReport aged;
    aged.report.load_address = address;
    aged.report.demand = demand;
    aged.age_ms = age_ms;
    return aged;
  };
  CHECK(DemandsOf({report("a:1", 5, 100), report("b:1", 7, 60'000), report("", 9, 100)}) ==
        std::vector<net::EntryDemand>{{"a:1", 5}});
}

}  // namespace
}  // namespace masticrill::control
