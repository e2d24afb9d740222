#include <doctest/doctest.h>

#include "fakes/control_operators.h"
#include "fakes/control_processes.h"

namespace masticrill::control {
namespace {

constexpr std::size_t kOperators = 3;
constexpr int kTeamsPerOperator = 15;

std::string DocumentAt(const ControlProcesses& group, std::size_t host) {
  net::HttpAnswer answer;
  Require(WaitUntil([&] {
            answer = group.Call(host, GetCall("/v1/config"));
            return answer.status == 200;
          }),
          "The host did not answer GET /v1/config with status 200 in time.");
  return answer.body;
}

/// Waits until the operators have had that many patches accepted.
void WaitForPatches(const RacingOperators& operators, std::uint64_t count) {
  REQUIRE(WaitUntil([&] { return operators.Accepted() >= count; }));
}

TEST_CASE("kill -9 of successive leaders during patches loses no accepted change") {
  ControlProcesses group(3);
  group.StartAll();
  RacingOperators operators(group.Caller(), group.Size(), kOperators, kTeamsPerOperator);
  for (const std::uint64_t patches : {5U, 20U}) {
    WaitForPatches(operators, patches);
    const std::size_t leader = group.WaitForLeader();
    group.Kill(leader);
    WaitForPatches(operators, patches + 5);
    group.Start(leader);
  }
  operators.Join();
  for (std::size_t host = 0; host < group.Size(); ++host) {
    CHECK(operators.FindFault(DocumentAt(group, host)) == "");
  }
}

TEST_CASE("a leader frozen during patches resumes without reverting or serving old changes") {
  ControlProcesses group(3);
  group.StartAll();
  const std::size_t leader = group.WaitForLeader();
  RacingOperators operators(group.Caller(), group.Size(), kOperators, kTeamsPerOperator);
  WaitForPatches(operators, 5);
  group.Freeze(leader);
  WaitForPatches(operators, 15);
  const std::size_t other = (leader + 1) % group.Size();
  const std::uint64_t accepted = NumberOf(group.Call(other, GetCall("/v1/config")));
  group.Thaw(leader);
  // The first answer of the resumed leader may be a refusal, but never an older configuration.
  const net::HttpAnswer first = group.Call(leader, GetCall("/v1/config"));
  CHECK((first.status != 200 || NumberOf(first) >= accepted));
  operators.Join();
  for (std::size_t host = 0; host < group.Size(); ++host) {
    CHECK(operators.FindFault(DocumentAt(group, host)) == "");
  }
}

TEST_CASE("the loss of a second host right after the repair of a first loses no accepted change") {
  ControlProcesses group(3);
  group.StartAll();
  const std::size_t leader = group.WaitForLeader();
  const std::size_t repaired = (leader + 1) % group.Size();
  const std::size_t second = (leader + 2) % group.Size();
  const std::string name = group.Options(repaired).node.Value();
  const auto post = [&](const std::string& body) {
    return group
        .Call(second, {.method = "POST",
                       .path = "/v1/members",
                       .headers = {{"Authorization", std::string("Bearer ") + kOperatorKey}},
                       .body = body})
        .status;
  };
  RacingOperators operators(group.Caller(), group.Size(), kOperators, kTeamsPerOperator);
  WaitForPatches(operators, 5);
  group.Kill(repaired);
  std::filesystem::remove_all(group.FolderOf(repaired));
  group.Start(repaired);
  REQUIRE(WaitUntil([&] { return post(R"({"action":"remove","id":")" + name + R"("})") == 200; }));
  REQUIRE(WaitUntil([&] {
    return post(R"({"action":"add","id":")" + name + R"(","address":")" +
                group.Options(repaired).rpc_address + R"("})") == 200;
  }));
  REQUIRE(WaitUntil([&] {
    const std::string status = group.Call(second, GetCall("/v1/status")).body;
    return status.find("\"learners\":[]") != std::string::npos;
  }));
  group.Kill(second);
  operators.Join();
  CHECK(operators.FindFault(DocumentAt(group, leader)) == "");
  CHECK(operators.FindFault(DocumentAt(group, repaired)) == "");
}

}  // namespace
}  // namespace masticrill::control
