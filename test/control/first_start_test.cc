#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "fakes/control_cluster.h"
#include "masticrill/common/random.h"

namespace masticrill::control {
namespace {

/// A group that is started for the first time, of hosts that may be killed on the way. A host that
/// comes back is told that the group exists, as it is on the platform.
class FirstStart {
 public:
  explicit FirstStart(std::size_t count) : cluster(count), was_started(count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->cluster.Options(index).auto_join = true;
    }
  }

  void Start(std::size_t host) {
    this->cluster.Options(host).join = this->was_started[host];
    this->was_started[host] = true;
    this->cluster.Start(host);
  }
  void Kill(std::size_t host) { this->cluster.Crash(host); }
  void LoseDisk(std::size_t host) const {
    std::filesystem::remove_all(this->cluster.FolderOf(host));
  }

  /// Whether all hosts, which run now, get to one group in which one of them leads.
  bool Forms() {
    return WaitUntil([&] { return this->cluster.AllReady() && this->cluster.AllConfigured(); });
  }
  bool HasOneGroup() {
    std::size_t leaders = 0;
    for (std::size_t host = 0; host < this->cluster.Size(); ++host) {
      leaders += this->cluster.At(host).IsLeader() ? 1 : 0;
    }
    return leaders == 1;
  }

 private:
  ControlCluster cluster;
  std::vector<bool> was_started;
};

// Guards against a system that never starts, since the host that should form the group was killed
// during the first start and waits, after its restart, for a group that does not exist.
TEST_CASE("a group forms whichever host is killed before it has formed") {
  for (const std::size_t killed : {0, 1, 2}) {
    for (const bool loses_disk : {false, true}) {
      CAPTURE(killed);
      CAPTURE(loses_disk);
      FirstStart group(3);
      const std::size_t last = killed == 2 ? 1 : 2;
      for (const std::size_t host : {0, 1, 2}) {
        if (host != last) {
          group.Start(host);
        }
      }
      group.Kill(killed);
      if (loses_disk) {
        group.LoseDisk(killed);
      }
      group.Start(last);
      group.Start(killed);
      CHECK(group.Forms());
      CHECK(group.HasOneGroup());
    }
  }
}

TEST_CASE("a group forms if all of its hosts are killed before it has formed") {
  FirstStart group(3);
  for (const std::size_t host : {0, 1}) {
    group.Start(host);
  }
  for (const std::size_t host : {0, 1}) {
    group.Kill(host);
  }
  group.Start(2);
  group.Kill(2);
  for (const std::size_t host : {2, 1, 0}) {
    group.Start(host);
  }
  CHECK(group.Forms());
  CHECK(group.HasOneGroup());
}

TEST_CASE("a group forms after any order of starts and kills") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    CAPTURE(seed);
    constexpr std::size_t kHosts = 3;
    Random random(seed);
    FirstStart group(kHosts);
    std::vector<bool> runs(kHosts);
    for (int step = 0; step < 8; ++step) {
      const auto host = static_cast<std::size_t>(random.Uniform() * kHosts);
      if (runs[host]) {
        group.Kill(host);
      } else {
        group.Start(host);
      }
      runs[host] = !runs[host];
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (!runs[host]) {
        group.Start(host);
      }
    }
    CHECK(group.Forms());
    CHECK(group.HasOneGroup());
  }
}

}  // namespace
}  // namespace masticrill::control
