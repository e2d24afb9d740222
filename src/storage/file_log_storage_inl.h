#ifndef MASTICRILL_SRC_STORAGE_FILE_LOG_STORAGE_INL_H_
#define MASTICRILL_SRC_STORAGE_FILE_LOG_STORAGE_INL_H_

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include "masticrill/common/random.h"
#include "masticrill/storage/file_log_storage.h"
#include "storage/record.h"

/// The definitions of FileLogStorage, for the sources that instantiate it.
namespace masticrill::storage {

inline constexpr std::string_view kLockName = "lock";
inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kHardStateName = "vote";
inline constexpr std::string_view kSnapshotName = "snapshot";
inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::string_view kTemporarySuffix = ".tmp";
inline constexpr int kIdentityBytes = 8;
inline constexpr std::size_t kSegmentDigits = 16;

template <FileOperations F>
FileLogStorage<F>::FileLogStorage(FileLogOptions options, F& files)
    : options(std::move(options)), files(files) {}

template <FileOperations F>
FileLogStorage<F>::~FileLogStorage() {
  if (this->tail_handle) {
    this->files.Close(*this->tail_handle);
  }
}

template <FileOperations F>
std::string FileLogStorage<F>::Path(std::string_view name) const {
  return this->options.folder + "/" + std::string(name);
}

template <FileOperations F>
std::string FileLogStorage<F>::SegmentPath(std::uint64_t number) const {
  std::string digits = std::to_string(number);
  digits.insert(0, kSegmentDigits - digits.size(), '0');
  return this->Path(std::string(kSegmentPrefix) + digits);
}

/// Converts the errno of a failed call to an error and stores it as the failure.
template <FileOperations F>
Result<void> FileLogStorage<F>::CheckErrno(Errno error, std::string_view action) {
  if (error == 0) {
    return {};
  }
  const bool disk_full = IsDiskFull(error);
  std::string message = this->options.folder + ": " + std::string(action) + " failed (" +
                        std::strerror(error) + "). ";
  message += disk_full ? "Free space on the disk, then restart the process."
                       : "Check the disk, then restart the process.";
  this->failure = Error{disk_full ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed, message};
  return Fail(*this->failure);
}

template <FileOperations F>
Result<void> FileLogStorage<F>::CheckUsable() const {
  if (this->failure) {
    return Fail(*this->failure);
  }
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::FailCorrupt(const std::string& name, std::string_view fault) {
  this->failure = Error{ErrorKind::kCorruptStorage,
                        this->options.folder + "/" + name + ": " + std::string(fault) +
                            " Move the folder away, start with an empty one and add this host "
                            "again as a learner."};
  return Fail(*this->failure);
}

/// Replaces a file. A crash leaves the old content or the new one, unless the folder is private to
/// the process.
template <FileOperations F>
Result<void> FileLogStorage<F>::ReplaceFile(std::string_view name, std::string_view content) {
  const std::string path = this->Path(name);
  const std::string temporary_path =
      this->options.is_process_private ? path : path + std::string(kTemporarySuffix);
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.Create(temporary_path, handle), "Creating a file"));
  const Errno write_error = this->files.Write(handle, content);
  const Errno sync_error = write_error == 0 ? this->files.Sync(handle) : 0;
  this->files.Close(handle);
  if ((write_error != 0 || sync_error != 0) && !this->options.is_process_private) {
    // What was written of it may take the room that the next start needs.
    this->files.Remove(temporary_path);
  }
  BOOST_LEAF_CHECK(this->CheckErrno(write_error, "Writing a file"));
  BOOST_LEAF_CHECK(this->CheckErrno(sync_error, "Syncing a file"));
  if (this->options.is_process_private) {
    return {};
  }
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.Rename(temporary_path, path), "Renaming a file"));
  return this->CheckErrno(this->files.SyncFolder(this->options.folder), "Syncing the folder");
}

/// Returns the content of a framed file; nothing when the file does not exist.
template <FileOperations F>
Result<std::optional<std::string>> FileLogStorage<F>::ReadFramedFile(std::string_view name) {
  std::string file;
  const Errno error = this->files.ReadAll(this->Path(name), file);
  if (error == ENOENT) {
    return std::optional<std::string>();
  }
  BOOST_LEAF_CHECK(this->CheckErrno(error, "Reading a file"));
  const FramedContent framed = UnframeFile(file);
  if (framed.fault == FrameFault::kUnknownVersion) {
    BOOST_LEAF_CHECK(
        this->FailCorrupt(std::string(name), "A newer version wrote this file; run that version."));
  }
  if (framed.fault == FrameFault::kDamaged) {
    BOOST_LEAF_CHECK(this->FailCorrupt(std::string(name), "The length or checksum is wrong."));
  }
  return std::optional<std::string>(framed.content);
}

template <FileOperations F>
Result<StoredState> FileLogStorage<F>::Load() {
  BOOST_LEAF_CHECK(this->CheckUsable());
  BOOST_LEAF_CHECK(
      this->CheckErrno(this->files.MakeFolder(this->options.folder), "Creating the folder"));
  const Errno lock_error =
      this->options.is_process_private ? 0 : this->files.TryLock(this->Path(kLockName));
  if (lock_error == EWOULDBLOCK) {
    this->failure = Error{ErrorKind::kConflict, this->options.folder +
                                                    ": another process uses the folder. Stop it, "
                                                    "or give this one a folder of its own."};
    return Fail(*this->failure);
  }
  BOOST_LEAF_CHECK(this->CheckErrno(lock_error, "Locking the folder"));
  std::vector<std::string> names;
  BOOST_LEAF_CHECK(
      this->CheckErrno(this->files.List(this->options.folder, names), "Listing the folder"));
  std::vector<std::uint64_t> numbers;
  bool folder_is_empty = true;
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      BOOST_LEAF_CHECK(this->CheckErrno(this->files.Remove(this->Path(name)), "Removing a file"));
      continue;
    }
    folder_is_empty = folder_is_empty && name == kLockName;
    if (name.starts_with(kSegmentPrefix)) {
      numbers.push_back(std::strtoull(name.c_str() + kSegmentPrefix.size(), nullptr, 10));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  StoredState state;
  BOOST_LEAF_CHECK(this->LoadIdentity(folder_is_empty, state));
  BOOST_LEAF_CHECK(this->LoadHardState(state));
  BOOST_LEAF_CHECK(this->LoadSnapshot(state));
  BOOST_LEAF_CHECK(this->LoadSegments(numbers, state));
  const bool has_log = state.snapshot || !state.entries.empty();
  if (has_log && state.hard_state.term == 0) {
    BOOST_LEAF_CHECK(this->FailCorrupt(std::string(kHardStateName), "The file is missing."));
  }
  return state;
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadIdentity(bool folder_was_empty, StoredState& state) {
  if (folder_was_empty) {
    state.is_new = true;
    const std::string parent =
        std::filesystem::absolute(this->options.folder).parent_path().string();
    BOOST_LEAF_CHECK(this->CheckErrno(this->files.SyncFolder(parent), "Syncing the parent folder"));
    state.identity = DataFolderId(SecureRandomHex(kIdentityBytes));
    return this->ReplaceFile(kIdentityName, FrameFile(state.identity.Value()));
  }
  BOOST_LEAF_AUTO(identity, this->ReadFramedFile(kIdentityName));
  if (!identity) {
    return this->FailCorrupt(std::string(kIdentityName), "The file is missing.");
  }
  state.identity = DataFolderId(*identity);
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadHardState(StoredState& state) {
  BOOST_LEAF_AUTO(content, this->ReadFramedFile(kHardStateName));
  if (!content) {
    return {};
  }
  const std::optional<HardState> hard_state = DecodeHardState(*content);
  if (!hard_state) {
    return this->FailCorrupt(std::string(kHardStateName), "The vote cannot be decoded.");
  }
  state.hard_state = *hard_state;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSnapshot(StoredState& state) {
  BOOST_LEAF_AUTO(content, this->ReadFramedFile(kSnapshotName));
  if (!content) {
    return {};
  }
  std::optional<Snapshot> snapshot = DecodeSnapshot(*content);
  if (!snapshot) {
    return this->FailCorrupt(std::string(kSnapshotName), "The snapshot cannot be decoded.");
  }
  state.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSegments(const std::vector<std::uint64_t>& numbers,
                                             StoredState& state) {
  if (numbers.empty()) {
    if (state.snapshot || state.hard_state.term != 0) {
      return this->FailCorrupt(std::string(kSegmentPrefix), "The segments are missing.");
    }
    return this->StartSegment();
  }
  for (std::size_t position = 0; position < numbers.size(); ++position) {
    if (numbers[position] != numbers.front() + position) {
      return this->FailCorrupt(
          std::string(kSegmentPrefix) + std::to_string(numbers.front() + position),
          "The segment is missing.");
    }
    const bool is_last = position + 1 == numbers.size();
    BOOST_LEAF_CHECK(this->LoadSegment(numbers[position], is_last, state));
  }
  const Index snapshot_index = state.snapshot ? state.snapshot->index : 0;
  if (!state.entries.empty() && state.entries.back().index < snapshot_index) {
    state.entries.clear();
  }
  const std::string path = this->SegmentPath(numbers.back());
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.OpenToAppend(path, handle), "Opening a segment"));
  this->tail_handle = handle;
  this->synced_bytes = this->segments.back().bytes;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSegment(std::uint64_t number, bool is_last,
                                            StoredState& state) {
  const std::string name = this->SegmentPath(number).substr(this->options.folder.size() + 1);
  std::string content;
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.ReadAll(this->SegmentPath(number), content),
                                    "Reading a segment"));
  if (const FrameFault fault = CheckSegmentHeader(content, number); fault != FrameFault::kNone) {
    return this->FailCorrupt(name, fault == FrameFault::kDamaged
                                       ? "The segment header is damaged."
                                       : "A newer version wrote this file; run that version.");
  }
  const Index snapshot_index = state.snapshot ? state.snapshot->index : 0;
  std::vector<LogEntry>& entries = state.entries;
  Segment segment{number};
  std::size_t offset = kSegmentHeaderBytes;
  while (offset < content.size()) {
    std::optional<Record> record = ReadRecord(std::string_view(content).substr(offset));
    if (!record && (!is_last || WasDurable(content, offset))) {
      return this->FailCorrupt(name, "A record at byte " + std::to_string(offset) + " is damaged.");
    }
    if (!record) {
      break;
    }
    const Index index = record->entry.index;
    const Index last = entries.empty() ? 0 : entries.back().index;
    if (index > last + 1 && record->type == RecordType::kEntry) {
      if (index > snapshot_index + 1) {
        return this->FailCorrupt(name, "Entries before " + std::to_string(index) + " are missing.");
      }
      entries.clear();
    }
    while (!entries.empty() && entries.back().index >= index) {
      entries.pop_back();
    }
    if (record->type == RecordType::kEntry) {
      segment.max_index = std::max(segment.max_index, index);
      entries.push_back(std::move(record->entry));
    }
    offset += record->size;
  }
  segment.bytes = offset;
  this->segments.push_back(segment);
  if (!is_last) {
    return {};
  }
  // What an earlier process wrote can be read but may not be durable. A sync of the same file does
  // not suffice: when an earlier one failed, the system may have dropped the data it reports as
  // synced. The sync of the folder covers the names of the vote and of the snapshot, too.
  content.resize(offset);
  return this->ReplaceFile(name, content);
}

/// Starts the next segment. The previous segment must be durable.
template <FileOperations F>
Result<void> FileLogStorage<F>::StartSegment() {
  if (this->tail_handle) {
    this->files.Close(*this->tail_handle);
    this->tail_handle.reset();
  }
  const std::uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
  const std::string path = this->SegmentPath(number);
  const std::string name = path.substr(this->options.folder.size() + 1);
  BOOST_LEAF_CHECK(this->ReplaceFile(name, SegmentHeader(number)));
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.OpenToAppend(path, handle), "Opening a segment"));
  this->tail_handle = handle;
  this->segments.push_back({number, 0, kSegmentHeaderBytes});
  this->synced_bytes = kSegmentHeaderBytes;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::Write(std::string_view records) {
  BOOST_LEAF_CHECK(
      this->CheckErrno(this->files.Write(*this->tail_handle, records), "Writing to the log"));
  this->segments.back().bytes += records.size();
  this->log_bytes_written += records.size();
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::Append(std::span<const LogEntry> entries) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  if (entries.empty()) {
    return {};
  }
  if (this->segments.back().bytes >= this->options.segment_bytes) {
    BOOST_LEAF_CHECK(this->Sync());
    BOOST_LEAF_CHECK(this->StartSegment());
  }
  std::string records;
  for (const LogEntry& entry : entries) {
    AppendRecord(RecordType::kEntry, this->synced_bytes, entry, records);
    this->segments.back().max_index = std::max(this->segments.back().max_index, entry.index);
  }
  return this->Write(records);
}

template <FileOperations F>
Result<void> FileLogStorage<F>::TruncateSuffix(Index first) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  std::string record;
  LogEntry truncation;
  truncation.index = first;
  AppendRecord(RecordType::kTruncate, this->synced_bytes, truncation, record);
  return this->Write(record);
}

template <FileOperations F>
Result<void> FileLogStorage<F>::Sync() {
  BOOST_LEAF_CHECK(this->CheckUsable());
  if (this->synced_bytes == this->segments.back().bytes) {
    return {};
  }
  BOOST_LEAF_CHECK(this->CheckErrno(this->files.Sync(*this->tail_handle), "Syncing the log"));
  this->synced_bytes = this->segments.back().bytes;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::SaveHardState(const HardState& hard_state) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  return this->ReplaceFile(kHardStateName, FrameFile(EncodeHardState(hard_state)));
}

template <FileOperations F>
Result<void> FileLogStorage<F>::SaveSnapshot(const Snapshot& snapshot) {
  // A truncation that preceded the snapshot must not be undone by a crash after the snapshot.
  BOOST_LEAF_CHECK(this->Sync());
  return this->ReplaceFile(kSnapshotName, FrameFile(EncodeSnapshot(snapshot)));
}

template <FileOperations F>
Result<void> FileLogStorage<F>::CompactPrefix(Index last) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  while (this->segments.size() > 1 && this->segments.front().max_index <= last) {
    const std::string path = this->SegmentPath(this->segments.front().number);
    BOOST_LEAF_CHECK(this->CheckErrno(this->files.Remove(path), "Removing a segment"));
    // Each removal is synced before the next, so that a crash leaves no gap between segments.
    BOOST_LEAF_CHECK(this->CheckErrno(this->files.SyncFolder(this->options.folder), "Syncing"));
    this->segments.pop_front();
  }
  return {};
}

}  // namespace masticrill::storage

#endif  // MASTICRILL_SRC_STORAGE_FILE_LOG_STORAGE_INL_H_
