#include "sidecar/load_reporter.h"

#include <doctest/doctest.h>

namespace masticrill::sidecar {
namespace {

const TimePoint kStart{seconds(1000)};

net::LoadReport Load(std::uint32_t in_flight, std::uint32_t limit, bool cold = false) {
  net::LoadReport load;
  load.in_flight = in_flight;
  load.limit = limit;
  load.cold = cold;
  return load;
}

TEST_CASE(
    "a changed load is reported from min_change_share on, an unchanged one after repeat_interval") {
  struct Row {
    const char* name;
    net::LoadReport load;
    milliseconds after;
    bool due;
  };
  const std::vector<Row> rows = {
      {"the same, soon", Load(4, 16), milliseconds(1500), false},
      {"the same, after the repeat interval", Load(4, 16), milliseconds(4000), true},
      {"a little more", Load(7, 16), milliseconds(1500), false},
      {"a quarter of the limit more", Load(8, 16), milliseconds(1500), true},
      {"a quarter of the limit more, too soon", Load(8, 16), milliseconds(500), false},
      {"a lower limit", Load(4, 12), milliseconds(1500), true},
      {"cold, at once", Load(4, 16, true), milliseconds(1), true},
      {"stopping, at once", Load(4, 0), milliseconds(1), true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LoadReporter reporter;
    CHECK(reporter.Due(Load(4, 16), kStart));
    CHECK(reporter.Due(row.load, kStart + row.after) == row.due);
  }
}

TEST_CASE("a load that changes continuously is reported at most once per min_interval") {
  LoadReporter reporter;
  int reports = 0;
  for (int tick = 0; tick < 600; ++tick) {
    const auto in_flight = static_cast<std::uint32_t>(tick % 2 == 0 ? 0 : 16);
    reports += reporter.Due(Load(in_flight, 16), kStart + tick * milliseconds(100)) ? 1 : 0;
  }
  CHECK(reports <= 61);
}

}  // namespace
}  // namespace masticrill::sidecar
