#ifndef MASTICRILL_CONTROL_REPLICA_RUNNER_H_
#define MASTICRILL_CONTROL_REPLICA_RUNNER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "control/peer_transport.h"
#include "masticrill/common/clock.h"
#include "masticrill/common/metrics.h"
#include "masticrill/common/random.h"
#include "masticrill/consensus/driver_types.h"
#include "masticrill/consensus/replica_driver.h"
#include "masticrill/control/control_options.h"
#include "masticrill/state/replicated_state.h"
#include "masticrill/storage/file_log_storage.h"

namespace masticrill::control {

/// Adapts the replicated state to the state machine interface of the driver, measures the time to
/// apply a command, and calls `on_change` after each change.
class StateMachineAdapter {
 public:
  StateMachineAdapter(state::ReplicatedState& state, std::function<void()> on_change)
      : state(state), on_change(std::move(on_change)) {}

  std::string Apply(consensus::Index index, const std::string& command);
  std::string Snapshot() const { return this->state.Snapshot(); }
  void Restore(std::string_view snapshot);

  const LatencySummary& ApplyLatency() const { return this->apply_latency; }

 private:
  state::ReplicatedState& state;
  std::function<void()> on_change;
  LatencySummary apply_latency;
};

/// FileLogStorage that measures the time of its syncs.
class MeasuredStorage : public storage::FileLogStorage<> {
 public:
  MeasuredStorage(storage::FileLogOptions options, storage::PosixFiles& files)
      : storage::FileLogStorage<>(std::move(options), files) {}

  Result<void> Sync();
  const LatencySummary& SyncLatency() const { return this->sync_latency; }

 private:
  LatencySummary sync_latency;
};

/// Owns the replica, its files and the thread that drives it. Thread-safe, except for Open,
/// Bootstrap and Run, which the starting thread calls in this order.
class ReplicaRunner {
 public:
  using Driver =
      consensus::ReplicaDriver<MeasuredStorage, PeerTransport, SystemClock, StateMachineAdapter>;

  /// The arguments must outlive the runner. `on_change` is called by the replica's thread.
  ReplicaRunner(const ControlOptions& options, PeerTransport& transport,
                state::ReplicatedState& state, std::function<void()> on_change);
  ~ReplicaRunner();
  ReplicaRunner(const ReplicaRunner&) = delete;
  ReplicaRunner& operator=(const ReplicaRunner&) = delete;

  /// Loads the files and returns this replica's identity.
  Result<consensus::ReplicaId> Open();
  /// Whether this replica has neither log nor vote. False once it runs and takes part in a group.
  bool IsEmpty() const;
  Result<void> Bootstrap(const consensus::Membership& membership) {
    return this->driver->Bootstrap(membership);
  }
  void Run();
  void Stop();

  void Propose(std::string command, consensus::ProposalCallback callback) {
    this->driver->Propose(std::move(command), std::move(callback));
  }
  void ProposeMembership(consensus::MembershipChange change, consensus::ProposalCallback callback) {
    this->driver->ProposeMembership(std::move(change), std::move(callback));
  }
  void Read(consensus::ReadCallback callback) { this->driver->Read(std::move(callback)); }
  void TransferLeadership() { this->driver->TransferLeadership(); }
  /// Drops all messages from now on, so that the leader takes this replica for gone.
  void StopReceiving() { this->running = false; }
  /// Drops the message while the replica does not run.
  void OnMessage(const NodeId& from, consensus::Message message) {
    if (this->running) {
      this->driver->OnMessage(from, std::move(message));
    }
  }
  consensus::DriverStatus Status() const { return this->driver->Status(); }

  const LatencySummary& ApplyLatency() const { return this->machine.ApplyLatency(); }
  const LatencySummary& SyncLatency() const { return this->storage.SyncLatency(); }

 private:
  SystemClock clock;
  Random random;
  storage::PosixFiles files;
  MeasuredStorage storage;
  StateMachineAdapter machine;
  std::unique_ptr<Driver> driver;
  std::atomic<bool> running = false;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/// The folder of the replica's files inside the data folder.
std::string ReplicaFolder(const std::string& data_folder);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_REPLICA_RUNNER_H_
