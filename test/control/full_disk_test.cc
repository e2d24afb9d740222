#include <doctest/doctest.h>

#include <filesystem>
#include <optional>

#include "fakes/control_cluster.h"
#include "masticrill/control/storage_wait.h"

namespace masticrill::control {
namespace {

/// How the disk of a host refuses a file that is replaced. Syncing a device without storage fails.
enum class Refusal { kWrite, kSync };

/// Makes a host's next snapshot and the check of its folder fail until it is destroyed.
class FullDisk {
 public:
  FullDisk(const std::string& folder, Refusal refusal)
      : file(folder + "/replica/snapshot.tmp"), obstacle(folder + "/write_check.new") {
    const char* const device = refusal == Refusal::kWrite ? "/dev/full" : "/dev/null";
    // The replica may be writing the file at this moment.
    Require(WaitUntil([&] {
              std::error_code error;
              std::filesystem::create_symlink(device, this->file, error);
              return !error;
            }),
            "The snapshot's temporary file stays.");
    std::filesystem::create_directory(this->obstacle);
  }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;
  ~FullDisk() {
    std::error_code error;
    std::filesystem::remove(this->file, error);
    std::filesystem::remove(this->obstacle, error);
  }

 private:
  std::filesystem::path file;
  std::filesystem::path obstacle;
};

ControlTimings FrequentSnapshots() {
  ControlTimings timings;
  timings.snapshot_after_entries = 5;
  return timings;
}

/// Commits one change after the other, each through any host that takes it.
class Changes {
 public:
  explicit Changes(ControlCluster& cluster) : cluster(cluster) {}

  bool Commit(std::size_t host) {
    const std::string team = "t-" + std::to_string(this->number);
    const net::HttpAnswer answer =
        this->cluster.Call(host, PatchCall(this->number, team, TeamPatch(team)));
    this->number += answer.status == 200 ? 1 : 0;
    return answer.status == 200;
  }
  bool CommitAnywhere() {
    for (std::size_t host = 0; host < this->cluster.Size(); ++host) {
      if (this->Commit(host)) {
        return true;
      }
    }
    return false;
  }
  /// Whether a host's configuration has every change that was accepted.
  bool AllAt(std::size_t host) {
    const net::HttpAnswer answer = this->cluster.Call(host, GetCall("/v1/config"));
    for (std::uint64_t each = 1; each < this->number; ++each) {
      if (answer.body.find("\"t-" + std::to_string(each) + "\"") == std::string::npos) {
        return false;
      }
    }
    return answer.status == 200;
  }

 private:
  ControlCluster& cluster;
  std::uint64_t number = 1;
};

/// Fills the disk of a host under changes until its replica stops, frees it and restarts the host.
void FillAndFree(ControlCluster& cluster, Changes& changes, std::size_t host, Refusal refusal) {
  {
    const FullDisk full(cluster.FolderOf(host), refusal);
    REQUIRE(WaitUntil([&] {
      changes.CommitAnywhere();
      return cluster.Call(host, GetCall("/healthz")).status == 503;
    }));
    CHECK_FALSE(cluster.At(host).NeedsRestart());
  }
  REQUIRE(cluster.At(host).NeedsRestart());
  cluster.Crash(host);
  cluster.Start(host);
}

// Failure: a replica whose sync failed never takes part again, and two such hosts, one after the
// other, leave the group without a majority while every process runs.
TEST_CASE("changes are accepted after the disks of all hosts were full in turn at a sync") {
  ControlCluster cluster(3, FrequentSnapshots());
  cluster.StartAll();
  Changes changes(cluster);
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    FillAndFree(cluster, changes, host, Refusal::kSync);
  }
  CHECK(WaitUntil([&] { return changes.CommitAnywhere(); }));
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    CHECK(WaitUntil([&] { return changes.AllAt(host); }));
  }
}

// Failure: the same, where the disks refuse writes.
TEST_CASE("changes are accepted after the disks of all hosts refused writes in turn") {
  ControlCluster cluster(3, FrequentSnapshots());
  cluster.StartAll();
  Changes changes(cluster);
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    FillAndFree(cluster, changes, host, Refusal::kWrite);
  }
  CHECK(WaitUntil([&] { return changes.CommitAnywhere(); }));
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    CHECK(WaitUntil([&] { return changes.AllAt(host); }));
  }
}

// Failure: a host whose disk is full while it starts ends its process, or leaves operators without
// an answer until there is room.
TEST_CASE("a host whose data folder refuses writes rejects operators until it can start") {
  ControlCluster cluster(3, FrequentSnapshots());
  cluster.StartAll();
  Changes changes(cluster);
  const std::size_t host = cluster.Follower();
  cluster.Crash(host);
  const std::filesystem::path folder = cluster.FolderOf(host);
  // A folder that cannot be removed as a file in the place of a temporary file.
  const std::filesystem::path obstacle = folder / "replica" / "snapshot.tmp";
  std::filesystem::create_directories(obstacle);
  const std::filesystem::path check = folder / "write_check.new";
  std::filesystem::create_directory(check);
  const std::optional<Error> error = HandleErrors(
      [&]() -> Result<std::optional<Error>> {
        BOOST_LEAF_AUTO(server, ControlServer::Start(cluster.Options(host)));
        server->Stop();
        return std::optional<Error>();
      },
      [](const Error& failure) { return std::optional<Error>(failure); });
  REQUIRE(error);
  CHECK(StorageWait::IsRemedy(*error));
  {
    const std::unique_ptr<StorageWait> wait =
        HandleErrors([&] { return StorageWait::Start(cluster.Options(host)); },
                     [](const Error&) { return std::unique_ptr<StorageWait>(); });
    REQUIRE(wait);
    CHECK_FALSE(wait->TakesWrites());
    const net::HttpAnswer answer = HandleErrors(
        [&] {
          net::HttpClient client(wait->HttpAddress(), {});
          return client.Call(PatchCall(1, "p-1", TeamPatch("one")));
        },
        [](const Error&) { return net::HttpAnswer{.status = 0, .headers = {}, .body = ""}; });
    CHECK(answer.status == 503);
    std::filesystem::remove(check);
    CHECK(wait->TakesWrites());
  }
  // The check may pass while the start still fails.
  CHECK(cluster.TryStart(host) != "");
  std::filesystem::remove(obstacle);
  CHECK(cluster.TryStart(host) == "");
  CHECK(WaitUntil([&] { return changes.Commit(host); }));
}

}  // namespace
}  // namespace masticrill::control
