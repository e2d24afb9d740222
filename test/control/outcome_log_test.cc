#include "control/outcome_log.h"

#include <doctest/doctest.h>

#include <fstream>

#include "fakes/control_cluster.h"

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
