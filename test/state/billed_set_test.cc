#include "state/billed_set.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "fakes/state_client.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 1'000'000;

TEST_CASE("only ids in the form that entries generate are parsed, and a number has one spelling") {
  const RequestId good("entry-1-1700-ab12-42");
  const auto parsed = ParseNumberedRequest(good);
  REQUIRE(parsed);
  CHECK(parsed->source == "entry-1-1700-ab12");
  CHECK(parsed->number == 42);
  const std::vector<std::string> others = {"",
                                           "42",
                                           "-42",
                                           "e-",
                                           "e-042",
                                           "e-0",
                                           "e-4x",
                                           "e-+4",
                                           "e- 4",
                                           "e-4 ",
                                           "e-99999999999999999999"};
  for (const std::string& text : others) {
    CAPTURE(text);
    CHECK_FALSE(ParseNumberedRequest(RequestId(text)));
  }
}

TEST_CASE("no number is added twice in random histories that exceed the window and max_chunks") {
  constexpr int kHistories = 20;
  constexpr int kSteps = 20'000;
  const BilledSetLimits limits{.window_ms = 1500, .max_chunks = 4, .max_sources = 1000};
  for (int seed = 1; seed <= kHistories; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    BilledSet billed;
    std::set<std::string> added;
    WallTimeMs now = kStart;
    std::vector<int> status_counts(4);
    for (int step = 0; step < kSteps; ++step) {
      now += static_cast<WallTimeMs>(random.Below(4));
      const std::string source = "e" + std::to_string(random.Below(3));
      // Numbers count up; some lines arrive thousands of requests late.
      const auto newest = static_cast<std::uint64_t>(step) + 1;
      const std::uint64_t lateness = random.Below(200) == 0 ? 12'000 : 500;
      const std::uint64_t number = newest - random.Below(std::min(newest, lateness));
      billed.Expire(now);
      const BilledStatus status = billed.Add({source, number}, limits, now);
      ++status_counts[static_cast<std::size_t>(status)];
      const std::string id = source + "-" + std::to_string(number);
      const bool known = added.contains(id);
      REQUIRE((status == BilledStatus::kAdded ? !known : true));
      REQUIRE((status == BilledStatus::kPresent ? known : true));
      if (status == BilledStatus::kAdded) {
        added.insert(id);
      }
      REQUIRE(billed.ChunkCount() <= limits.max_chunks);
    }
    for (const int count : status_counts) {
      CHECK(count > 0);
    }
  }
}

TEST_CASE("a source without chunks is evicted beyond the limit, and new sources are added") {
  const BilledSetLimits limits{.window_ms = 10, .max_chunks = 100, .max_sources = 5};
  BilledSet billed;
  WallTimeMs now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += 20;
    billed.Expire(now);
    CHECK(billed.Add({"s" + std::to_string(i), 1}, limits, now) == BilledStatus::kAdded);
  }
  CHECK(billed.Add({"s49", 1}, limits, now) == BilledStatus::kPresent);
  billed.Expire(now + 20);
  CHECK(billed.Add({"s49", 2}, limits, now + 20) == BilledStatus::kTooLate);
}

TEST_CASE(
    "a repeat of a numbered request hours later is not billed, whatever receipt time it has") {
  StateClient client;
  ChargeLine line;
  line.request = RequestId("entry-1-i1-7");
  line.team = TeamId("guild");
  line.cost = 5;
  line.received_at = kStart;
  const auto bill = [&](WallTimeMs at) {
    line.received_at = at;
    return client.Do<ChargeResult>(Charge{line, at}).status;
  };
  CHECK(bill(kStart) == ChargeStatus::kCharged);
  constexpr WallTimeMs kHour = 3'600'000;
  int billed = 0;
  for (WallTimeMs at = kStart; at < kStart + 30 * kHour; at += 60'000) {
    billed += bill(at) == ChargeStatus::kCharged ? 1 : 0;
  }
  CHECK(billed == 0);
  CHECK(client.Replica().Totals().billing.begin()->second.requests == 1);
  CHECK(client.Replica().Totals().late_charges > 0);
}

}  // namespace
}  // namespace masticrill::state
