#include "control/replica_runner.h"

#include <utility>

#include "masticrill/consensus/replica_driver_inl.h"

namespace masticrill::control {
namespace {

/// Maximum time between two ticks of the driver.
constexpr Duration kTickInterval = milliseconds(20);

consensus::DriverOptions MakeDriverOptions(const ControlOptions& options) {
  consensus::DriverOptions driver;
  driver.node = options.node;
  driver.replica.heartbeat_interval = options.timings.heartbeat_interval;
  driver.replica.election_timeout = options.timings.election_timeout;
  driver.snapshot_after_entries = options.timings.snapshot_after_entries;
  driver.snapshot_after_bytes = options.timings.snapshot_after_bytes;
  return driver;
}

}  // namespace

std::string ReplicaFolder(const std::string& data_folder) { return data_folder + "/replica"; }

std::string StateMachineAdapter::Apply(consensus::Index index, const std::string& command) {
  const TimePoint begin = SystemClock().Now();
  std::string result = this->state.Apply(index, command);
  this->apply_latency.Record(SystemClock().Now() - begin);
  this->on_change();
  return result;
}

void StateMachineAdapter::Restore(std::string_view snapshot) {
  this->state.Restore(snapshot);
  this->on_change();
}

Result<void> MeasuredStorage::Sync() {
  const TimePoint begin = SystemClock().Now();
  BOOST_LEAF_CHECK(storage::FileLogStorage<>::Sync());
  this->sync_latency.Record(SystemClock().Now() - begin);
  return {};
}

ReplicaRunner::ReplicaRunner(const ControlOptions& options, PeerTransport& transport,
                             state::ReplicatedState& state, std::function<void()> on_change)
    : random(Random::FromSystem()),
      storage(
          {.folder = ReplicaFolder(options.data_folder), .is_process_private = !options.may_vote},
          this->files),
      machine(state, std::move(on_change)),
      driver(std::make_unique<Driver>(MakeDriverOptions(options), this->storage, transport,
                                      this->clock, this->machine, this->random)) {}

ReplicaRunner::~ReplicaRunner() { this->Stop(); }

Result<consensus::ReplicaId> ReplicaRunner::Open() { return this->driver->Start(); }

bool ReplicaRunner::IsEmpty() const {
  const consensus::ReplicaStatus status = this->driver->Status().replica;
  return status.last_index == 0 && status.term == 0;
}

void ReplicaRunner::Run() {
  this->running = true;
  this->thread = std::thread([this] {
    while (!this->stopping) {
      this->driver->WaitForWork(kTickInterval);
      this->driver->Tick();
    }
  });
}

void ReplicaRunner::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}  // namespace masticrill::control
