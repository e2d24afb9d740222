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
  if (this->tail) {
    this->files.Close(*this->tail);
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

/// Makes an error of a failed call, and remembers it.
template <FileOperations F>
Result<void> FileLogStorage<F>::Check(Errno error, std::string_view action) {
  if (error == 0) {
    return {};
  }
  const bool full = error == ENOSPC || error == EDQUOT;
  std::string message = this->options.folder + ": " + std::string(action) + " failed (" +
                        std::strerror(error) + "). ";
  message += full ? "Free space on the disk, then restart the process."
                  : "Check the disk, then restart the process.";
  this->failure = Error{full ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed, message};
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
Result<void> FileLogStorage<F>::Corrupt(const std::string& name, std::string_view what) {
  this->failure = Error{ErrorKind::kCorruptStorage,
                        this->options.folder + "/" + name + ": " + std::string(what) +
                            " Move the folder away, start with an empty one and add this host "
                            "again as a learner."};
  return Fail(*this->failure);
}

/// Replaces a file so that a crash leaves the old content or the new one.
template <FileOperations F>
Result<void> FileLogStorage<F>::WriteBeside(std::string_view name, std::string_view content) {
  const std::string path = this->Path(name);
  const std::string temporary =
      this->options.is_process_private ? path : path + std::string(kTemporarySuffix);
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->Check(this->files.Create(temporary, handle), "Creating a file"));
  const Errno write_error = this->files.Write(handle, content);
  const Errno sync_error = write_error == 0 ? this->files.Sync(handle) : 0;
  this->files.Close(handle);
  BOOST_LEAF_CHECK(this->Check(write_error, "Writing a file"));
  BOOST_LEAF_CHECK(this->Check(sync_error, "Syncing a file"));
  if (this->options.is_process_private) {
    return {};
  }
  BOOST_LEAF_CHECK(this->Check(this->files.Rename(temporary, path), "Renaming a file"));
  return this->Check(this->files.SyncFolder(this->options.folder), "Syncing the folder");
}

/// The content of a framed file; nothing when there is no such file.
template <FileOperations F>
Result<std::optional<std::string>> FileLogStorage<F>::ReadNamed(std::string_view name) {
  std::string file;
  const Errno error = this->files.ReadAll(this->Path(name), file);
  if (error == ENOENT) {
    return std::optional<std::string>();
  }
  BOOST_LEAF_CHECK(this->Check(error, "Reading a file"));
  const FramedContent framed = UnframeFile(file);
  if (framed.fault == FrameFault::kUnknownVersion) {
    BOOST_LEAF_CHECK(this->Corrupt(std::string(name), "A newer version wrote it; run that one."));
  }
  if (framed.fault == FrameFault::kDamaged) {
    BOOST_LEAF_CHECK(this->Corrupt(std::string(name), "It is damaged."));
  }
  return std::optional<std::string>(framed.content);
}

template <FileOperations F>
Result<StoredState> FileLogStorage<F>::Load() {
  BOOST_LEAF_CHECK(this->CheckUsable());
  BOOST_LEAF_CHECK(this->Check(this->files.MakeFolder(this->options.folder), "Making the folder"));
  const Errno lock_error =
      this->options.is_process_private ? 0 : this->files.TryLock(this->Path(kLockName));
  if (lock_error == EWOULDBLOCK) {
    this->failure = Error{ErrorKind::kConflict, this->options.folder +
                                                    ": another process uses the folder. Stop it, "
                                                    "or give this one a folder of its own."};
    return Fail(*this->failure);
  }
  BOOST_LEAF_CHECK(this->Check(lock_error, "Locking the folder"));
  std::vector<std::string> names;
  BOOST_LEAF_CHECK(
      this->Check(this->files.List(this->options.folder, names), "Listing the folder"));
  std::vector<std::uint64_t> numbers;
  bool empty = true;
  for (const std::string& name : names) {
    if (name.ends_with(kTemporarySuffix)) {
      BOOST_LEAF_CHECK(this->Check(this->files.Remove(this->Path(name)), "Removing a file"));
      continue;
    }
    empty = empty && name == kLockName;
    if (name.starts_with(kSegmentPrefix)) {
      numbers.push_back(std::strtoull(name.c_str() + kSegmentPrefix.size(), nullptr, 10));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  StoredState state;
  BOOST_LEAF_CHECK(this->LoadIdentity(empty, state));
  BOOST_LEAF_CHECK(this->LoadHardState(state));
  BOOST_LEAF_CHECK(this->LoadSnapshot(state));
  BOOST_LEAF_CHECK(this->LoadSegments(numbers, state));
  const bool has_log = state.snapshot || !state.entries.empty();
  if (has_log && state.hard_state.term == 0) {
    BOOST_LEAF_CHECK(this->Corrupt(std::string(kHardStateName), "It is missing."));
  }
  return state;
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadIdentity(bool folder_was_empty, StoredState& state) {
  if (folder_was_empty) {
    state.is_new = true;
    const std::string parent =
        std::filesystem::absolute(this->options.folder).parent_path().string();
    BOOST_LEAF_CHECK(this->Check(this->files.SyncFolder(parent), "Syncing the folder"));
    state.identity = DataFolderId(SecureRandomHex(kIdentityBytes));
    return this->WriteBeside(kIdentityName, FrameFile(state.identity.Value()));
  }
  BOOST_LEAF_AUTO(identity, this->ReadNamed(kIdentityName));
  if (!identity) {
    return this->Corrupt(std::string(kIdentityName), "It is missing.");
  }
  state.identity = DataFolderId(*identity);
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadHardState(StoredState& state) {
  BOOST_LEAF_AUTO(content, this->ReadNamed(kHardStateName));
  if (!content) {
    return {};
  }
  const std::optional<HardState> hard_state = DecodeHardState(*content);
  if (!hard_state) {
    return this->Corrupt(std::string(kHardStateName), "It is damaged.");
  }
  state.hard_state = *hard_state;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSnapshot(StoredState& state) {
  BOOST_LEAF_AUTO(content, this->ReadNamed(kSnapshotName));
  if (!content) {
    return {};
  }
  std::optional<Snapshot> snapshot = DecodeSnapshot(*content);
  if (!snapshot) {
    return this->Corrupt(std::string(kSnapshotName), "It is damaged.");
  }
  state.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSegments(const std::vector<std::uint64_t>& numbers,
                                             StoredState& state) {
  if (numbers.empty()) {
    if (state.snapshot || state.hard_state.term != 0) {
      return this->Corrupt(std::string(kSegmentPrefix), "The segments are missing.");
    }
    return this->StartSegment();
  }
  for (std::size_t place = 0; place < numbers.size(); ++place) {
    if (numbers[place] != numbers.front() + place) {
      return this->Corrupt(std::string(kSegmentPrefix) + std::to_string(numbers.front() + place),
                           "The segment is missing.");
    }
    const bool is_last = place + 1 == numbers.size();
    BOOST_LEAF_CHECK(this->LoadSegment(numbers[place], is_last, state));
  }
  const Index snapshot_index = state.snapshot ? state.snapshot->index : 0;
  if (!state.entries.empty() && state.entries.back().index < snapshot_index) {
    state.entries.clear();
  }
  const std::string path = this->SegmentPath(numbers.back());
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->Check(this->files.OpenToAppend(path, handle), "Opening a segment"));
  this->tail = handle;
  const std::uint64_t size = this->segments.back().bytes;
  // What a killed process wrote may not be durable yet, though it was read.
  BOOST_LEAF_CHECK(this->Check(this->files.Truncate(handle, size), "Cutting a torn record"));
  BOOST_LEAF_CHECK(this->Check(this->files.Sync(handle), "Syncing a segment"));
  this->synced_bytes = size;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::LoadSegment(std::uint64_t number, bool is_last,
                                            StoredState& state) {
  const std::string name = this->SegmentPath(number).substr(this->options.folder.size() + 1);
  std::string content;
  BOOST_LEAF_CHECK(
      this->Check(this->files.ReadAll(this->SegmentPath(number), content), "Reading a segment"));
  if (const FrameFault fault = CheckSegmentHeader(content, number); fault != FrameFault::kNone) {
    return this->Corrupt(name, fault == FrameFault::kDamaged
                                   ? "Its header is damaged."
                                   : "A newer version wrote it; run that one.");
  }
  const Index snapshot_index = state.snapshot ? state.snapshot->index : 0;
  std::vector<LogEntry>& entries = state.entries;
  Segment segment{number};
  std::size_t offset = kSegmentHeaderBytes;
  while (offset < content.size()) {
    std::optional<Record> record = ReadRecord(std::string_view(content).substr(offset));
    if (!record && (!is_last || WasDurable(content, offset))) {
      return this->Corrupt(name, "A record at byte " + std::to_string(offset) + " is damaged.");
    }
    if (!record) {
      break;
    }
    const Index index = record->entry.index;
    const Index last = entries.empty() ? 0 : entries.back().index;
    if (index > last + 1 && record->type == RecordType::kEntry) {
      if (index > snapshot_index + 1) {
        return this->Corrupt(name, "Entries before " + std::to_string(index) + " are missing.");
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
  return {};
}

/// Begins the next segment. The one before it must be durable.
template <FileOperations F>
Result<void> FileLogStorage<F>::StartSegment() {
  if (this->tail) {
    this->files.Close(*this->tail);
    this->tail.reset();
  }
  const std::uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
  const std::string path = this->SegmentPath(number);
  const std::string name = path.substr(this->options.folder.size() + 1);
  BOOST_LEAF_CHECK(this->WriteBeside(name, SegmentHeader(number)));
  FileHandle handle = 0;
  BOOST_LEAF_CHECK(this->Check(this->files.OpenToAppend(path, handle), "Opening a segment"));
  this->tail = handle;
  this->segments.push_back({number, 0, kSegmentHeaderBytes});
  this->synced_bytes = kSegmentHeaderBytes;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::Write(std::string_view records) {
  BOOST_LEAF_CHECK(this->Check(this->files.Write(*this->tail, records), "Writing to the log"));
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
  LogEntry position;
  position.index = first;
  AppendRecord(RecordType::kTruncate, this->synced_bytes, position, record);
  return this->Write(record);
}

template <FileOperations F>
Result<void> FileLogStorage<F>::Sync() {
  BOOST_LEAF_CHECK(this->CheckUsable());
  if (this->synced_bytes == this->segments.back().bytes) {
    return {};
  }
  BOOST_LEAF_CHECK(this->Check(this->files.Sync(*this->tail), "Syncing the log"));
  this->synced_bytes = this->segments.back().bytes;
  return {};
}

template <FileOperations F>
Result<void> FileLogStorage<F>::SaveHardState(const HardState& hard_state) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  return this->WriteBeside(kHardStateName, FrameFile(EncodeHardState(hard_state)));
}

template <FileOperations F>
Result<void> FileLogStorage<F>::SaveSnapshot(const Snapshot& snapshot) {
  // A truncation before the snapshot must not be undone by a crash after it.
  BOOST_LEAF_CHECK(this->Sync());
  return this->WriteBeside(kSnapshotName, FrameFile(EncodeSnapshot(snapshot)));
}

template <FileOperations F>
Result<void> FileLogStorage<F>::CompactPrefix(Index last) {
  BOOST_LEAF_CHECK(this->CheckUsable());
  while (this->segments.size() > 1 && this->segments.front().max_index <= last) {
    const std::string path = this->SegmentPath(this->segments.front().number);
    BOOST_LEAF_CHECK(this->Check(this->files.Remove(path), "Removing a segment"));
    // One at a time, so that a crash leaves no gap between segments.
    BOOST_LEAF_CHECK(this->Check(this->files.SyncFolder(this->options.folder), "Syncing"));
    this->segments.pop_front();
  }
  return {};
}

}  // namespace masticrill::storage

#endif  // MASTICRILL_SRC_STORAGE_FILE_LOG_STORAGE_INL_H_
