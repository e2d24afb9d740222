#ifndef MASTICRILL_STORAGE_LOG_STORAGE_H_
#define MASTICRILL_STORAGE_LOG_STORAGE_H_

#include <concepts>
#include <span>

#include "masticrill/common/result.h"
#include "masticrill/storage/types.h"

namespace masticrill::storage {

/// The storage of one replica, used by one thread.
///
/// - Load is called once, before any other operation. It creates the identity when the storage is
///   empty.
/// - Append and TruncateSuffix take effect in order and are durable after the next Sync. A crash
///   before that Sync keeps their effect up to some point, which may be between two entries of one
///   Append. An appended entry replaces the stored entries from its index on.
/// - SaveHardState and SaveSnapshot are durable when they return. SaveSnapshot syncs the log first.
///   An entry may be appended after a gap only when the snapshot covers the gap.
/// - TruncateSuffix removes the entries from `first` on. CompactPrefix may remove the entries up to
///   `last`, which the saved snapshot must cover.
/// - After a call failed, every later call fails, because the content of the disk is unknown until
///   a new process loads it.
template <typename S>
concept LogStorage = requires(S storage, std::span<const LogEntry> entries,
                              const HardState& hard_state, const Snapshot& snapshot, Index index) {
  { storage.Load() } -> std::same_as<Result<StoredState>>;
  { storage.Append(entries) } -> std::same_as<Result<void>>;
  { storage.TruncateSuffix(index) } -> std::same_as<Result<void>>;
  { storage.Sync() } -> std::same_as<Result<void>>;
  { storage.SaveHardState(hard_state) } -> std::same_as<Result<void>>;
  { storage.SaveSnapshot(snapshot) } -> std::same_as<Result<void>>;
  { storage.CompactPrefix(index) } -> std::same_as<Result<void>>;
};

}  // namespace masticrill::storage

#endif  // MASTICRILL_STORAGE_LOG_STORAGE_H_
