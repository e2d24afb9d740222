#include "masticrill/storage/file_log_storage.h"

#include <doctest/doctest.h>

#include <fstream>

#include "storage/harness.h"
#include "storage/record.h"

namespace masticrill::storage {
namespace {

/// Fills the folder with three segments of synced entries.
void FillThreeSegments(FakeFilesHarness& harness) {
  auto& storage = harness.Open();
  LoadOf(storage);
  REQUIRE_FALSE(ErrorOf([&] { return storage.SaveHardState({1, {}}); }));
  for (Index index = 1; index <= 16; ++index) {
    REQUIRE_FALSE(ErrorOf([&] { return storage.Append(Commands(index, index, 1)); }));
    REQUIRE_FALSE(ErrorOf([&] { return storage.Sync(); }));
  }
}

std::optional<Error> LoadError(FakeFilesHarness& harness) {
  auto& storage = harness.Open();
  return ErrorOf([&] { return storage.Load(); });
}

TEST_CASE("a flipped bit in any byte that a later record shows to be durable is refused") {
  FakeFilesHarness intact;
  FillThreeSegments(intact);
  constexpr std::size_t kRecordBytes = 44;
  for (const std::string& path : intact.files.Paths()) {
    const bool is_last_segment = path.ends_with("3");
    const std::size_t size = intact.files.Content(path).size();
    // Nothing follows the last record, so its damage looks like an incomplete write.
    const std::size_t checked = is_last_segment ? size - kRecordBytes : size;
    for (std::size_t position = 0; position < checked; ++position) {
      FakeFilesHarness harness;
      FillThreeSegments(harness);
      if (!harness.files.Exists(path)) {
        continue;
      }
      harness.files.Content(path)[position] ^= 0x10;
      const std::optional<Error> error = LoadError(harness);
      REQUIRE_MESSAGE(error, path << " byte " << position);
      CHECK(error->kind == ErrorKind::kCorruptStorage);
      CHECK(error->message.find("add this host again as a learner") != std::string::npos);
    }
  }
}

TEST_CASE("a last record that is truncated at any byte is dropped, and appends continue") {
  FakeFilesHarness intact;
  FillThreeSegments(intact);
  const std::string path = intact.files.Paths().back().starts_with("data/vote")
                               ? "data/log-0000000000000003"
                               : intact.files.Paths().back();
  const std::size_t size = intact.files.Content(path).size();
  constexpr std::size_t kRecordBytes = 44;
  for (std::size_t kept = size - kRecordBytes; kept < size; ++kept) {
    FakeFilesHarness harness;
    FillThreeSegments(harness);
    harness.files.Content(path).resize(kept);
    auto& storage = harness.Open();
    CHECK(LoadOf(storage).entries == Commands(1, 15, 1));
    REQUIRE_FALSE(ErrorOf([&] { return storage.Append(Commands(16, 17, 2)); }));
    REQUIRE_FALSE(ErrorOf([&] { return storage.Sync(); }));
    auto& reopened = harness.Open();
    std::vector<LogEntry> expected = Commands(1, 15, 1);
    for (const LogEntry& entry : Commands(16, 17, 2)) {
      expected.push_back(entry);
    }
    CHECK(LoadOf(reopened).entries == expected);
  }
}

TEST_CASE("a missing file or a segment of a newer version is refused and the fault is named") {
  struct Row {
    std::string name;
    std::string lost;
    std::string replaced;
    std::string message;
  };
  std::string newer = SegmentHeader(1);
  newer[4] = 2;
  const std::vector<Row> rows = {
      {"identity lost", "data/identity", "", "data/identity: The file is missing."},
      {"vote lost", "data/vote", "", "data/vote: The file is missing."},
      {"middle segment lost", "data/log-0000000000000002", "", "The segment is missing."},
      {"first segment lost", "data/log-0000000000000001", "", "Entries before"},
      {"newer segment", "data/log-0000000000000001", newer, "A newer version wrote this file"},
  };
  for (const Row& row : rows) {
    FakeFilesHarness harness;
    FillThreeSegments(harness);
    if (row.replaced.empty()) {
      harness.files.Erase(row.lost);
    } else {
      harness.files.Content(row.lost) = row.replaced;
    }
    const std::optional<Error> error = LoadError(harness);
    REQUIRE_MESSAGE(error, row.name);
    CHECK(error->kind == ErrorKind::kCorruptStorage);
    CHECK_MESSAGE(error->message.find(row.message) != std::string::npos, error->message);
  }
}

TEST_CASE("after a full disk or a failed sync, every later call returns the same error") {
  struct Row {
    Errno failure;
    std::uint64_t call;
    ErrorKind kind;
    std::string remedy;
  };
  const std::vector<Row> rows = {
      {ENOSPC, 1, ErrorKind::kStorageFull, "Free space on the disk, then restart"},
      {EDQUOT, 1, ErrorKind::kStorageFull, "Free space on the disk, then restart"},
      {ENOSPC, 2, ErrorKind::kStorageFull, "Free space on the disk, then restart"},
      {EIO, 1, ErrorKind::kStorageFailed, "Check the disk, then restart"},
      {EIO, 2, ErrorKind::kStorageFailed, "Check the disk, then restart"},
  };
  for (const Row& row : rows) {
    FakeFilesHarness harness;
    auto& storage = harness.Open();
    LoadOf(storage);
    harness.files.failure = row.failure;
    harness.FailCall(row.call);
    std::optional<Error> error = ErrorOf([&] { return storage.Append(Commands(1, 2, 1)); });
    if (row.call == 2) {
      CHECK_FALSE(error);
      error = ErrorOf([&] { return storage.Sync(); });
    }
    REQUIRE(error);
    CHECK(error->kind == row.kind);
    CHECK(error->message.find(row.remedy) != std::string::npos);
    // The disk works again, but its content is unknown.
    CHECK(ErrorOf([&] { return storage.Append(Commands(1, 2, 1)); }) == error);
    CHECK(ErrorOf([&] { return storage.Sync(); }) == error);
    CHECK(ErrorOf([&] { return storage.SaveHardState({2, {}}); }) == error);
    CHECK(ErrorOf([&] { return storage.SaveSnapshot({}); }) == error);
    CHECK(ErrorOf([&] { return storage.TruncateSuffix(1); }) == error);
    CHECK(ErrorOf([&] { return storage.CompactPrefix(1); }) == error);
    CHECK(ErrorOf([&] { return storage.Load(); }) == error);
  }
}

// Failure: a storage that is opened again after a failed sync reads what the operating system has
// dropped, counts it as durable, and a later loss of power takes it away.
TEST_CASE("what a load returns after a failure at any call survives a crash") {
  constexpr std::uint64_t kSeeds = 8;
  constexpr std::uint64_t kCalls = 60;
  constexpr Index kEntries = 24;
  constexpr Index kSnapshotIndex = 9;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(call);
      CAPTURE(seed);
      Random random(seed);
      FakeFilesHarness harness;
      harness.files.failure = ENOSPC;
      auto& storage = harness.Open();
      LoadOf(storage);
      REQUIRE_FALSE(ErrorOf([&] { return storage.SaveHardState({1, {}}); }));
      harness.FailCall(call);
      Index synced = 0;
      std::optional<Error> error;
      for (Index index = 1; index <= kEntries && !error; ++index) {
        error = ErrorOf([&]() -> Result<void> {
          BOOST_LEAF_CHECK(storage.Append(Commands(index, index, 1)));
          BOOST_LEAF_CHECK(storage.Sync());
          synced = index;
          BOOST_LEAF_CHECK(storage.SaveHardState({1 + index, {}}));
          if (index == kSnapshotIndex) {
            BOOST_LEAF_CHECK(storage.SaveSnapshot({index, 1, "members", "state"}));
            BOOST_LEAF_CHECK(storage.CompactPrefix(index));
          }
          return {};
        });
      }
      const StoredState before = LoadOf(harness.Open());
      const StoredState after = LoadOf(harness.Crash(random));
      CHECK(after.entries == before.entries);
      CHECK(after.hard_state == before.hard_state);
      CHECK((after.snapshot != nullptr) == (before.snapshot != nullptr));
      const Index last = before.entries.empty() ? 0 : before.entries.back().index;
      CHECK(last >= synced);
    }
  }
}

// Failure: a load whose own sync fails is tried again, and counts what the first one read.
TEST_CASE("what a load returns after a load that failed at any call survives a crash") {
  constexpr std::uint64_t kSeeds = 8;
  constexpr std::uint64_t kCalls = 8;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(call);
      CAPTURE(seed);
      Random random(seed);
      FakeFilesHarness harness;
      FillThreeSegments(harness);
      auto& killed = harness.Open();
      LoadOf(killed);
      REQUIRE_FALSE(ErrorOf([&] { return killed.Append(Commands(17, 18, 1)); }));
      harness.files.failure = ENOSPC;
      harness.FailCall(call);
      LoadError(harness);
      harness.files.failing_call = 0;
      const StoredState before = LoadOf(harness.Open());
      CHECK(before.entries == Commands(1, 18, 1));
      CHECK(LoadOf(harness.Crash(random)).entries == before.entries);
    }
  }
}

TEST_CASE("a second process on the folder is refused") {
  PosixHarness harness;
  LoadOf(harness.Open());
  PosixFiles files;
  FileLogStorage<PosixFiles> second({harness.folder.string()}, files);
  const std::optional<Error> error = ErrorOf([&] { return second.Load(); });
  REQUIRE(error);
  CHECK(error->kind == ErrorKind::kConflict);
  CHECK(error->message.find("another process uses the folder. Stop it") != std::string::npos);
}

TEST_CASE("a removed folder is created again with a new identity") {
  PosixHarness harness;
  const StoredState first = LoadOf(harness.Open());
  std::filesystem::remove_all(harness.folder);
  const StoredState second = LoadOf(harness.Open());
  CHECK(second.is_new);
  CHECK(second.identity != first.identity);
}

TEST_CASE("a crash at any call while the folder is created leaves a folder that can be loaded") {
  constexpr std::uint64_t kCalls = 16;
  for (std::uint64_t call = 1; call <= kCalls; ++call) {
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
      FakeFilesHarness harness;
      Random random(seed);
      harness.FailCall(call);
      LoadError(harness);
      auto& storage = harness.Crash(random);
      CHECK(LoadOf(storage).entries.empty());
    }
  }
}

}  // namespace
}  // namespace masticrill::storage
