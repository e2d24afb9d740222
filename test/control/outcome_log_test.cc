#include "control/outcome_log.h"

#include <doctest/doctest.h>

#include <fstream>

#include "control/outcome_writer.h"
#include "fakes/control_cluster.h"
#include "masticrill/state/codec.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {
namespace {

/// Records that follow each other from the start of a chain.
std::vector<state::ChainedRecord> MakeChain(std::size_t count) {
  std::vector<state::ChainedRecord> records;
  state::ChainPoint last = state::ChainStart();
  for (std::size_t index = 0; index < count; ++index) {
    state::Outcome outcome;
    outcome.request = RequestId("r-" + std::to_string(index));
    outcome.team = TeamId("blue");
    const state::Record record = outcome;
    const std::string hash = state::ChainHash(last, record);
    last = {last.sequence + 1, hash};
    records.push_back({last.sequence, record, hash});
  }
  return records;
}

std::vector<state::ChainedRecord> Part(const std::vector<state::ChainedRecord>& records,
                                       std::size_t first, std::size_t end) {
  return {records.begin() + static_cast<std::ptrdiff_t>(first),
          records.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::string Message(const std::function<Result<void>()>& action) {
  return HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string();
      },
      [](const Error& error) { return error.message; });
}

std::vector<state::ChainedRecord> ReadAll(const std::string& folder, std::uint64_t after) {
  return HandleErrors([&] { return ReadOutcomes(folder, after, 1000); },
                      [](const Error& error) {
                        FAIL(error.message);
                        return std::vector<state::ChainedRecord>();
                      });
}

std::filesystem::path OnlyFile(const std::string& folder) {
  return std::filesystem::directory_iterator(folder)->path();
}

TEST_CASE("the outcome log continues after a restart and its chain verifies") {
  const TemporaryFolder temporary;
  const std::string folder = (temporary.Path() / "outcomes").string();
  const std::vector<state::ChainedRecord> records = MakeChain(20);
  for (std::size_t start = 0; start < 20; start += 5) {
    OutcomeLog log(folder);
    REQUIRE(Message([&] { return log.Open(); }) == "");
    CHECK(log.Last().sequence == start);
    REQUIRE(Message([&] { return log.Append(Part(records, start, start + 5)); }) == "");
    CHECK(log.Gaps() == 0);
  }
  const std::vector<state::ChainedRecord> read = ReadAll(folder, 0);
  CHECK(read == records);
  CHECK(state::VerifyChain(state::ChainStart(), read, {20, records.back().hash}).intact);
  CHECK(ReadAll(folder, 17).size() == 3);
}

TEST_CASE("an incomplete record at the end of the outcome log is truncated and written again") {
  const std::vector<state::ChainedRecord> records = MakeChain(3);
  for (const std::uintmax_t cut : {1U, 7U, 30U}) {
    CAPTURE(cut);
    const TemporaryFolder temporary;
    const std::string folder = temporary.Path().string();
    {
      OutcomeLog log(folder);
      REQUIRE(Message([&] { return log.Open(); }) == "");
      REQUIRE(Message([&] { return log.Append(records); }) == "");
    }
    const std::filesystem::path file = OnlyFile(folder);
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - cut);
    OutcomeLog log(folder);
    REQUIRE(Message([&] { return log.Open(); }) == "");
    CHECK(log.Last().sequence == 2);
    REQUIRE(Message([&] { return log.Append(Part(records, 2, 3)); }) == "");
    CHECK(ReadAll(folder, 0) == records);
  }
}

TEST_CASE(
    "a damaged record in the middle of the outcome log is refused, and the error names a remedy") {
  const TemporaryFolder temporary;
  const std::string folder = temporary.Path().string();
  {
    OutcomeLog log(folder);
    REQUIRE(Message([&] { return log.Open(); }) == "");
    REQUIRE(Message([&] { return log.Append(MakeChain(3)); }) == "");
  }
  std::fstream file(OnlyFile(folder), std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(20);
  file.put('?');
  file.close();
  OutcomeLog log(folder);
  CHECK(Message([&] { return log.Open(); }).find("the other control hosts") != std::string::npos);
}

TEST_CASE("missing records are counted as a gap and the next record starts a new file") {
  const TemporaryFolder temporary;
  const std::string folder = temporary.Path().string();
  const std::vector<state::ChainedRecord> records = MakeChain(10);
  OutcomeLog log(folder);
  REQUIRE(Message([&] { return log.Open(); }) == "");
  REQUIRE(Message([&] { return log.Append(Part(records, 0, 3)); }) == "");
  REQUIRE(Message([&] { return log.Append(Part(records, 6, 10)); }) == "");
  CHECK(log.Gaps() == 1);
  CHECK(ReadAll(folder, 0).size() == 7);
  CHECK(ReadAll(folder, 3).front().sequence == 7);
  CHECK_FALSE(state::VerifyChain(state::ChainStart(), ReadAll(folder, 0), {10, records.back().hash})
                  .intact);
}

// Failure: a disk that was full for a moment ends the outcome log until the process restarts.
TEST_CASE("records that a full disk refused are appended again, each once") {
  const TemporaryFolder temporary;
  const std::string folder = temporary.Path().string();
  const std::vector<state::ChainedRecord> records = MakeChain(10);
  const std::filesystem::path first = temporary.Path() / "outcomes-00000000000000000001";
  // A file that takes writes and refuses to be synced, then one that refuses writes.
  for (const char* const device : {"/dev/null", "/dev/full"}) {
    CAPTURE(device);
    std::filesystem::remove(first);
    std::filesystem::create_symlink(device, first);
    OutcomeLog log(folder);
    CHECK(Message([&] { return log.Append(Part(records, 0, 4)); }) != "");
    CHECK(log.Last().sequence == 0);
    std::filesystem::remove(first);
    REQUIRE(Message([&] { return log.Append(records); }) == "");
    CHECK(log.Last().sequence == 10);
    CHECK(log.Gaps() == 0);
    CHECK(ReadAll(folder, 0) == records);
    OutcomeLog reopened(folder);
    REQUIRE(Message([&] { return reopened.Open(); }) == "");
    CHECK(reopened.Last().sequence == 10);
  }
}

TEST_CASE("a record that stands in two files of the outcome log is read once") {
  const TemporaryFolder temporary;
  const std::string folder = temporary.Path().string();
  const std::vector<state::ChainedRecord> records = MakeChain(6);
  {
    OutcomeLog whole(folder);
    REQUIRE(Message([&] { return whole.Append(records); }) == "");
  }
  OutcomeLog later(folder);
  REQUIRE(Message([&] { return later.Append(Part(records, 3, 6)); }) == "");
  CHECK(ReadAll(folder, 0) == records);
  CHECK(ReadAll(folder, 4).size() == 2);
}

// Failure: the writer stops for good after one failed write, though its replica goes on.
TEST_CASE("the outcome writer goes on when the disk takes writes again") {
  const TemporaryFolder temporary;
  const std::string folder = temporary.Path().string();
  state::ReplicatedState state;
  const std::unique_ptr<OutcomeWriter> writer =
      HandleErrors([&] { return OutcomeWriter::Start(folder, state); },
                   [](const Error&) { return std::unique_ptr<OutcomeWriter>(); });
  REQUIRE(writer);
  const std::filesystem::path first =
      temporary.Path() / "outcomes" / "outcomes-00000000000000000001";
  std::filesystem::create_symlink("/dev/full", first);
  constexpr std::uint64_t kCharges = 3;
  constexpr WallTimeMs kReceivedAt = 10'000'000;
  for (std::uint64_t index = 1; index <= kCharges; ++index) {
    state::ChargeLine line;
    line.request = RequestId("r" + std::to_string(index));
    line.cost = index;
    line.received_at = kReceivedAt;
    state.Apply(index, state::EncodeCommand(state::Charge{line, kReceivedAt}));
  }
  REQUIRE(state.ChainHead().sequence == kCharges);
  REQUIRE(WaitUntil([&] { return writer->Failed(); }));
  std::filesystem::remove(first);
  CHECK(WaitUntil([&] { return !writer->Failed(); }));
  CHECK(WaitUntil([&] { return writer->LastSequence() == kCharges; }));
  CHECK(ReadAll(writer->Folder(), 0) == state.RecordsAfter(0, 100));
  writer->Stop();
}

// Failure: after a loss of power the replica never starts again, because of an auxiliary file.
TEST_CASE("a control host whose outcome log is damaged starts and serves") {
  ControlCluster cluster(1);
  const std::string folder = cluster.FolderOf(0) + "/outcomes";
  std::filesystem::create_directories(folder);
  {
    OutcomeLog log(folder);
    REQUIRE(Message([&] { return log.Open(); }) == "");
    REQUIRE(Message([&] { return log.Append(MakeChain(3)); }) == "");
  }
  const std::filesystem::path damaged = OnlyFile(folder);
  std::fstream file(damaged, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(20);
  file.put('?');
  file.close();
  REQUIRE(cluster.TryStart(0) == "");
  CHECK(WaitUntil([&] { return cluster.AllReady(); }));
  CHECK_FALSE(std::filesystem::exists(damaged));
  CHECK(std::filesystem::exists(folder + "/damaged-" + damaged.filename().string()));
}

}  // namespace
}  // namespace masticrill::control
