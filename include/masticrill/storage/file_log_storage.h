#ifndef MASTICRILL_STORAGE_FILE_LOG_STORAGE_H_
#define MASTICRILL_STORAGE_FILE_LOG_STORAGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/error.h"
#include "masticrill/common/result.h"
#include "masticrill/storage/file_operations.h"
#include "masticrill/storage/log_storage.h"
#include "masticrill/storage/types.h"

namespace masticrill::storage {

struct FileLogOptions {
  std::string folder;
  /// A segment that has grown beyond this is closed and the next one begun.
  std::size_t segment_bytes = std::size_t{16} << 20U;
  /// No other process can reach the folder and it ends with this one: it is not locked, and files
  /// are written in place. Private file systems in memory can neither lock nor rename.
  bool is_process_private = false;
};

/// LogStorage in the files of one folder:
///
///     lock               held by the process that uses the folder
///     identity           the replica identity, made with the empty folder
///     vote               the term and the vote
///     snapshot           the latest snapshot
///     log-NNNNNNNNNNNNNNNN  the segments of the log, by number
///
/// The log is a sequence of records, each with its length and checksum. An entry replaces what the
/// log has at its index and after it. Used by one thread.
template <FileOperations Files = PosixFiles>
class FileLogStorage {
 public:
  /// `files` outlives the storage.
  FileLogStorage(FileLogOptions options, Files& files);
  FileLogStorage(const FileLogStorage&) = delete;
  FileLogStorage& operator=(const FileLogStorage&) = delete;
  ~FileLogStorage();

  /// Fails with kConflict when another process uses the folder, and with kCorruptStorage when what
  /// was durable is damaged. A torn record at the end is cut.
  Result<StoredState> Load();
  Result<void> Append(std::span<const LogEntry> entries);
  Result<void> TruncateSuffix(Index first);
  Result<void> Sync();
  Result<void> SaveHardState(const HardState& hard_state);
  Result<void> SaveSnapshot(const Snapshot& snapshot);
  Result<void> CompactPrefix(Index last);

  /// The bytes written to the log so far, with their framing.
  std::uint64_t LogBytesWritten() const { return this->log_bytes_written; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    /// The highest index of any entry in it; 0 when it has none.
    Index max_index = 0;
    std::uint64_t bytes = 0;
  };

  std::string Path(std::string_view name) const;
  std::string SegmentPath(std::uint64_t number) const;
  Result<void> Check(Errno error, std::string_view action);
  Result<void> CheckUsable() const;
  Result<void> Corrupt(const std::string& name, std::string_view what);
  Result<void> WriteBeside(std::string_view name, std::string_view content);
  Result<std::optional<std::string>> ReadNamed(std::string_view name);
  Result<void> LoadIdentity(bool folder_was_empty, StoredState& state);
  Result<void> LoadHardState(StoredState& state);
  Result<void> LoadSnapshot(StoredState& state);
  Result<void> LoadSegments(const std::vector<std::uint64_t>& numbers, StoredState& state);
  Result<void> LoadSegment(std::uint64_t number, bool is_last, StoredState& state);
  Result<void> StartSegment();
  Result<void> Write(std::string_view records);

  FileLogOptions options;
  Files& files;
  /// The first failure. Nothing is done after it.
  std::optional<Error> failure;
  std::deque<Segment> segments;
  std::optional<FileHandle> tail;
  /// The bytes of the last segment that are durable.
  std::uint64_t synced_bytes = 0;
  std::uint64_t log_bytes_written = 0;
};

}  // namespace masticrill::storage

#endif  // MASTICRILL_STORAGE_FILE_LOG_STORAGE_H_
