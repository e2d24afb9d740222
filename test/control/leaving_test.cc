#include <doctest/doctest.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "fakes/control_cluster.h"
#include "fakes/control_operators.h"

namespace masticrill::control {
namespace {

std::set<std::string> VotersAt(ControlCluster& cluster, std::size_t index) {
  const auto status =
      nlohmann::json::parse(cluster.Call(index, GetCall("/v1/status")).body, nullptr, false);
  std::set<std::string> voters;
  if (status.is_object() && status.contains("replica")) {
    for (const auto& voter : status.at("replica").at("voters")) {
      voters.insert(voter.at("node").get<std::string>());
    }
  }
  return voters;
}

/// A group of three with a successor that votes beside them. No voter is demoted for its silence.
class GroupOfFour {
 public:
  GroupOfFour() : cluster(3, PatientTimings()) {
    for (std::size_t index = 0; index < this->cluster.Size(); ++index) {
      this->cluster.Options(index).auto_join = true;
    }
    this->cluster.StartAll();
    const std::size_t successor = this->cluster.AddJoining("c-new");
    this->cluster.Start(successor);
    Require(WaitUntil([&] { return this->Voters().size() == 4; }), "The successor has no vote.");
  }

  /// Stops a host as planned and ends it for good. Returns its name.
  std::string Stop(std::size_t host) {
    const std::string name = this->cluster.Options(host).node.Value();
    this->cluster.At(host).Stop();
    this->cluster.Crash(host);
    return name;
  }
  /// The host is killed, and comes back with an empty disk.
  void LoseDisk(std::size_t host) {
    this->cluster.Crash(host);
    std::filesystem::remove_all(this->cluster.FolderOf(host));
    this->cluster.Options(host).join = true;
    this->cluster.Start(host);
  }
  std::set<std::string> Voters() { return VotersAt(this->cluster, this->cluster.WaitForLeader()); }

  ControlCluster cluster;

 private:
  static ControlTimings PatientTimings() {
    ControlTimings timings;
    timings.demote_surplus_voter_after = std::chrono::hours(1);
    timings.demote_voter_after = std::chrono::hours(1);
    return timings;
  }
};

// Guards against a host that was replaced as planned and still counts as a voter when the next disk
// is lost.
TEST_CASE("a host that stops as planned gives its vote up before it ends") {
  for (const bool leads : {false, true}) {
    CAPTURE(leads);
    GroupOfFour group;
    const std::size_t stopped = leads ? group.cluster.WaitForLeader() : group.cluster.Follower();
    CHECK(group.cluster.Call(stopped, PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
    const std::string name = group.Stop(stopped);
    REQUIRE(group.Voters().size() == 3);
    CHECK_FALSE(group.Voters().contains(name));
    group.LoseDisk(group.cluster.Follower());
    REQUIRE(WaitUntil([&] { return group.cluster.AllReady(); }));
    CHECK(HasTeam(group.cluster.Call(3, GetCall("/v1/config")).body, "kept"));
  }
}

// Guards against a group of three that a plain restart shrinks: the loss of the second disk while
// the first host is away then leaves nothing.
TEST_CASE("a voter of an odd group without a successor keeps its vote over a planned stop") {
  ControlCluster cluster(3);
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).auto_join = true;
  }
  cluster.StartAll();
  const std::size_t stopped = cluster.Follower();
  const SystemClock clock;
  const TimePoint asked_at = clock.Now();
  cluster.At(stopped).Stop();
  CHECK(clock.Now() - asked_at < cluster.Options(stopped).timings.leave_timeout);
  CHECK(VotersAt(cluster, cluster.WaitForLeader()).size() == 3);
}

TEST_CASE("a stop without a leader ends within its bound") {
  ControlCluster cluster(3);
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).auto_join = true;
  }
  cluster.StartAll();
  const std::size_t stopped = cluster.Follower();
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    if (index != stopped) {
      cluster.Crash(index);
    }
  }
  const SystemClock clock;
  const TimePoint asked_at = clock.Now();
  cluster.At(stopped).Stop();
  const ControlTimings& timings = cluster.Options(stopped).timings;
  CHECK(clock.Now() - asked_at < timings.leadership_transfer_timeout + 2 * timings.leave_timeout);
}

}  // namespace
}  // namespace masticrill::control
