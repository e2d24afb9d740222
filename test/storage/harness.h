#ifndef MASTICRILL_TEST_STORAGE_HARNESS_H_
#define MASTICRILL_TEST_STORAGE_HARNESS_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "fakes/storage_files.h"
#include "fakes/storage_memory.h"
#include "masticrill/common/random.h"
#include "masticrill/storage/file_log_storage.h"
#include "storage/file_log_storage_inl.h"

/// The storages under test. Each harness can open its storage, crash it and open it again.
namespace masticrill::storage {

constexpr std::size_t kSmallSegmentBytes = 300;

class MemoryHarness {
 public:
  using Storage = MemoryLogStorage;
  Storage& Open() { return this->storage.emplace(this->disk); }
  Storage& Crash(Random& random) {
    this->disk.Crash(random);
    this->disk.failing_call = 0;
    return this->Open();
  }
  void FailCall(std::uint64_t call) { this->disk.failing_call = this->disk.calls + call; }

 private:
  MemoryDisk disk{"identity"};
  std::optional<Storage> storage;
};

class FakeFilesHarness {
 public:
  using Storage = FileLogStorage<FakeFiles>;
  Storage& Open() {
    this->storage.reset();
    this->files.ReleaseLocks();
    return this->storage.emplace(FileLogOptions{"data", kSmallSegmentBytes}, this->files);
  }
  Storage& Crash(Random& random) {
    this->storage.reset();
    this->files.Crash(random);
    this->files.failing_call = 0;
    return this->Open();
  }
  void FailCall(std::uint64_t call) { this->files.failing_call = this->files.calls + call; }

  FakeFiles files;

 private:
  std::optional<Storage> storage;
};

/// Storage in POSIX files. A crash ends only the process: data that was written but not synced
/// stays in the operating system.
class PosixHarness {
 public:
  using Storage = FileLogStorage<PosixFiles>;
  PosixHarness()
      : folder(std::filesystem::temp_directory_path() / ("masticrill-" + SecureRandomHex(8))) {}
  PosixHarness(const PosixHarness&) = delete;
  PosixHarness& operator=(const PosixHarness&) = delete;
  ~PosixHarness() {
    this->storage.reset();
    std::filesystem::remove_all(this->folder);
  }
  Storage& Open() {
    this->storage.reset();
    this->files.emplace();
    return this->storage.emplace(FileLogOptions{this->folder.string(), kSmallSegmentBytes},
                                 *this->files);
  }
  Storage& Crash(Random&) { return this->Open(); }

  std::filesystem::path folder;

 private:
  std::optional<PosixFiles> files;
  std::optional<Storage> storage;
};

/// The error of a call, or nothing when it succeeded.
template <typename Call>
std::optional<Error> ErrorOf(const Call& call) {
  return HandleErrors(
      [&]() -> Result<std::optional<Error>> {
        BOOST_LEAF_CHECK(call());
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional<Error>(error); });
}

template <typename Storage>
StoredState LoadOf(Storage& storage) {
  StoredState state;
  const std::optional<Error> error = ErrorOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(state, storage.Load());
    return {};
  });
  if (error) {
    throw std::runtime_error(error->message);
  }
  return state;
}

inline LogEntry Command(Index index, Term term, std::size_t bytes = 10) {
  return {index, term, EntryKind::kCommand,
          std::string(bytes, static_cast<char>('a' + (index + term) % 26))};
}

inline std::vector<LogEntry> Commands(Index first, Index last, Term term) {
  std::vector<LogEntry> entries;
  for (Index index = first; index <= last; ++index) {
    entries.push_back(Command(index, term));
  }
  return entries;
}

}  // namespace masticrill::storage

#endif  // MASTICRILL_TEST_STORAGE_HARNESS_H_
