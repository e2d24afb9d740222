#ifndef MASTICRILL_TEST_FAKES_STORAGE_MEMORY_H_
#define MASTICRILL_TEST_FAKES_STORAGE_MEMORY_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/storage/log_storage.h"

/// A LogStorage whose disk is a value. A crash loses a random part of what was not synced.
namespace masticrill::storage {

/// Deliberate defects, by which tests show that they find such.
struct StorageDefects {
  /// Sync answers before anything is durable.
  bool sync_does_nothing = false;
  /// SaveHardState keeps the term but forgets the vote in a crash.
  bool vote_not_durable = false;
  /// A crash loses synced entries too.
  bool loses_synced_tail = false;
};

/// What a disk holds. It outlives the storage.
class MemoryDisk {
 public:
  explicit MemoryDisk(std::string identity) : identity(std::move(identity)) {}

  /// Loses what was not synced, but for a random number of the first records.
  void Crash(Random& random) {
    const std::size_t kept = random.Below(this->unsynced.size() + 1);
    for (std::size_t place = 0; place < kept; ++place) {
      this->unsynced[place](*this);
    }
    this->unsynced.clear();
    if (this->defects.vote_not_durable) {
      this->hard_state.vote = ReplicaId();
    }
    if (this->defects.loses_synced_tail && !this->entries.empty()) {
      this->entries.pop_back();
    }
  }

  std::string identity;
  bool used = false;
  HardState hard_state;
  SnapshotPtr snapshot;
  std::vector<LogEntry> entries;
  std::vector<std::function<void(MemoryDisk&)>> unsynced;
  StorageDefects defects;
  /// The number of the call that fails, from 1; 0 for none.
  std::uint64_t failing_call = 0;
  std::uint64_t calls = 0;
};

class MemoryLogStorage {
 public:
  explicit MemoryLogStorage(MemoryDisk& disk) : disk(disk) {}

  Result<StoredState> Load() {
    BOOST_LEAF_CHECK(this->CountCall());
    this->Flush();
    StoredState state{DataFolderId(this->disk.identity), !this->disk.used, this->disk.hard_state,
                      this->disk.snapshot, this->disk.entries};
    this->disk.used = true;
    const Index covered = state.snapshot ? state.snapshot->index : 0;
    if (!state.entries.empty() && state.entries.back().index < covered) {
      state.entries.clear();
    }
    return state;
  }

  Result<void> Append(std::span<const LogEntry> entries) {
    BOOST_LEAF_CHECK(this->CountCall());
    for (const LogEntry& entry : entries) {
      this->disk.unsynced.push_back([entry](MemoryDisk& disk) {
        RemoveFrom(entry.index, disk);
        if (!disk.entries.empty() && disk.entries.back().index + 1 < entry.index) {
          disk.entries.clear();
        }
        disk.entries.push_back(entry);
      });
    }
    return {};
  }

  Result<void> TruncateSuffix(Index first) {
    BOOST_LEAF_CHECK(this->CountCall());
    this->disk.unsynced.push_back([first](MemoryDisk& disk) { RemoveFrom(first, disk); });
    return {};
  }

  Result<void> Sync() {
    BOOST_LEAF_CHECK(this->CountCall());
    if (!this->disk.defects.sync_does_nothing) {
      this->Flush();
    }
    return {};
  }

  Result<void> SaveHardState(const HardState& hard_state) {
    BOOST_LEAF_CHECK(this->CountCall());
    this->disk.hard_state = hard_state;
    return {};
  }

  Result<void> SaveSnapshot(const Snapshot& snapshot) {
    BOOST_LEAF_CHECK(this->CountCall());
    this->Flush();
    this->disk.snapshot = std::make_shared<const Snapshot>(snapshot);
    return {};
  }

  Result<void> CompactPrefix(Index last) {
    BOOST_LEAF_CHECK(this->CountCall());
    std::erase_if(this->disk.entries,
                  [last](const LogEntry& entry) { return entry.index <= last; });
    return {};
  }

 private:
  static void RemoveFrom(Index first, MemoryDisk& disk) {
    std::erase_if(disk.entries, [first](const LogEntry& entry) { return entry.index >= first; });
  }

  void Flush() {
    for (const auto& write : this->disk.unsynced) {
      write(this->disk);
    }
    this->disk.unsynced.clear();
  }

  Result<void> CountCall() {
    ++this->disk.calls;
    this->failed = this->failed || this->disk.calls == this->disk.failing_call;
    if (this->failed) {
      return Fail(ErrorKind::kStorageFailed, "The disk failed. Restart the process.");
    }
    return {};
  }

  MemoryDisk& disk;
  bool failed = false;
};

static_assert(LogStorage<MemoryLogStorage>);

}  // namespace masticrill::storage

#endif  // MASTICRILL_TEST_FAKES_STORAGE_MEMORY_H_
