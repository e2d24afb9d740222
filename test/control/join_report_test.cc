#include "control/join_report.h"

#include <doctest/doctest.h>

namespace masticrill::control {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));

const Error kNotLeader = {ErrorKind::kNotLeader, "The group is electing."};
const Error kUnavailable = {ErrorKind::kUnavailable, "The connection was refused."};

// Join requests that every asked host refused with not_leader were not logged.
TEST_CASE("join requests refused with not_leader are told once and then every ten seconds") {
  JoinReport report;
  std::vector<std::string> lines;
  for (int round = 0; round <= 70; ++round) {
    report.Refuse(NodeId("a"), kNotLeader);
    report.Refuse(NodeId("b"), kNotLeader);
    if (auto line = report.EndRound(kStart + round * milliseconds(300))) {
      lines.push_back(std::move(*line));
    }
  }
  REQUIRE(lines.size() == 3);
  CHECK(lines.front() == "a: not_leader, b: not_leader. The group is electing.");
  CHECK(report.Counts().Get(JoinResult::kNotLeader) == 142);
}

TEST_CASE("a change of the causes is told, with the message of the most telling one") {
  JoinReport report;
  report.Refuse(NodeId("a"), kNotLeader);
  CHECK(report.EndRound(kStart).has_value());
  report.Refuse(NodeId("a"), kNotLeader);
  report.Refuse(NodeId("b"), kUnavailable);
  CHECK_FALSE(report.EndRound(kStart + milliseconds(300)).has_value());
  report.Refuse(NodeId("a"), kNotLeader);
  report.Refuse(NodeId("b"), kUnavailable);
  CHECK(report.EndRound(kStart + seconds(1)) ==
        "a: not_leader, b: unreachable. The connection was refused.");
  report.Accept();
  CHECK(report.Counts().Get(JoinResult::kAccepted) == 1);
  report.Refuse(NodeId("a"), kNotLeader);
  CHECK(report.EndRound(kStart + milliseconds(1100)).has_value());
}

TEST_CASE("a replica that knows no other host tells it") {
  JoinReport report;
  CHECK(report.EndRound(kStart) == "No other control host is known.");
}

TEST_CASE("the causes have a bounded length") {
  JoinReport report;
  for (int host = 0; host < 100; ++host) {
    report.Refuse(NodeId(std::to_string(host) + std::string(1000, 'n')),
                  {ErrorKind::kInternal, std::string(10'000, 'm')});
  }
  const std::optional<std::string> line = report.EndRound(kStart);
  REQUIRE(line.has_value());
  CHECK(line.value_or("").size() <= 800);
}

}  // namespace
}  // namespace masticrill::control
