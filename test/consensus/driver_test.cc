#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "fakes/storage_memory.h"
#include "masticrill/consensus/replica_driver.h"

namespace masticrill::consensus {
namespace {

struct ManualClock {
  TimePoint now{seconds(1)};
  TimePoint Now() const { return this->now; }
  WallTimeMs WallNow() const { return 0; }
};

struct QueueTransport {
  std::deque<Message>* network;
  void Send(const Message& message) { this->network->push_back(message); }
};

/// A list of the commands applied.
struct ListMachine {
  std::vector<std::string> commands;
  /// Passes while a command is applied.
  Duration cost{0};
  ManualClock* clock = nullptr;
  std::string Apply(Index, const std::string& command) {
    if (this->clock != nullptr) {
      this->clock->now += this->cost;
    }
    this->commands.push_back(command);
    return "applied " + command;
  }
  std::string Snapshot() const {
    std::string text;
    for (const std::string& command : this->commands) {
      text += command + "\n";
    }
    return text;
  }
  void Restore(std::string_view snapshot) {
    this->commands.clear();
    while (!snapshot.empty()) {
      this->commands.emplace_back(snapshot.substr(0, snapshot.find('\n')));
      snapshot.remove_prefix(this->commands.back().size() + 1);
    }
  }
};

using Driver = ReplicaDriver<storage::MemoryLogStorage, QueueTransport, ManualClock, ListMachine>;

struct Host {
  std::unique_ptr<storage::MemoryDisk> disk;
  std::unique_ptr<storage::MemoryLogStorage> storage;
  ListMachine machine;
  std::unique_ptr<Driver> driver;
};

class Drivers {
 public:
  explicit Drivers(std::size_t count) {
    for (std::size_t place = 0; place < count; ++place) {
      const std::string name = std::to_string(place);
      this->hosts["n" + name].disk = std::make_unique<storage::MemoryDisk>("id" + name);
      this->membership.voters.push_back({NodeId("n" + name), DataFolderId("id" + name)});
    }
    for (auto& [name, host] : this->hosts) {
      this->Start(name);
      const bool formed = HandleErrors(
          [&, &formed_host = host]() -> Result<bool> {
            BOOST_LEAF_CHECK(formed_host.driver->Bootstrap(this->membership));
            return true;
          },
          [](const Error&) { return false; });
      REQUIRE(formed);
    }
    this->Run(seconds(3));
  }

  void Start(const std::string& name) {
    Host& host = this->hosts[name];
    host.machine = {};
    host.storage = std::make_unique<storage::MemoryLogStorage>(*host.disk);
    DriverOptions options{.node = NodeId(name)};
    options.snapshot_after_entries = 50;
    options.max_queued_bytes = 1000;
    options.replica.retained_entries = 10;
    host.driver = std::make_unique<Driver>(options, *host.storage, this->transport, this->clock,
                                           host.machine, this->random);
    const bool started = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(host.driver->Start());
          return true;
        },
        [](const Error&) { return false; });
    REQUIRE(started);
  }

  void Run(Duration duration) {
    const TimePoint end = this->clock.now + duration;
    while (this->clock.now < end) {
      this->clock.now += milliseconds(10);
      for (int hop = 0; hop < 3; ++hop) {
        for (auto& [name, host] : this->hosts) {
          host.driver->Tick();
        }
        for (Message& message : std::exchange(this->network, {})) {
          if (message.from.node != this->cut && message.to.node != this->cut) {
            const NodeId from = message.from.node;
            Host& target = this->hosts.at(message.to.node.Value());
            target.driver->OnMessage(from, std::move(message));
          }
        }
      }
    }
  }

  Host& Leader() {
    for (auto& [name, host] : this->hosts) {
      const DriverStatus status = host.driver->Status();
      if (!status.stopped && status.replica.role == Role::kLeader) {
        return host;
      }
    }
    FAIL("There is no leader.");
    return this->hosts.begin()->second;
  }
  Host& Follower() {
    for (auto& [name, host] : this->hosts) {
      if (host.driver->Status().replica.role == Role::kFollower) {
        return host;
      }
    }
    FAIL("There is no follower.");
    return this->hosts.begin()->second;
  }

  ProposalResult Propose(Host& host, const std::string& command) {
    std::optional<ProposalResult> result;
    host.driver->Propose(command, [&](const ProposalResult& given) { result = given; });
    this->Run(seconds(3));
    REQUIRE(result);
    return *result;
  }
  ReadResult Read(Host& host) {
    std::optional<ReadResult> result;
    host.driver->Read([&](const ReadResult& given) { result = given; });
    this->Run(seconds(3));
    REQUIRE(result);
    return *result;
  }

  std::deque<Message> network;
  QueueTransport transport{&this->network};
  ManualClock clock;
  Random random{3};
  Membership membership;
  std::map<std::string, Host> hosts;
  NodeId cut;
};

TEST_CASE("a command is applied on all replicas and its answer is returned") {
  Drivers drivers(3);
  const ProposalResult result = drivers.Propose(drivers.Leader(), "a");
  CHECK(result.outcome == ProposalOutcome::kApplied);
  CHECK(result.answer == "applied a");
  for (const auto& [name, host] : drivers.hosts) {
    CHECK(host.machine.commands == std::vector<std::string>{"a"});
  }
  const ProposalResult refused = drivers.Propose(drivers.Follower(), "b");
  CHECK(refused.outcome == ProposalOutcome::kRejected);
  CHECK(refused.reason == RejectReason::kNotLeader);
  CHECK(refused.leader == drivers.Leader().driver->Status().replica.id.node);
  CHECK_FALSE(drivers.Read(drivers.Follower()).rejected);
}

TEST_CASE("many commands share a sync, and a restart restores snapshot and log") {
  Drivers drivers(3);
  const std::uint64_t syncs = drivers.Leader().driver->Status().counters.syncs;
  int applied = 0;
  for (int round = 0; round < 6; ++round) {
    for (int command = 0; command < 20; ++command) {
      drivers.Leader().driver->Propose(std::to_string(command), [&](const ProposalResult& result) {
        applied += result.outcome == ProposalOutcome::kApplied ? 1 : 0;
      });
    }
    drivers.Run(milliseconds(100));
  }
  CHECK(applied == 120);
  const DriverStatus status = drivers.Leader().driver->Status();
  CHECK(status.counters.syncs - syncs <= 10);
  CHECK(status.counters.snapshots_taken == 2);
  const std::vector<std::string> commands = drivers.Leader().machine.commands;
  for (auto& [name, host] : drivers.hosts) {
    host.disk->Crash(drivers.random);
    drivers.Start(name);
  }
  drivers.Run(seconds(3));
  for (const auto& [name, host] : drivers.hosts) {
    CHECK(host.machine.commands == commands);
  }
}

TEST_CASE("after a restart of all, a long log that is slow to apply costs no second election") {
  Drivers drivers(3);
  for (int number = 0; number < 40; ++number) {
    drivers.Propose(drivers.Leader(), "c" + std::to_string(number));
  }
  for (auto& [name, host] : drivers.hosts) {
    drivers.Start(name);
    host.machine.clock = &drivers.clock;
    host.machine.cost = milliseconds(60);
  }
  drivers.Run(seconds(4));
  const Term term = drivers.Leader().driver->Status().replica.term;
  drivers.Run(seconds(20));
  CHECK(drivers.Leader().driver->Status().replica.term == term);
  for (auto& [name, host] : drivers.hosts) {
    CHECK(host.machine.commands.size() == 40);
  }
}

TEST_CASE("a proposal at a leader that loses its quorum has an unknown outcome") {
  Drivers drivers(3);
  Host& stale = drivers.Leader();
  drivers.cut = stale.driver->Status().replica.id.node;
  CHECK(drivers.Propose(stale, "lost").outcome == ProposalOutcome::kUnknown);
  CHECK(drivers.Read(stale).rejected);
  drivers.cut = NodeId();
  drivers.Run(seconds(3));
  CHECK(drivers.Propose(drivers.Leader(), "kept").outcome == ProposalOutcome::kApplied);
  for (const auto& [name, host] : drivers.hosts) {
    CHECK(host.machine.commands == std::vector<std::string>{"kept"});
  }
}

TEST_CASE("a storage error stops the replica for good and the others go on") {
  Drivers drivers(3);
  Host& failing = drivers.Leader();
  failing.disk->failing_call = failing.disk->calls + 1;
  CHECK(drivers.Propose(failing, "a").outcome == ProposalOutcome::kUnknown);
  const DriverStatus status = failing.driver->Status();
  REQUIRE(status.stopped);
  CHECK(status.stopped->kind == ErrorKind::kStorageFailed);
  CHECK(status.replica.role == Role::kFollower);
  CHECK_FALSE(status.replica.quorum_confirmed_at);
  const ProposalResult after = drivers.Propose(failing, "b");
  CHECK(after.outcome == ProposalOutcome::kRejected);
  CHECK(after.reason == RejectReason::kStopped);
  CHECK(drivers.Read(failing).rejected == RejectReason::kStopped);
  CHECK(drivers.Propose(drivers.Leader(), "c").outcome == ProposalOutcome::kApplied);
}

TEST_CASE("a full queue rejects at once") {
  Drivers drivers(1);
  std::optional<ProposalResult> result;
  drivers.Leader().driver->Propose(std::string(1001, 'x'),
                                   [&](const ProposalResult& given) { result = given; });
  REQUIRE(result);
  CHECK(result->reason == RejectReason::kOverloaded);
  CHECK(drivers.Leader().driver->Rejections().Get(RejectReason::kOverloaded) == 1);
}

TEST_CASE("a group is formed only from empty storage") {
  Drivers drivers(3);
  const std::optional<Error> error = HandleErrors(
      [&]() -> Result<std::optional<Error>> {
        BOOST_LEAF_CHECK(drivers.Leader().driver->Bootstrap(drivers.membership));
        return std::optional<Error>();
      },
      [](const Error& given) { return std::optional<Error>(given); });
  REQUIRE(error);
  CHECK(error->kind == ErrorKind::kConflict);
}

TEST_CASE("a bootstrap that was cut short at any call can be repeated") {
  for (std::uint64_t call = 1; call <= 3; ++call) {
    storage::MemoryDisk disk("id0");
    std::deque<Message> network;
    QueueTransport transport{&network};
    const ManualClock clock;
    Random random(call);
    ListMachine machine;
    Membership membership;
    membership.voters = {{NodeId("n0"), DataFolderId("id0")}};
    const auto bootstraps = [&] {
      storage::MemoryLogStorage storage(disk);
      Driver driver({.node = NodeId("n0")}, storage, transport, clock, machine, random);
      return HandleErrors(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(driver.Start());
            // A crash after the last call may leave the whole of it.
            if (driver.IsEmpty()) {
              BOOST_LEAF_CHECK(driver.Bootstrap(membership));
            }
            return true;
          },
          [](const Error&) { return false; });
    };
    disk.failing_call = 1 + call;
    CHECK_FALSE(bootstraps());
    disk.Crash(random);
    CHECK(bootstraps());
    CHECK(disk.entries.size() == 1);
  }
}

}  // namespace
}  // namespace masticrill::consensus
