#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes/consensus_group.h"
#include "masticrill/common/metrics.h"
#include "masticrill/consensus/replica_driver.h"
#include "masticrill/storage/file_log_storage.h"

/// Measures the replicated log: commits a second, restart, elections and idle traffic.
namespace masticrill::consensus {
namespace {

constexpr double kRequestsPerSecond = 1900;
constexpr double kRecordsPerRequest = 4;
constexpr double kHeadroom = 4;
constexpr double kTargetRecordsPerSecond = kRequestsPerSecond * kRecordsPerRequest * kHeadroom;
constexpr double kNodeBytesPerSecond = 9000;
constexpr std::size_t kRecordBytes = 200;
constexpr int kOutstanding = 4096;
constexpr auto kCommitTime = seconds(4);

using Storage = storage::FileLogStorage<storage::PosixFiles>;

struct CountMachine {
  std::uint64_t count = 0;
  std::string Apply(Index, const std::string&) {
    ++this->count;
    return {};
  }
  std::string Snapshot() const { return std::to_string(this->count); }
  void Restore(std::string_view snapshot) { this->count = std::stoull(std::string(snapshot)); }
};

class Process;

/// Encodes and decodes each message, as between hosts, but hands it over in memory.
class CodecTransport {
 public:
  void Send(const Message& message);

  std::map<NodeId, Process*> peers;
  std::atomic<std::uint64_t> bytes = 0;
};

using Driver = ReplicaDriver<Storage, CodecTransport, SystemClock, CountMachine>;

std::filesystem::path NewFolder() {
  return std::filesystem::temp_directory_path() / ("masticrill-bench-" + SecureRandomHex(8));
}

/// Whether the function succeeded; otherwise prints the error.
template <typename Function>
bool Succeeds(const Function& function) {
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(function());
        return true;
      },
      [](const Error& error) {
        std::printf("failed: %s\n", error.message.c_str());
        return false;
      });
}

/// One replica with its files and its thread.
class Process {
 public:
  Process(const std::string& name, CodecTransport& transport)
      : folder(NewFolder()),
        storage({this->folder.string()}, this->files),
        random(Random::FromSystem()),
        driver({.node = NodeId(name)}, this->storage, transport, this->clock, this->machine,
               this->random) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    this->Stop();
    std::filesystem::remove_all(this->folder);
  }

  bool Load() {
    return Succeeds([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(this->id, this->driver.Start());
      return {};
    });
  }
  void Run(const Membership& membership) {
    Succeeds([&] { return this->driver.Bootstrap(membership); });
    this->thread = std::thread([this] {
      while (!this->stopping) {
        this->driver.WaitForWork(milliseconds(10));
        this->driver.Tick();
      }
    });
  }
  void Stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::filesystem::path folder;
  storage::PosixFiles files;
  Storage storage;
  SystemClock clock;
  CountMachine machine;
  Random random;
  Driver driver;
  ReplicaId id;

 private:
  std::thread thread;
  std::atomic<bool> stopping = false;
};

void CodecTransport::Send(const Message& message) {
  const std::string bytes = EncodeMessage(message);
  this->bytes += bytes.size();
  Process& peer = *this->peers.at(message.to.node);
  Succeeds([&]() -> Result<void> {
    BOOST_LEAF_AUTO(decoded, DecodeMessage(bytes));
    peer.driver.OnMessage(message.from.node, std::move(decoded));
    return {};
  });
}

/// Proposes a record and, when it is applied, the next one.
class Load {
 public:
  explicit Load(Driver& driver) : driver(driver) {}

  void Propose() {
    const TimePoint begin = this->clock.Now();
    this->driver.Propose(std::string(kRecordBytes, 'x'), [this, begin](const auto& result) {
      if (result.outcome == ProposalOutcome::kApplied) {
        ++this->committed;
        this->latency.Record(this->clock.Now() - begin);
      }
      if (!this->stopping) {
        this->Propose();
      } else {
        --this->open;
      }
    });
  }

  std::atomic<std::uint64_t> committed = 0;
  std::atomic<bool> stopping = false;
  std::atomic<int> open = kOutstanding;
  LatencySummary latency;

 private:
  Driver& driver;
  SystemClock clock;
};

bool MeasureCommits(std::size_t replicas) {
  CodecTransport transport;
  std::vector<std::unique_ptr<Process>> processes;
  Membership membership;
  for (std::size_t place = 0; place < replicas; ++place) {
    processes.push_back(std::make_unique<Process>("n" + std::to_string(place), transport));
    if (!processes.back()->Load()) {
      return false;
    }
    transport.peers[processes.back()->id.node] = processes.back().get();
    membership.voters.push_back(processes.back()->id);
  }
  for (const auto& process : processes) {
    process->Run(membership);
  }
  Process* leader = nullptr;
  while (leader == nullptr) {
    std::this_thread::sleep_for(milliseconds(10));
    for (const auto& process : processes) {
      if (process->driver.Status().replica.quorum_confirmed_at) {
        leader = process.get();
      }
    }
  }
  Load load(leader->driver);
  const std::uint64_t syncs_before = leader->driver.Status().counters.syncs;
  const std::uint64_t sent_before = transport.bytes;
  const SystemClock clock;
  const TimePoint begin = clock.Now();
  for (int record = 0; record < kOutstanding; ++record) {
    load.Propose();
  }
  std::this_thread::sleep_for(kCommitTime);
  const auto committed = static_cast<double>(load.committed.load());
  const double elapsed = std::chrono::duration<double>(clock.Now() - begin).count();
  load.stopping = true;
  while (load.open > 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  const DriverStatus status = leader->driver.Status();
  for (const auto& process : processes) {
    process->Stop();
  }
  const auto all = static_cast<double>(load.committed.load());
  const auto written = static_cast<double>(leader->storage.LogBytesWritten());
  const auto sent = static_cast<double>(transport.bytes - sent_before);
  const auto syncs = static_cast<double>(status.counters.syncs - syncs_before);
  const LatencySummary::Quantiles latency = load.latency.Read();
  const double rate = committed / elapsed;
  std::printf("%8zu %12.0f %10.1f %10.1f %12.1f %9.2f %9.2f  %s\n", replicas, rate, written / all,
              sent / all, all / syncs, latency.p50_seconds * 1e3, latency.p99_seconds * 1e3,
              rate >= kTargetRecordsPerSecond ? "pass" : "FAIL");
  return rate >= kTargetRecordsPerSecond;
}

void MeasureRestart(Index records) {
  const std::filesystem::path folder = NewFolder();
  {
    storage::PosixFiles files;
    Storage storage({folder.string()}, files);
    Succeeds([&]() -> Result<void> {
      BOOST_LEAF_CHECK(storage.Load());
      BOOST_LEAF_CHECK(storage.SaveHardState({1, {}}));
      std::vector<LogEntry> entries;
      for (Index index = 1; index <= records; ++index) {
        entries.push_back({index, 1, EntryKind::kCommand, std::string(kRecordBytes, 'x')});
      }
      BOOST_LEAF_CHECK(storage.Append(entries));
      return storage.Sync();
    });
  }
  storage::PosixFiles files;
  Storage storage({folder.string()}, files);
  const SystemClock clock;
  CodecTransport transport;
  CountMachine machine;
  Random random(1);
  Driver driver({.node = NodeId("n0")}, storage, transport, clock, machine, random);
  const TimePoint begin = clock.Now();
  Succeeds([&]() -> Result<void> {
    BOOST_LEAF_CHECK(driver.Start());
    return {};
  });
  const double elapsed = std::chrono::duration<double>(clock.Now() - begin).count();
  std::printf("%8llu %12.2f\n", static_cast<unsigned long long>(records), elapsed * 1e3);
  std::filesystem::remove_all(folder);
}

void MeasureElection(std::size_t replicas) {
  constexpr std::uint64_t kSeeds = 200;
  std::vector<double> times;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    Group group(replicas, 0, seed, {}, ReplicaOptions());
    while (group.Leader() == nullptr) {
      group.RunSoundly(milliseconds(2));
    }
    group.RunSoundly(milliseconds(500));
    Group::Host* const lost = group.Leader();
    const TimePoint lost_at = group.now;
    group.Crash(*lost);
    const auto elected = [&] {
      const Group::Host* const leader = group.Leader();
      return leader != nullptr && leader->replica->Status().quorum_confirmed_at;
    };
    while (!elected()) {
      group.RunSoundly(milliseconds(2));
    }
    times.push_back(std::chrono::duration<double, std::milli>(group.now - lost_at).count());
  }
  std::sort(times.begin(), times.end());
  std::printf("%8zu %10.0f %10.0f %10.0f\n", replicas, times[kSeeds / 2], times[kSeeds * 95 / 100],
              times.back());
}

/// The size of the message with names as long as those of real hosts.
double SizeWithRealNames(Message message) {
  const ReplicaId name{NodeId("control-north-a"), DataFolderId("0123456789abcdef")};
  message.from = name;
  message.to = name;
  return static_cast<double>(EncodeMessage(message).size());
}

bool MeasureIdle(std::size_t replicas) {
  constexpr int kSeconds = 20;
  Group group(replicas, 0, 1, {}, ReplicaOptions());
  group.RunSoundly(seconds(5));
  const ReplicaId leader = group.Leader()->Id();
  std::map<ReplicaId, double> bytes;
  double messages = 0;
  group.on_send = [&](const Message& message) {
    const double size = SizeWithRealNames(message);
    bytes[message.from] += size;
    bytes[message.to] += size;
    ++messages;
  };
  group.RunSoundly(seconds(kSeconds));
  double follower_bytes = 0;
  for (const auto& [replica, sent_and_received] : bytes) {
    if (replica != leader) {
      follower_bytes = std::max(follower_bytes, sent_and_received);
    }
  }
  const double leader_rate = bytes[leader] / kSeconds;
  std::printf("%8zu %12.1f %16.0f %18.0f  %s\n", replicas, messages / kSeconds, leader_rate,
              follower_bytes / kSeconds, leader_rate <= kNodeBytesPerSecond ? "pass" : "FAIL");
  return leader_rate <= kNodeBytesPerSecond;
}

int Main() {
  bool passed = true;
  std::printf("Commits of %zu byte records, %d outstanding, files synced; bound %.0f records/s\n",
              kRecordBytes, kOutstanding, kTargetRecordsPerSecond);
  std::printf("replicas    records/s  log B/rec  net B/rec  records/sync    p50 ms    p99 ms\n");
  for (const std::size_t replicas : {1, 3, 5}) {
    passed = MeasureCommits(replicas) && passed;
  }
  std::printf("\nRestart from a log without a snapshot\n records           ms\n");
  for (const Index records : {1'000, 10'000, 100'000}) {
    MeasureRestart(records);
  }
  std::printf(
      "\nVirtual time from the loss of the leader to the first commit of the next, 200 seeds\n");
  std::printf("replicas     p50 ms     p95 ms     max ms\n");
  for (const std::size_t replicas : {3, 5, 7}) {
    MeasureElection(replicas);
  }
  std::printf("\nIdle group, sent and received; bound %.0f bytes/s for a node\n",
              kNodeBytesPerSecond);
  std::printf("replicas   messages/s   leader bytes/s   follower bytes/s\n");
  for (const std::size_t replicas : {3, 5, 7}) {
    passed = MeasureIdle(replicas) && passed;
  }
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace masticrill::consensus

int main() { return masticrill::consensus::Main(); }
