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
  /// An append to a segment of at least this size starts the next segment. A load writes the last
  /// segment anew, which needs room and time in proportion.
  std::size_t segment_bytes = std::size_t{4} << 20U;
  /// Whether the folder is in a private file system in memory, which no other process can reach and
  /// which ends with this process. Such file systems support neither locks nor renames, so the
  /// folder is not locked and files are overwritten in place.
  bool is_process_private = false;
};

/// LogStorage in the files of one folder:
///
///     lock               locked by the process that uses the folder
///     identity           the DataFolderId, created when the folder is empty
///     vote               the term and the vote
///     snapshot           the latest snapshot
///     log-NNNNNNNNNNNNNNNN  the segments of the log, by number
///
/// The log is a sequence of records, each with its length and checksum. An entry replaces the
/// stored entries from its index on. Used by one thread.
template <FileOperations Files = PosixFiles>
class FileLogStorage {
 public:
  /// `files` must outlive the storage.
  FileLogStorage(FileLogOptions options, Files& files);
  FileLogStorage(const FileLogStorage&) = delete;
  FileLogStorage& operator=(const FileLogStorage&) = delete;
  ~FileLogStorage();

  /// Fails with kConflict when another process uses the folder, and with kCorruptStorage when
  /// durable data is missing or damaged. An incomplete record at the end of the log is removed.
  /// What it returns is durable, also after an earlier failure of a write or a sync.
  Result<StoredState> Load();
  Result<void> Append(std::span<const LogEntry> entries);
  Result<void> TruncateSuffix(Index first);
  Result<void> Sync();
  Result<void> SaveHardState(const HardState& hard_state);
  Result<void> SaveSnapshot(const Snapshot& snapshot);
  Result<void> CompactPrefix(Index last);

  /// The bytes written to the log by this object, including the headers of the records.
  std::uint64_t LogBytesWritten() const { return this->log_bytes_written; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    /// The highest index of an entry in the segment; 0 when the segment has no entry.
    Index max_index = 0;
    std::uint64_t bytes = 0;
  };

  std::string Path(std::string_view name) const;
  std::string SegmentPath(std::uint64_t number) const;
  Result<void> CheckErrno(Errno error, std::string_view action);
  Result<void> CheckUsable() const;
  Result<void> FailCorrupt(const std::string& name, std::string_view fault);
  Result<void> ReplaceFile(std::string_view name, std::string_view content);
  Result<std::optional<std::string>> ReadFramedFile(std::string_view name);
  Result<void> LoadIdentity(bool folder_was_empty, StoredState& state);
  Result<void> LoadHardState(StoredState& state);
  Result<void> LoadSnapshot(StoredState& state);
  Result<void> LoadSegments(const std::vector<std::uint64_t>& numbers, StoredState& state);
  Result<void> LoadSegment(std::uint64_t number, bool is_last, StoredState& state);
  Result<void> StartSegment();
  Result<void> Write(std::string_view records);

  FileLogOptions options;
  Files& files;
  /// The first error. Every later call returns it.
  std::optional<Error> failure;
  std::deque<Segment> segments;
  /// The last segment, open for appending.
  std::optional<FileHandle> tail_handle;
  /// The number of bytes of the last segment that are durable.
  std::uint64_t synced_bytes = 0;
  std::uint64_t log_bytes_written = 0;
};

}  // namespace masticrill::storage

#endif  // MASTICRILL_STORAGE_FILE_LOG_STORAGE_H_
