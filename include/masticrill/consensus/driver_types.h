#ifndef MASTICRILL_CONSENSUS_DRIVER_TYPES_H_
#define MASTICRILL_CONSENSUS_DRIVER_TYPES_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/error.h"
#include "masticrill/common/metrics.h"
#include "masticrill/consensus/replica_types.h"

namespace masticrill::consensus {

/// Sends messages between replicas. Send does not block; it may lose, delay, double or reorder.
template <typename T>
concept Transport = requires(T transport, const Message& message) {
  {transport.Send(message)};
};

/// What the log replicates. Apply is called in log order, and with the same command at the same
/// index on each replica; it must depend on nothing else. Restore replaces the whole state.
template <typename M>
concept StateMachine = requires(M machine, const M& constant, Index index,
                                const std::string& command, std::string_view snapshot) {
  { machine.Apply(index, command) } -> std::same_as<std::string>;
  { constant.Snapshot() } -> std::same_as<std::string>;
  { machine.Restore(snapshot) } -> std::same_as<void>;
};

struct DriverOptions {
  NodeId node;
  ReplicaOptions replica = {};
  /// Commands that wait for the driver's next turn. Further ones are rejected.
  std::size_t max_queued_bytes = std::size_t{32} << 20U;
  /// Messages that wait for the driver's next turn. Further ones are dropped, as if lost.
  std::size_t max_queued_messages = 8192;
  /// Committed commands are applied for this long at a time; in between the replica hears its peers
  /// and they hear it. Well below the heartbeat interval.
  Duration apply_slice = milliseconds(20);
  /// A snapshot is taken when the commands applied since the last one exceed either limit.
  std::size_t snapshot_after_entries = 100'000;
  std::size_t snapshot_after_bytes = std::size_t{64} << 20U;
};

enum class ProposalOutcome {
  kApplied,   // Committed and applied here.
  kRejected,  // It had no effect and never will.
  kUnknown,   // Leadership or the process was lost while it waited. It may still take effect.
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kUnknown;
  /// Why, when rejected.
  RejectReason reason = RejectReason::kNotLeader;
  Index index = 0;
  /// What the state machine returned, when applied.
  std::string answer = {};
  /// The leader as known now; empty when none is.
  NodeId leader = {};
};

struct ReadResult {
  /// Nothing when the local state machine may be read now.
  std::optional<RejectReason> rejected = {};
  /// The state machine has applied at least this index.
  Index index = 0;
  NodeId leader = {};
};

using ProposalCallback = std::function<void(const ProposalResult&)>;
using ReadCallback = std::function<void(const ReadResult&)>;

/// Proposals, membership changes, transfers and reads that were not carried out, by reason.
using RejectionCounter = EnumCounter<RejectReason, kAllRejectReasons.size()>;

struct DriverCounters {
  std::uint64_t commands_applied = 0;
  std::uint64_t syncs = 0;
  std::uint64_t snapshots_taken = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t messages_sent = 0;
};

struct DriverStatus {
  ReplicaStatus replica;
  Index applied = 0;
  /// Set when a storage error stopped the replica for good.
  std::optional<Error> stopped;
  DriverCounters counters;
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_DRIVER_TYPES_H_
