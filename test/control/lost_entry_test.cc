#include <doctest/doctest.h>

#include "control/node_activity_tracker.h"
#include "control/node_registry.h"
#include "fakes/control_cluster.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

constexpr Duration kSilence = seconds(60);

net::NodeReport Report(const std::string& node, const std::string& incarnation,
                       std::uint64_t started_at_ms, std::int64_t age_ms,
                       net::NodeRole role = net::NodeRole::kEntry) {
  net::NodeReport report;
  report.node = NodeId(node);
  report.role = role;
  report.incarnation = IncarnationId(incarnation);
  report.started_at_ms = started_at_ms;
  report.age_ms = age_ms;
  return report;
}

struct LostCase {
  const char* name;
  std::vector<net::NodeReport> reports;
  std::vector<std::string> lost;
};

TEST_CASE("an incarnation of an entry is lost once it is silent or replaced") {
  const std::vector<LostCase> cases = {
      {"an entry that requests leases", {Report("e", "a", 1, 900)}, {}},
      {"an entry without a request for longer than the time-out",
       {Report("e", "a", 1, 61'000)},
       {"a"}},
      {"an incarnation that a later one replaced",
       {Report("e", "a", 1, 5'000), Report("e", "b", 2, 10)},
       {"a"}},
      {"a replaced incarnation that may still hold its lease",
       {Report("e", "a", 1, 3'000), Report("e", "b", 2, 10)},
       {}},
      {"a later incarnation that has stopped requesting leases",
       {Report("e", "a", 1, 5'000), Report("e", "b", 2, 9'000)},
       {"a"}},
      {"without start times the incarnation with the younger report is the later one",
       {Report("e", "a", 0, 5'000), Report("e", "b", 0, 10)},
       {"a"}},
      {"an incarnation of another node does not count",
       {Report("e", "a", 1, 5'000), Report("f", "b", 2, 10)},
       {}},
      {"a sidecar is no entry", {Report("s", "a", 1, 61'000, net::NodeRole::kSidecar)}, {}},
  };
  for (const LostCase& row : cases) {
    CAPTURE(row.name);
    std::vector<std::string> lost;
    for (const NodeIncarnation& incarnation : FindLostEntries(row.reports, kSilence)) {
      lost.push_back(incarnation.incarnation.Value());
    }
    CHECK(lost == row.lost);
  }
}

TEST_CASE("a control host that fails to report makes no entry seem lost") {
  NodeActivityTracker tracker;
  const TimePoint start{};
  // The last request to this host was before the entry failed over to another control host.
  const net::NodeReport old_report = Report("e", "a", 1, 300'000);
  tracker.Observe({old_report}, start);
  CHECK(tracker.LostEntries(kSilence, start).empty());
  tracker.Observe({Report("e", "a", 1, 100)}, start + seconds(50));
  tracker.Observe({old_report}, start + seconds(70));
  CHECK(tracker.LostEntries(kSilence, start + seconds(70)).empty());
  // The entry has now been observed without a request for the whole time-out.
  CHECK(tracker.LostEntries(kSilence, start + seconds(111)).size() == 1);
  tracker.Clear();
  CHECK(tracker.LostEntries(kSilence, start + seconds(111)).empty());
}

TEST_CASE("the number in force everywhere is the lowest at nodes that may hold a lease") {
  net::NodeReport current = Report("a", "a", 1, 100);
  current.known_number = 7;
  net::NodeReport behind = Report("b", "b", 1, 3'900);
  behind.known_number = 5;
  net::NodeReport silent = Report("c", "c", 1, 4'001);
  silent.known_number = 2;
  CHECK(NumberInForceEverywhere({}, 7) == 7);
  CHECK(NumberInForceEverywhere({current, silent}, 7) == 7);
  CHECK(NumberInForceEverywhere({current, behind, silent}, 7) == 5);
}

/// Sends commands of an entry to a control host and returns their decoded results.
std::vector<state::CommandResult> Commit(const std::string& address,
                                         const std::vector<state::Command>& commands) {
  net::RpcClient client(address, NodeCredentials("entry-1"), {});
  net::ProposeRequest request;
  for (const state::Command& command : commands) {
    request.commands.push_back(state::EncodeCommand(command));
  }
  return HandleErrors(
      [&]() -> Result<std::vector<state::CommandResult>> {
        BOOST_LEAF_AUTO(reply, client.Call<net::ProposeReply>(request, kGenerous));
        std::vector<state::CommandResult> results;
        for (const std::string& encoded : reply.results) {
          BOOST_LEAF_AUTO(result, state::DecodeResult(encoded));
          results.push_back(std::move(result));
        }
        return results;
      },
      [](const Error&) { return std::vector<state::CommandResult>(); });
}

state::RecordOutcomes FirstReport(const std::string& incarnation) {
  state::RecordOutcomes report;
  report.entry = NodeId("entry-1");
  report.incarnation = IncarnationId(incarnation);
  report.report = 1;
  report.received = {{{TeamId("guild"), RequestClass::kBrief}, 3}};
  report.at = SystemClock().WallNow();
  return report;
}

TEST_CASE("a follower commits an entry's commands in order through the leader") {
  ControlCluster cluster(3);
  cluster.StartAll();
  state::RecordOutcomes second = FirstReport("i-1");
  second.report = 2;
  const auto results =
      Commit(cluster.At(cluster.Follower()).RpcAddress(), {FirstReport("i-1"), second});
  REQUIRE(results.size() == 2);
  for (const state::CommandResult& result : results) {
    REQUIRE(std::holds_alternative<state::ReportResult>(result));
    CHECK(std::get<state::ReportResult>(result).status == state::ReportStatus::kRecorded);
  }
}

TEST_CASE("a lost entry is closed once, and its later reports are answered with kClosed") {
  ControlTimings timings;
  timings.lost_entry_timeout = milliseconds(1500);
  timings.upkeep_interval = milliseconds(100);
  ControlCluster cluster(3, timings);
  cluster.StartAll();
  const std::size_t follower = cluster.Follower();
  const std::string address = cluster.At(follower).RpcAddress();
  REQUIRE(Commit(address, {FirstReport("i-1")}).size() == 1);
  net::RpcClient client(address, NodeCredentials("entry-1"), {});
  net::LeaseRequest request;
  request.node = NodeId("entry-1");
  request.incarnation = IncarnationId("i-1");
  request.started_at_ms = 1;
  HandleErrors([&] { return client.Call<net::LeaseReply>(request, kGenerous); },
               [](const Error&) { return net::LeaseReply(); });

  const std::size_t leader = cluster.Leader();
  const auto metric = [&](const std::string& name) {
    const std::string text = cluster.Call(leader, GetCall("/metrics")).body;
    const std::size_t place = text.find("\nmasticrill_control_" + name + "_total ");
    return place == std::string::npos ? 0 : std::stoull(text.substr(text.find(' ', place)));
  };
  REQUIRE(WaitUntil([&] { return metric("closed_incarnations") == 1; }));
  const std::string ledger = cluster.Call(leader, GetCall("/v1/ledger")).body;
  CHECK(ledger.find("\"failed_entry_lost\":3") != std::string::npos);
  CHECK(ledger.find("\"open\":0") != std::string::npos);
  CHECK(ledger.find("\"intact\":true") != std::string::npos);

  state::RecordOutcomes late = FirstReport("i-1");
  late.report = 2;
  const auto results = Commit(address, {late, FirstReport("i-2")});
  REQUIRE(results.size() == 2);
  CHECK(std::get<state::ReportResult>(results[0]).status == state::ReportStatus::kClosed);
  CHECK(std::get<state::ReportResult>(results[1]).status == state::ReportStatus::kRecorded);
  // The entry still requests no lease, but is not closed again.
  const std::uint64_t rounds = metric("upkeep_rounds");
  REQUIRE(WaitUntil([&] { return metric("upkeep_rounds") >= rounds + 3; }));
  CHECK(metric("closed_incarnations") == 1);
}

}  // namespace
}  // namespace masticrill::control
