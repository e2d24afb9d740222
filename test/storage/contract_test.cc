#include <doctest/doctest.h>

#include "storage/harness.h"

/// The requirements on every LogStorage, checked on POSIX files, fake files and the memory storage.
namespace masticrill::storage {
namespace {

#define MASTICRILL_ALL_STORAGES MemoryHarness, FakeFilesHarness, PosixHarness

template <typename Call>
void RequireSuccess(const Call& call) {
  const std::optional<Error> error = ErrorOf(call);
  REQUIRE_MESSAGE(!error, error.value_or(Error{}).message);
}

TEST_CASE_TEMPLATE("an identity is created once and survives a crash", Harness,
                   MASTICRILL_ALL_STORAGES) {
  Harness harness;
  Random random(1);
  const StoredState first = LoadOf(harness.Open());
  CHECK(first.is_new);
  CHECK_FALSE(first.identity.Empty());
  CHECK(first.entries.empty());
  const StoredState second = LoadOf(harness.Crash(random));
  CHECK_FALSE(second.is_new);
  CHECK(second.identity == first.identity);
}

TEST_CASE_TEMPLATE("synced data survives a crash, and a prefix of the unsynced data may", Harness,
                   MASTICRILL_ALL_STORAGES) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Harness harness;
    Random random(seed);
    auto& storage = harness.Open();
    LoadOf(storage);
    RequireSuccess([&] { return storage.SaveHardState({3, {NodeId("b"), DataFolderId("1")}}); });
    RequireSuccess([&] { return storage.Append(Commands(1, 20, 2)); });
    RequireSuccess([&] { return storage.Sync(); });
    RequireSuccess([&] { return storage.Append(Commands(21, 30, 3)); });
    const StoredState state = LoadOf(harness.Crash(random));
    CHECK(state.hard_state == HardState{3, {NodeId("b"), DataFolderId("1")}});
    REQUIRE(state.entries.size() >= 20);
    std::vector<LogEntry> written = Commands(1, 20, 2);
    const std::vector<LogEntry> unsynced = Commands(21, 30, 3);
    written.insert(written.end(), unsynced.begin(), unsynced.end());
    written.resize(state.entries.size());
    CHECK(state.entries == written);
  }
}

TEST_CASE_TEMPLATE("entries are replaced and truncated", Harness, MASTICRILL_ALL_STORAGES) {
  Harness harness;
  Random random(1);
  auto& storage = harness.Open();
  LoadOf(storage);
  RequireSuccess([&] { return storage.SaveHardState({1, {}}); });
  RequireSuccess([&] { return storage.Append(Commands(1, 9, 1)); });
  RequireSuccess([&] { return storage.Append(Commands(5, 6, 2)); });
  RequireSuccess([&] { return storage.TruncateSuffix(6); });
  RequireSuccess([&] { return storage.Sync(); });
  const StoredState state = LoadOf(harness.Crash(random));
  std::vector<LogEntry> expected = Commands(1, 4, 1);
  expected.push_back(Command(5, 2));
  CHECK(state.entries == expected);
}

TEST_CASE_TEMPLATE("a snapshot covers a gap, and the entries up to the snapshot are compacted",
                   Harness, MASTICRILL_ALL_STORAGES) {
  Harness harness;
  Random random(1);
  auto& storage = harness.Open();
  LoadOf(storage);
  RequireSuccess([&] { return storage.SaveHardState({4, {}}); });
  RequireSuccess([&] { return storage.Append(Commands(1, 40, 1)); });
  RequireSuccess([&] { return storage.SaveSnapshot({100, 4, "members", "state"}); });
  RequireSuccess([&] { return storage.Append(Commands(101, 140, 4)); });
  RequireSuccess([&] { return storage.Sync(); });
  RequireSuccess([&] { return storage.CompactPrefix(100); });
  StoredState state = LoadOf(harness.Crash(random));
  REQUIRE(state.snapshot);
  CHECK(*state.snapshot == Snapshot{100, 4, "members", "state"});
  CHECK(state.entries == Commands(101, 140, 4));

  auto& reopened = harness.Open();
  LoadOf(reopened);
  RequireSuccess([&] { return reopened.SaveSnapshot({130, 4, "members", "later"}); });
  RequireSuccess([&] { return reopened.CompactPrefix(130); });
  state = LoadOf(harness.Crash(random));
  REQUIRE_FALSE(state.entries.empty());
  CHECK(state.entries.back() == Command(140, 4));
  CHECK(state.entries.front().index <= 131);
}

/// The logs that the disk may have: the log at the last sync, or after any later change.
class ExpectedLog {
 public:
  void Append(const std::vector<LogEntry>& entries) {
    for (const LogEntry& entry : entries) {
      std::vector<LogEntry> next = this->candidates.back();
      next.resize(std::min(next.size(), static_cast<std::size_t>(entry.index - 1)));
      next.push_back(entry);
      this->candidates.push_back(std::move(next));
    }
  }
  void Truncate(Index first) {
    std::vector<LogEntry> next = this->candidates.back();
    next.resize(std::min(next.size(), static_cast<std::size_t>(first - 1)));
    this->candidates.push_back(std::move(next));
  }
  void Sync() { this->candidates.erase(this->candidates.begin(), this->candidates.end() - 1); }
  bool IsAllowed(const std::vector<LogEntry>& entries) const {
    return std::find(this->candidates.begin(), this->candidates.end(), entries) !=
           this->candidates.end();
  }
  Index Last() const { return this->candidates.back().size(); }

 private:
  std::vector<std::vector<LogEntry>> candidates{{}};
};

TEST_CASE_TEMPLATE("a failure at any call stops the storage and loses nothing that was synced",
                   Harness, MemoryHarness, FakeFilesHarness) {
  constexpr std::uint64_t kSeeds = 40;
  constexpr Term kOperations = 60;
  constexpr std::uint64_t kCallSpread = 120;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    Random random(seed);
    Harness harness;
    auto* storage = &harness.Open();
    LoadOf(*storage);
    RequireSuccess([&] { return storage->SaveHardState({1, {}}); });
    ExpectedLog expected_log;
    harness.FailCall(1 + random.Below(kCallSpread));
    bool failed = false;
    for (Term operation = 1; operation <= kOperations; ++operation) {
      const std::uint64_t choice = random.Below(10);
      std::optional<Error> error;
      if (choice < 5) {
        const Index first = 1 + random.Below(expected_log.Last() + 1);
        const std::vector<LogEntry> entries = Commands(first, first + random.Below(8), operation);
        error = ErrorOf([&] { return storage->Append(entries); });
        if (!failed) {
          expected_log.Append(entries);
        }
      } else if (choice < 6) {
        const Index first = 1 + random.Below(expected_log.Last() + 1);
        error = ErrorOf([&] { return storage->TruncateSuffix(first); });
        if (!failed) {
          expected_log.Truncate(first);
        }
      } else {
        error = ErrorOf([&] { return storage->Sync(); });
        if (!error) {
          expected_log.Sync();
        }
      }
      CHECK_FALSE((failed && !error));
      failed = failed || error;
    }
    const StoredState state = LoadOf(harness.Crash(random));
    CHECK_MESSAGE(expected_log.IsAllowed(state.entries), "seed " << seed);
  }
}

}  // namespace
}  // namespace masticrill::storage
