#ifndef MASTICRILL_CONTROL_OUTCOME_LOG_H_
#define MASTICRILL_CONTROL_OUTCOME_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/state/records.h"
#include "masticrill/storage/file_operations.h"

namespace masticrill::control {

/// Append-only outcome log in the files of one folder. A file is named by the sequence of its first
/// record. A new file is started when the current one has grown large, or when records are missing
/// before the next one. Not thread-safe.
class OutcomeLog {
 public:
  explicit OutcomeLog(std::string folder);
  ~OutcomeLog();
  OutcomeLog(const OutcomeLog&) = delete;
  OutcomeLog& operator=(const OutcomeLog&) = delete;

  /// Opens the newest file and truncates an incomplete record at its end. Fails with
  /// kCorruptStorage when a record before the end is damaged.
  Result<void> Open();
  /// Renames the last file, so that Open leaves it out. Called after Open has failed.
  Result<void> SetLastFileAside();
  /// Appends the records in order; durable on return. After a failure none of them counts, and the
  /// same records may be appended again.
  Result<void> Append(const std::vector<state::ChainedRecord>& records);

  /// The last record in the files.
  const state::ChainPoint& Last() const { return this->last; }
  /// Number of appends before which records were missing.
  std::uint64_t Gaps() const { return this->gaps; }

 private:
  Result<void> StartFile(std::uint64_t first);
  void CloseFile();
  Result<void> Check(storage::Errno error, const std::string& path) const;

  std::string folder;
  storage::PosixFiles files;
  std::optional<storage::FileHandle> handle;
  /// The bytes of the current file that are durable.
  std::uint64_t bytes = 0;
  bool append_failed = false;
  state::ChainPoint last;
  std::uint64_t gaps = 0;
};

/// Reads at most `limit` records with a sequence above `after` from the files of the folder. Safe
/// while another thread appends: an incomplete record at the end is left out.
Result<std::vector<state::ChainedRecord>> ReadOutcomes(const std::string& folder,
                                                       std::uint64_t after, std::size_t limit);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OUTCOME_LOG_H_
