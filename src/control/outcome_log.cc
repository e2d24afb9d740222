#include "control/outcome_log.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

#include "masticrill/common/hash.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

using storage::Errno;

constexpr std::uint64_t kMaxFileBytes = std::uint64_t{64} << 20U;
constexpr std::string_view kPrefix = "outcomes-";
constexpr std::string_view kDamagedPrefix = "damaged-";
/// Length and CRC-32 checksum of the payload, 4 bytes each.
constexpr std::size_t kHeaderBytes = 8;

std::string FileName(std::uint64_t first) {
  constexpr int kDigits = 20;
  const std::string number = std::to_string(first);
  return std::string(kPrefix) + std::string(kDigits - number.size(), '0') + number;
}

std::string Frame(const state::ChainedRecord& record) {
  const std::string payload = state::EncodeRecord(record);
  const auto length = static_cast<std::uint32_t>(payload.size());
  const std::uint32_t checksum = Crc32(payload);
  std::string framed(kHeaderBytes, '\0');
  std::memcpy(framed.data(), &length, sizeof(length));
  std::memcpy(framed.data() + sizeof(length), &checksum, sizeof(checksum));
  return framed + payload;
}

struct FileContent {
  std::vector<state::ChainedRecord> records;
  /// Bytes up to the end of the last complete record.
  std::uint64_t whole_bytes = 0;
  /// Whether a damaged record follows that is not the last one; the last one may be incomplete.
  bool damaged = false;
};

/// Decodes the first complete record and removes it from `content`.
std::optional<state::ChainedRecord> TakeRecord(std::string_view& content, bool& damaged) {
  if (content.size() < kHeaderBytes) {
    return std::nullopt;
  }
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;
  std::memcpy(&length, content.data(), sizeof(length));
  std::memcpy(&checksum, content.data() + sizeof(length), sizeof(checksum));
  if (content.size() - kHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view payload = content.substr(kHeaderBytes, length);
  const bool is_last = content.size() == kHeaderBytes + length;
  std::optional<state::ChainedRecord> record;
  if (Crc32(payload) == checksum) {
    record = HandleErrors(
        [&]() -> Result<std::optional<state::ChainedRecord>> {
          BOOST_LEAF_AUTO(decoded, state::DecodeRecord(payload));
          return std::optional(std::move(decoded));
        },
        [](const Error&) { return std::optional<state::ChainedRecord>(); });
  }
  damaged = !record && !is_last;
  content.remove_prefix(kHeaderBytes + length);
  return record;
}

FileContent Parse(std::string_view content) {
  FileContent parsed;
  const std::size_t size = content.size();
  while (std::optional<state::ChainedRecord> record = TakeRecord(content, parsed.damaged)) {
    parsed.records.push_back(*std::move(record));
    parsed.whole_bytes = size - content.size();
  }
  return parsed;
}

/// The sequence of the first record of each file, sorted.
std::vector<std::uint64_t> ListFiles(storage::PosixFiles& files, const std::string& folder) {
  std::vector<std::string> names;
  files.List(folder, names);
  std::vector<std::uint64_t> firsts;
  for (const std::string& name : names) {
    if (name.starts_with(kPrefix)) {
      firsts.push_back(std::strtoull(name.c_str() + kPrefix.size(), nullptr, 10));
    }
  }
  std::sort(firsts.begin(), firsts.end());
  return firsts;
}

}  // namespace

OutcomeLog::OutcomeLog(std::string folder) : folder(std::move(folder)), last(state::ChainStart()) {}

OutcomeLog::~OutcomeLog() {
  if (this->handle) {
    this->files.Close(*this->handle);
  }
}

Result<void> OutcomeLog::Check(Errno error, const std::string& path) const {
  if (error == 0) {
    return {};
  }
  return Fail(
      storage::IsDiskFull(error) ? ErrorKind::kStorageFull : ErrorKind::kStorageFailed,
      "The outcome log cannot access " + path + " (" + std::strerror(error) + "). Check the disk.");
}

Result<void> OutcomeLog::Open() {
  BOOST_LEAF_CHECK(this->Check(this->files.MakeFolder(this->folder), this->folder));
  const std::vector<std::uint64_t> firsts = ListFiles(this->files, this->folder);
  if (firsts.empty()) {
    return {};
  }
  const std::string path = this->folder + "/" + FileName(firsts.back());
  std::string content;
  BOOST_LEAF_CHECK(this->Check(this->files.ReadAll(path, content), path));
  const FileContent parsed = Parse(content);
  if (parsed.damaged) {
    return Fail(ErrorKind::kCorruptStorage,
                "A record in the middle of " + path +
                    " is damaged. Move the file out of the folder for inspection; the other "
                    "control hosts have the records.");
  }
  storage::FileHandle opened = -1;
  BOOST_LEAF_CHECK(this->Check(this->files.OpenToAppend(path, opened), path));
  this->handle = opened;
  BOOST_LEAF_CHECK(this->Check(this->files.Truncate(opened, parsed.whole_bytes), path));
  this->bytes = parsed.whole_bytes;
  if (parsed.records.empty()) {
    this->last.sequence = firsts.back() - 1;
  } else {
    this->last = {parsed.records.back().sequence, parsed.records.back().hash};
  }
  return {};
}

Result<void> OutcomeLog::SetLastFileAside() {
  const std::string name = FileName(ListFiles(this->files, this->folder).back());
  const std::string path = this->folder + "/" + name;
  const std::string new_path = this->folder + "/" + std::string(kDamagedPrefix) + name;
  BOOST_LEAF_CHECK(this->Check(this->files.Rename(path, new_path), path));
  return this->Check(this->files.SyncFolder(this->folder), this->folder);
}

Result<void> OutcomeLog::StartFile(std::uint64_t first) {
  if (this->handle) {
    this->files.Close(*std::exchange(this->handle, std::nullopt));
  }
  const std::string path = this->folder + "/" + FileName(first);
  storage::FileHandle created = -1;
  BOOST_LEAF_CHECK(this->Check(this->files.Create(path, created), path));
  this->handle = created;
  this->bytes = 0;
  return this->Check(this->files.SyncFolder(this->folder), this->folder);
}

/// Leaves the file of a failed append: a failed sync may have dropped data that a later sync of the
/// same file would report as durable. Records that stay in it are replaced by those of the next
/// file.
void OutcomeLog::CloseFile() {
  if (this->handle) {
    this->files.Truncate(*this->handle, this->bytes);
    this->files.Close(*std::exchange(this->handle, std::nullopt));
  }
}

Result<void> OutcomeLog::Append(const std::vector<state::ChainedRecord>& records) {
  if (records.empty()) {
    return {};
  }
  if (this->append_failed) {
    this->CloseFile();
  }
  this->append_failed = true;
  const bool gap = records.front().sequence != this->last.sequence + 1;
  if (gap || !this->handle || this->bytes > kMaxFileBytes) {
    BOOST_LEAF_CHECK(this->StartFile(records.front().sequence));
  }
  std::string framed;
  for (const state::ChainedRecord& record : records) {
    framed += Frame(record);
  }
  BOOST_LEAF_CHECK(this->Check(this->files.Write(*this->handle, framed), this->folder));
  BOOST_LEAF_CHECK(this->Check(this->files.Sync(*this->handle), this->folder));
  this->append_failed = false;
  this->gaps += gap ? 1 : 0;
  this->bytes += framed.size();
  this->last = {records.back().sequence, records.back().hash};
  return {};
}

Result<std::vector<state::ChainedRecord>> ReadOutcomes(const std::string& folder,
                                                       std::uint64_t after, std::size_t limit) {
  storage::PosixFiles files;
  const std::vector<std::uint64_t> firsts = ListFiles(files, folder);
  std::vector<state::ChainedRecord> found;
  for (std::size_t index = 0; index < firsts.size() && found.size() < limit; ++index) {
    if (index + 1 < firsts.size() && firsts[index + 1] <= after + 1) {
      continue;
    }
    std::string content;
    const std::string path = folder + "/" + FileName(firsts[index]);
    if (files.ReadAll(path, content) != 0) {
      return Fail(ErrorKind::kStorageFailed, "Cannot read " + path + ". Check the disk.");
    }
    // A later file replaces the records from its first one on.
    const std::uint64_t end =
        index + 1 < firsts.size() ? firsts[index + 1] : std::numeric_limits<std::uint64_t>::max();
    for (state::ChainedRecord& record : Parse(content).records) {
      if (record.sequence > after && record.sequence < end && found.size() < limit) {
        found.push_back(std::move(record));
      }
    }
  }
  return found;
}

}  // namespace masticrill::control
