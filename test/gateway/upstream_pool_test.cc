#include "masticrill/gateway/upstream_pool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace masticrill::gateway {
namespace {

const ServiceId kService("s");
const FailureDomainId kNorth("north");
const FailureDomainId kSouth("south");

TimePoint At(double in_seconds) {
  return TimePoint() + std::chrono::hours(1) +
         duration_cast<Duration>(std::chrono::duration<double>(in_seconds));
}

ListedUpstream Listed(const std::string& id, const FailureDomainId& domain,
                      const std::string& version = "v1") {
  ListedUpstream upstream;
  upstream.id = UpstreamId(id);
  upstream.service = kService;
  upstream.address = "127.0.0.1:1";
  upstream.failure_domain = domain;
  upstream.version = VersionId(version);
  upstream.slots = 8;
  upstream.started_at = 1;
  return upstream;
}

RouteTablePtr TableWithColdStart(double per_second) {
  RouteTable table;
  table.services[kService] = {kService, 0, {milliseconds(3000), per_second}, true, 1, {}};
  return std::make_shared<const RouteTable>(std::move(table));
}

std::unique_ptr<UpstreamPool> MakePool(std::uint64_t seed = 1) {
  auto pool = std::make_unique<UpstreamPool>(PoolSettings{.own_domain = kNorth}, Random(seed));
  pool->SetRules({TableWithColdStart(20), {}, {}});
  return pool;
}

UpstreamPick PickAt(UpstreamPool& pool, double in_seconds, const std::string& session = "",
                    WallTimeMs wall = 0) {
  return pool.Pick({kService, {}, "", {}, session}, At(in_seconds), wall);
}

TEST_CASE("an upstream that is leaving, gone, tried or in a closed domain gets no new work") {
  const auto pool = MakePool();
  ListedUpstream leaving = Listed("leaving", kNorth);
  leaving.leaving = true;
  pool->SetList({leaving, Listed("closed", kSouth), Listed("gone", kNorth), Listed("here", kNorth)},
                At(0));
  pool->SetList({leaving, Listed("closed", kSouth), Listed("here", kNorth)}, At(1));
  pool->SetRules({TableWithColdStart(0), {kSouth}, {}});
  for (int request = 0; request < 20; ++request) {
    const UpstreamPick pick = PickAt(*pool, 2);
    REQUIRE(pick.status == PickStatus::kFound);
    CHECK(pick.upstream.id == UpstreamId("here"));
  }
  CHECK(pool->Pick({kService, {UpstreamId("here")}, "", {}, ""}, At(2), 0).status ==
        PickStatus::kAllTried);
  CHECK(pool->Pick({ServiceId("other"), {}, "", {}, ""}, At(2), 0).status ==
        PickStatus::kNoUpstream);
}

TEST_CASE("an upstream whose address another one has taken over is avoided for a limited time") {
  const auto pool = MakePool();
  const UpstreamList list = {Listed("lost", kNorth), Listed("here", kSouth)};
  pool->SetList(list, At(0));
  pool->OnAddressTaken(UpstreamId("lost"), At(1));
  // The list lags and still shows the lost upstream.
  pool->SetList(list, At(1.5));
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*pool, 2).upstream.id == UpstreamId("here"));
  }
  // When no other upstream is left, the lost one is tried rather than the request refused.
  CHECK(pool->Pick({kService, {UpstreamId("here")}, "", {}, ""}, At(2), 0).upstream.id ==
        UpstreamId("lost"));

  SUBCASE("the lost upstream is chosen again once the list shows it at another address") {
    UpstreamList next = list;
    next[0].address = "127.0.0.1:2";
    pool->SetList(next, At(2.5));
    CHECK(pool->Pick({kService, {}, "", {1, 1, 0}, ""}, At(2.5), 0).upstream.id ==
          UpstreamId("lost"));
  }
  SUBCASE("the lost upstream is chosen again after the time that a list may lag") {
    CHECK(pool->Pick({kService, {}, "", {1, 1, 0}, ""}, At(10), 0).upstream.id ==
          UpstreamId("lost"));
  }
}

/// The times, in seconds, at which `count` entries send requests to a cold upstream. Each entry
/// always has a request waiting, and their clocks differ by less than kClockSpreadMs.
std::vector<double> SendToColdUpstream(std::uint32_t count, double per_second) {
  constexpr WallTimeMs kClockSpreadMs = 40;
  std::vector<std::unique_ptr<UpstreamPool>> entries;
  for (std::uint32_t entry = 0; entry < count; ++entry) {
    entries.push_back(MakePool(entry));
    entries.back()->SetRules({TableWithColdStart(per_second), {}, {}});
    entries.back()->SetEntryPosition({entry, count});
    entries.back()->SetList({}, At(0));
    entries.back()->SetList({Listed("back", kNorth)}, At(1));
  }
  std::vector<double> sent;
  for (double now = 1; now < 3.9; now += 0.005) {
    for (std::uint32_t entry = 0; entry < count; ++entry) {
      const WallTimeMs wall = 1'700'000'000'000 + static_cast<WallTimeMs>(now * 1000) +
                              (static_cast<WallTimeMs>(entry) * 7) % kClockSpreadMs;
      if (PickAt(*entries[entry], now, "", wall).status == PickStatus::kFound) {
        sent.push_back(now);
      }
    }
  }
  // The upstream is warm again after its cold-start duration.
  for (int request = 0; request < 50; ++request) {
    CHECK(PickAt(*entries.front(), 4.1).status == PickStatus::kFound);
  }
  return sent;
}

TEST_CASE(
    "cold restart: all entries together send a cold upstream no more than its rate limit allows") {
  // Pattern: the upstreams of a failure domain restart together while every entry has requests
  // waiting, in small and in large fleets.
  for (const std::uint32_t count : {1U, 7U, 32U, 320U}) {
    for (const double per_second : {12.0, 22.0}) {
      CAPTURE(count);
      CAPTURE(per_second);
      const std::vector<double> sent = SendToColdUpstream(count, per_second);
      for (std::size_t first = 0; first < sent.size(); ++first) {
        std::size_t last = first;
        while (last < sent.size() && sent[last] < sent[first] + 1) {
          ++last;
        }
        // Operators allow one and a half times the rate, plus five requests, in one second.
        REQUIRE(static_cast<double>(last - first) <= per_second * 1.5 + 5);
      }
      // The allowed rate is used for most of the time.
      CHECK(static_cast<double>(sent.size()) > per_second * 2);
    }
  }
}

TEST_CASE("an upstream that restarts under the same name is cold") {
  const auto pool = MakePool();
  ListedUpstream upstream = Listed("u", kNorth);
  upstream.started_at = 1000;
  pool->SetList({upstream}, At(0));
  for (int request = 0; request < 30; ++request) {
    CHECK(PickAt(*pool, 0.5).status == PickStatus::kFound);
  }
  upstream.started_at = 2000;
  pool->SetList({upstream}, At(1));
  int found = 0;
  for (int request = 0; request < 30; ++request) {
    found += PickAt(*pool, 1.1).status == PickStatus::kFound ? 1 : 0;
  }
  CHECK(found <= 2);
}

TEST_CASE("roll-out: a session's version is the same at every entry and never changes back") {
  config::ServiceRollout rollout{VersionId("v2"), milliseconds(20'000), 0,
                                 config::ServiceRolloutState::kRunning, ""};
  const auto first_entry = MakePool(1);
  const auto second_entry = MakePool(2);
  for (UpstreamPool* pool : {first_entry.get(), second_entry.get()}) {
    pool->SetList({Listed("old", kNorth, "v1"), Listed("new", kNorth, "v2")}, At(0));
    pool->SetRules({TableWithColdStart(0), {}, {{kService, rollout}}});
  }
  std::map<std::string, VersionId> last;
  int on_target = 0;
  for (WallTimeMs now = 0; now < 20'000; now += 500) {
    for (int session = 0; session < 100; ++session) {
      const std::string name = "session-" + std::to_string(session);
      const VersionId version = PickAt(*first_entry, 0, name, now).upstream.version;
      CHECK(version == PickAt(*second_entry, 0, name, now).upstream.version);
      if (last[name] == VersionId("v2")) {
        CHECK(version == VersionId("v2"));
      }
      if (now < 10'000) {
        CHECK(version == VersionId("v1"));
      }
      on_target += now == 12'000 && version == VersionId("v2") ? 1 : 0;
      last[name] = version;
    }
  }
  CHECK(on_target > 0);
  CHECK(on_target < 30);

  rollout.state = config::ServiceRolloutState::kRolledBack;
  first_entry->SetRules({TableWithColdStart(0), {}, {{kService, rollout}}});
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*first_entry, 0, "", 25'000).upstream.version == VersionId("v1"));
  }
}

TEST_CASE("an upstream that fails repeatedly is not chosen while others are available") {
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->SetList({Listed("bad", kNorth), Listed("good", kSouth)}, At(0));
  for (int request = 0; request < 40; ++request) {
    const UpstreamPick pick = PickAt(*pool, 0.01 * request);
    pool->Release(
        pick.upstream.id, pick.work,
        pick.upstream.id == UpstreamId("bad") ? AttemptVerdict::kFailure : AttemptVerdict::kSuccess,
        At(0.01 * request));
  }
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*pool, 0.5).upstream.id == UpstreamId("good"));
  }
  CHECK(pool->Pick({kService, {UpstreamId("good")}, "", {}, ""}, At(0.5), 0).upstream.id ==
        UpstreamId("bad"));
}

TEST_CASE("work that waits at an upstream sends requests elsewhere until its answers begin") {
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->SetList({Listed("one", kNorth), Listed("two", kNorth)}, At(0));
  const UpstreamQuery large{kService, {}, "", {0, 10'000, 0}, ""};
  const UpstreamPick first = pool->Pick(large, At(0), 0);
  for (int request = 0; request < 10; ++request) {
    const UpstreamPick small = pool->Pick({kService, {}, "", {0, 100, 0}, ""}, At(0), 0);
    CHECK(small.upstream.id != first.upstream.id);
    pool->Release(small.upstream.id, small.work, AttemptVerdict::kSuccess, At(0));
  }
  pool->OnAnswerStarted(first.upstream.id, first.work);
  CHECK(pool->OwnWork() == std::vector<UpstreamWork>{{ShortKey(first.upstream.id), 0, 1}});
  pool->Release(first.upstream.id, 0, AttemptVerdict::kSuccess, At(1));
  CHECK(pool->OwnWork().empty());
}

TEST_CASE("the work that other entries report counts until their notices expire") {
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->SetList({Listed("busy", kNorth), Listed("free", kSouth)}, At(0));
  pool->SetPeerWork(NodeId("other"), {{ShortKey(UpstreamId("busy")), 5'000, 3}}, At(1));
  pool->SetPeerWork(NodeId("third"), {{ShortKey(UpstreamId("unknown")), 9'000, 3}}, At(1));
  for (int request = 0; request < 10; ++request) {
    CHECK(PickAt(*pool, 1.1).upstream.id == UpstreamId("free"));
  }
  // The next notice replaces the sender's previous one; that of the other entry has expired.
  pool->SetPeerWork(NodeId("third"), {}, At(3));
  CHECK(PickAt(*pool, 3).upstream.id == UpstreamId("busy"));
}

TEST_CASE(
    "the sum of other entries' work is independent of the order of lists, notices and expiry") {
  // Pattern: many entries report their work often while upstreams are added and removed.
  constexpr int kRounds = 300;
  constexpr std::uint64_t kUpstreams = 6;
  constexpr std::uint64_t kHosts = 5;
  Random random(7);
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  std::map<std::string, std::pair<double, std::vector<UpstreamWork>>> reported;
  UpstreamList list;
  for (int round = 0; round < kRounds; ++round) {
    const double now = 0.11 * round;
    if (round % 20 == 0) {
      list.clear();
      for (std::uint64_t number = 0; number < kUpstreams; ++number) {
        if (random.Below(4) > 0) {
          list.push_back(Listed("u" + std::to_string(number), kNorth));
        }
      }
      list.push_back(Listed("always", kNorth));
      pool->SetList(list, At(now));
    }
    const std::string host = "h" + std::to_string(random.Below(kHosts));
    std::vector<UpstreamWork> work;
    for (std::uint64_t number = 0; number < kUpstreams; ++number) {
      work.push_back({ShortKey(UpstreamId("u" + std::to_string(number))),
                      static_cast<std::uint32_t>(random.Below(9'000)),
                      static_cast<std::uint16_t>(random.Below(5))});
    }
    reported.insert_or_assign(host, std::pair(now, work));
    pool->SetPeerWork(NodeId(host), work, At(now));

    // A new pool that receives all current notices at once must compute the same loads.
    const auto fresh = MakePool();
    fresh->SetRules({TableWithColdStart(0), {}, {}});
    fresh->SetList(list, At(now));
    for (const auto& [name, last] : reported) {
      if (now - last.first < 0.8) {
        fresh->SetPeerWork(NodeId(name), last.second, At(last.first));
      }
    }
    std::set<UpstreamId> excluded;
    for (std::size_t place = 0; place < list.size(); ++place) {
      const UpstreamQuery query{kService, excluded, "", {0, 1, 0}, ""};
      const UpstreamPick pick = pool->Pick(query, At(now), 0);
      const UpstreamPick expected = fresh->Pick(query, At(now), 0);
      REQUIRE(pick.load == expected.load);
      excluded.insert(expected.upstream.id);
      pool->Release(pick.upstream.id, pick.work, AttemptVerdict::kNeutral, At(now));
      fresh->Release(expected.upstream.id, expected.work, AttemptVerdict::kNeutral, At(now));
    }
  }
}

TEST_CASE("burst: entries that report their work to each other spread it evenly over upstreams") {
  // Pattern: many long prompts arrive at several entries at once, no more at each entry than there
  // are upstreams. Without notices, each entry would know only its own work.
  constexpr int kEntries = 4;
  constexpr int kUpstreams = 8;
  const auto run = [](bool send_notices) {
    UpstreamList list;
    for (int number = 0; number < kUpstreams; ++number) {
      list.push_back(Listed("u" + std::to_string(number), kNorth));
    }
    std::vector<std::unique_ptr<UpstreamPool>> entries;
    for (int entry = 0; entry < kEntries; ++entry) {
      entries.push_back(MakePool(static_cast<std::uint64_t>(entry)));
      entries.back()->SetRules({TableWithColdStart(0), {}, {}});
      entries.back()->SetList(list, At(0));
    }
    std::map<UpstreamId, double> work;
    for (int round = 0; round < 8; ++round) {
      for (int entry = 0; entry < kEntries; ++entry) {
        const UpstreamPick pick = entries[static_cast<std::size_t>(entry)]->Pick(
            {kService, {}, "", {0, 1'000, 0}, ""}, At(0.01 * round), 0);
        work[pick.upstream.id] += pick.work;
        for (int other = 0; send_notices && other < kEntries; ++other) {
          if (other != entry) {
            entries[static_cast<std::size_t>(other)]->SetPeerWork(
                NodeId("entry-" + std::to_string(entry)),
                entries[static_cast<std::size_t>(entry)]->OwnWork(), At(0.01 * round));
          }
        }
      }
    }
    double most = 0;
    for (const auto& [upstream, sum] : work) {
      most = std::max(most, sum);
    }
    return most;
  };
  // 32 requests of 1000 at 8 upstreams: 4000 each when shared evenly.
  CHECK(run(true) == 4'000);
  CHECK(run(false) >= 4'000);
}

/// The picks of one second, a hundred at equal intervals, that fell on an upstream. Each is
/// answered.
int PicksOf(UpstreamPool& pool, const std::string& id, double from, bool answers = true) {
  int picks = 0;
  for (int request = 0; request < 100; ++request) {
    const double at = from + request / 100.0;
    const UpstreamPick pick = PickAt(pool, at);
    if (pick.status != PickStatus::kFound) {
      continue;
    }
    picks += pick.upstream.id == UpstreamId(id) ? 1 : 0;
    if (answers) {
      pool.OnAnswerStarted(pick.upstream.id, pick.work);
    }
    pool.Release(pick.upstream.id, 0, AttemptVerdict::kNeutral, At(at));
  }
  return picks;
}

// Guards against requests, of whatever kind, that reach an upstream which has asked for a pause.
TEST_CASE("an upstream that asks for a pause gets nothing until its end, lists and rules aside") {
  const auto pool = MakePool();
  const UpstreamList list = {Listed("a", kNorth), Listed("b", kSouth)};
  pool->SetList(list, At(0));
  CHECK(PicksOf(*pool, "a", 0) > 0);
  pool->OnPause(UpstreamId("a"), seconds(3), At(1));
  // A shorter pause does not end it.
  pool->OnPause(UpstreamId("a"), milliseconds(100), At(1.5));
  CHECK(pool->PausedCount(At(2)) == 1);
  CHECK(PicksOf(*pool, "a", 1.5) == 0);
  pool->SetList(list, At(2.5));
  pool->SetRules({TableWithColdStart(0), {}, {}});
  CHECK(PicksOf(*pool, "a", 2.6) == 0);
  // Neither does an absence from the list.
  pool->SetList({list[1]}, At(3.6));
  pool->SetList(list, At(3.7));
  CHECK(pool->Pick({kService, {UpstreamId("b")}, "", {}, ""}, At(3.9), 0).status ==
        PickStatus::kPaused);
  CHECK_FALSE(pool->MayStillSend(UpstreamId("a"), At(3.9)));
  CHECK(pool->MayStillSend(UpstreamId("b"), At(3.9)));
  CHECK(PicksOf(*pool, "a", 4.7) > 0);
  CHECK(pool->PausedCount(At(5)) == 0);
}

TEST_CASE("a longer pause extends one, and a new start ends it") {
  const auto pool = MakePool();
  ListedUpstream upstream = Listed("a", kNorth);
  pool->SetList({upstream}, At(0));
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->OnPause(UpstreamId("a"), seconds(1), At(1));
  pool->OnPause(UpstreamId("a"), seconds(5), At(1.5));
  const UpstreamPick paused = PickAt(*pool, 3);
  CHECK(paused.status == PickStatus::kPaused);
  // The first end: the pause and, at most, the spread.
  CHECK(paused.retry_after >= milliseconds(3500));
  CHECK(paused.retry_after <= milliseconds(4500));
  upstream.started_at = 7;
  pool->SetList({upstream}, At(3));
  CHECK(PickAt(*pool, 3).status == PickStatus::kFound);
}

TEST_CASE("a pause of no length is none, and an endless one is bounded") {
  const auto pool = MakePool();
  pool->SetList({Listed("a", kNorth)}, At(0));
  pool->OnPause(UpstreamId("a"), Duration(0), At(1));
  pool->OnPause(UpstreamId("unknown"), seconds(5), At(1));
  CHECK(PickAt(*pool, 1).status == PickStatus::kFound);
  pool->OnPause(UpstreamId("a"), std::chrono::hours(1), At(1));
  CHECK(PickAt(*pool, 200).status == PickStatus::kPaused);
  CHECK(PickAt(*pool, 400).status == PickStatus::kFound);
}

TEST_CASE("after a pause an upstream gets few requests until it has answered one") {
  const auto pool = MakePool();
  pool->SetList({Listed("a", kNorth), Listed("b", kNorth)}, At(0));
  pool->OnPause(UpstreamId("a"), seconds(2), At(0));
  CHECK(PicksOf(*pool, "a", 3, false) <= 2);
  CHECK(PicksOf(*pool, "a", 4.2) > 10);
}

TEST_CASE("entries that were asked for the same pause return one after another") {
  std::set<std::int64_t> ends;
  for (std::uint64_t entry = 1; entry <= 100; ++entry) {
    const auto pool = MakePool(entry);
    pool->SetList({Listed("a", kNorth)}, At(0));
    pool->OnPause(UpstreamId("a"), seconds(3), At(0));
    const Duration left = PickAt(*pool, 0).retry_after;
    CHECK(left >= seconds(3));
    CHECK(left <= milliseconds(3600));
    ends.insert(duration_cast<milliseconds>(left).count() / 10);
  }
  CHECK(ends.size() > 30);
}

TEST_CASE("a pause neither ejects an upstream nor moves its requests to another version") {
  const auto pool = MakePool();
  pool->SetList({Listed("a", kNorth), Listed("b", kNorth, "v2")}, At(0));
  config::ServiceRollout rollout;
  rollout.target = VersionId("v2");
  rollout.state = config::ServiceRolloutState::kRolledBack;
  pool->SetRules({TableWithColdStart(0), {}, {{kService, rollout}}});
  pool->OnPause(UpstreamId("a"), seconds(1), At(0));
  CHECK(PickAt(*pool, 0.5).status == PickStatus::kPaused);
  CHECK(PickAt(*pool, 2).upstream.id == UpstreamId("a"));
}

// Guards against an upstream that is taken to have started again, and gets new work although it has
// said that it leaves, since the list leaves out its time of start.
TEST_CASE("a list without a time of start is not taken for a restart") {
  // The times of start in the lists that follow, and whether the upstream started again.
  const std::vector<std::pair<std::vector<WallTimeMs>, bool>> cases = {
      {{0, 0, 0}, false},       {{500, 0, 500, 0}, false},  {{0, 500, 0, 500}, false},
      {{500, 0, 900}, true},    {{500, 900}, true},         {{500, 0, 0, 400}, true},
      {{500, 500, 500}, false}, {{0, 0, 500, 0, 900}, true}};
  for (const auto& test_case : cases) {
    const std::vector<WallTimeMs>& starts = test_case.first;
    const bool has_restarted = test_case.second;
    CAPTURE(starts.size());
    const auto pool = MakePool();
    ListedUpstream upstream = Listed("a", kNorth);
    upstream.started_at = starts.front();
    pool->SetList({upstream}, At(0));
    pool->OnLeaving(UpstreamId("a"));
    for (std::size_t reading = 1; reading < starts.size(); ++reading) {
      upstream.started_at = starts[reading];
      pool->SetList({upstream}, At(static_cast<double>(reading)));
    }
    const bool gets_work = PickAt(*pool, 60).status == PickStatus::kFound;
    CHECK(gets_work == has_restarted);
  }
}

TEST_CASE("an upstream that says it is leaving gets nothing until it starts again") {
  const auto pool = MakePool();
  ListedUpstream leaving = Listed("a", kNorth);
  const ListedUpstream staying = Listed("b", kSouth);
  pool->SetList({leaving, staying}, At(0));
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->OnLeaving(UpstreamId("a"));
  CHECK(pool->LeavingCount() == 1);
  CHECK_FALSE(pool->MayStillSend(UpstreamId("a"), At(1)));
  CHECK(PicksOf(*pool, "a", 1) == 0);
  // The list lags, and may leave it out for a moment.
  pool->SetList({staying}, At(2));
  pool->SetList({leaving, staying}, At(3));
  CHECK(PicksOf(*pool, "a", 3) == 0);
  leaving.started_at = 7;
  pool->SetList({leaving, staying}, At(5));
  CHECK(PicksOf(*pool, "a", 5) > 0);
  CHECK(pool->LeavingCount() == 0);
}

}  // namespace
}  // namespace masticrill::gateway
