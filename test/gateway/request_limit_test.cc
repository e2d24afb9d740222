#include "masticrill/gateway/request_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticrill::gateway {
namespace {

constexpr std::uint64_t kUpstream = 77;
constexpr WallTimeMs kBegin = 1'790'000'000'000;
constexpr WallTimeMs kTurnMs = 500;

std::vector<EntryShare> Entries(int count, std::uint32_t weight = 10) {
  std::vector<EntryShare> entries;
  for (int number = 0; number < count; ++number) {
    entries.push_back({"10.0.0." + std::to_string(number) + ":7000", weight});
  }
  return entries;
}

std::vector<RequestTurns> AllTurns(const std::vector<EntryShare>& entries) {
  std::vector<RequestTurns> turns;
  for (const EntryShare& entry : entries) {
    turns.emplace_back(entry.address, entries);
  }
  return turns;
}

TEST_CASE("every turn belongs to one entry, and each gets its share") {
  std::vector<EntryShare> entries = Entries(5);
  entries[0].weight = 60;
  const std::vector<RequestTurns> all = AllTurns(entries);
  constexpr int kTurns = 2000;
  std::map<std::size_t, int> owned;
  for (int turn = 0; turn < kTurns; ++turn) {
    int owners = 0;
    for (std::size_t entry = 0; entry < all.size(); ++entry) {
      if (all[entry].CurrentTurn(kUpstream, 2, kBegin + kTurnMs * turn)) {
        ++owners;
        ++owned[entry];
      }
    }
    CHECK(owners == 1);
  }
  // 60 of 100, and 10 of 100 each.
  CHECK(owned[0] > kTurns * 55 / 100);
  CHECK(owned[0] < kTurns * 65 / 100);
  for (std::size_t entry = 1; entry < all.size(); ++entry) {
    CHECK(owned[entry] > kTurns * 7 / 100);
    CHECK(owned[entry] < kTurns * 13 / 100);
  }
}

TEST_CASE("where entries differ on one entry, few turns change hands") {
  const std::vector<EntryShare> fleet = Entries(20);
  const std::vector<EntryShare> without_last(fleet.begin(), fleet.end() - 1);
  const RequestTurns one(fleet[0].address, fleet);
  const RequestTurns other(fleet[0].address, without_last);
  int differing = 0;
  constexpr int kTurns = 2000;
  for (int turn = 0; turn < kTurns; ++turn) {
    const WallTimeMs now = kBegin + kTurnMs * turn;
    differing += one.CurrentTurn(kUpstream, 2, now) != other.CurrentTurn(kUpstream, 2, now) ? 1 : 0;
  }
  CHECK(differing < kTurns / 100);
}

TEST_CASE("an entry alone has all turns; one that is not listed yet takes part") {
  const RequestTurns alone;
  CHECK(alone.CurrentTurn(kUpstream, 2, kBegin));
  CHECK(alone.CurrentTurn(kUpstream, 2, kBegin) != alone.CurrentTurn(kUpstream, 2, kBegin + 500));
  CHECK(alone.CurrentTurn(kUpstream, 2, kBegin) == alone.CurrentTurn(kUpstream, 2, kBegin + 499));
  const RequestTurns added("10.9.9.9:7000", Entries(3));
  int owned = 0;
  for (int turn = 0; turn < 1000; ++turn) {
    owned += added.CurrentTurn(kUpstream, 2, kBegin + kTurnMs * turn) ? 1 : 0;
  }
  CHECK(owned > 150);
  CHECK(owned < 350);
}

TEST_CASE("the next turn of an entry is found within the horizon") {
  const std::vector<RequestTurns> all = AllTurns(Entries(5));
  for (int step = 0; step < 200; ++step) {
    const WallTimeMs now = kBegin + WallTimeMs{130} * step;
    const Duration wait = all[2].UntilNextTurn(kUpstream, 4, now, seconds(60));
    REQUIRE(wait < Duration(seconds(60)));
    const WallTimeMs then = now + duration_cast<milliseconds>(wait).count();
    CHECK(all[2].CurrentTurn(kUpstream, 4, then));
  }
  CHECK(all[2].UntilNextTurn(kUpstream, 0, kBegin, seconds(1)) == Duration(seconds(1)));
}

TEST_CASE("a limit that changes a little with each answer keeps the numbers of the turns") {
  std::optional<double> rate;
  rate = TurnRate(rate, 2.2);
  const double first = *rate;
  CHECK(first <= 2.2);
  CHECK(first > 1.9);
  for (const double stated : {2.21, 2.19, 2.25, 2.2}) {
    rate = TurnRate(rate, stated);
    CHECK(*rate == first);
  }
  CHECK(TurnRate(rate, 1.0) <= 1.0);
  CHECK(TurnRate(rate, 9.0) > 8.0);
  CHECK(TurnRate(rate, 0) == 0);
}

TEST_CASE("demand is the recent rate of requests, in tenths a second") {
  const TimePoint begin = TimePoint() + std::chrono::hours(1);
  DemandMeter meter;
  std::uint32_t demand = meter.Read(0, begin);
  CHECK(demand == 0);
  for (std::uint64_t second = 1; second <= 60; ++second) {
    demand = meter.Read(20 * second, begin + seconds(second));
  }
  CHECK(demand == 200);
}

}  // namespace
}  // namespace masticrill::gateway
