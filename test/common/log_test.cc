#include "masticrill/common/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace masticrill {
namespace {

constexpr Logger kLog(LogPart::kCommon);
constexpr int kFlood = 20'000;

TEST_CASE("a log whose reader has stopped holds nobody up, and drops lines by count") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  ConfigureLog({.level = LogLevel::kInfo, .json = true, .queued = true});
  // Nobody reads the pipe: without a queue this would never end.
  for (int line = 0; line < kFlood; ++line) {
    kLog.Info("A line of a flood.", {{"number", line}});
  }
  const std::uint64_t dropped = DroppedLogLines();
  CHECK(dropped > kFlood / 2);
  // A warning still finds room.
  kLog.Warning("A warning behind the flood.");
  CHECK(DroppedLogLines() == dropped);

  std::string seen;
  std::array<char, 65536> block{};
  while (seen.find("A warning behind") == std::string::npos) {
    const ssize_t count = read(ends[0], block.data(), block.size());
    REQUIRE(count > 0);
    seen.append(block.data(), static_cast<std::size_t>(count));
  }
  CHECK(seen.find("Log lines were dropped") != std::string::npos);
  CHECK(seen.find("\"time\":\"20") != std::string::npos);
  FlushLog(std::chrono::milliseconds(10'000));
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[0]);
  close(ends[1]);
  ConfigureLog({});
}

}  // namespace
}  // namespace masticrill
