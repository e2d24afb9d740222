#include "masticrill/gateway/upstream_pool.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
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
  return pool.Pick({kService, {}, "", session}, At(in_seconds), wall);
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
  CHECK(pool->Pick({kService, {UpstreamId("here")}, "", ""}, At(2), 0).status ==
        PickStatus::kAllTried);
  CHECK(pool->Pick({ServiceId("other"), {}, "", ""}, At(2), 0).status == PickStatus::kNoUpstream);
}

TEST_CASE("cold return: all entries together send a cold upstream no more than it bears") {
  // Pattern: the upstreams of a domain come back together while every entry has requests waiting.
  constexpr int kEntries = 7;
  constexpr double kPerSecond = 20;
  std::vector<std::unique_ptr<UpstreamPool>> entries;
  for (int entry = 0; entry < kEntries; ++entry) {
    entries.push_back(MakePool(static_cast<std::uint64_t>(entry)));
    entries.back()->SetEntryCount(kEntries);
    entries.back()->SetList({}, At(0));
    entries.back()->SetList({Listed("back", kNorth)}, At(1));
  }
  std::vector<double> sent;
  for (double now = 1; now < 3.9; now += 0.01) {
    for (const auto& entry : entries) {
      if (PickAt(*entry, now).status == PickStatus::kFound) {
        sent.push_back(now);
      }
    }
  }
  for (std::size_t first = 0; first < sent.size(); ++first) {
    std::size_t last = first;
    while (last < sent.size() && sent[last] < sent[first] + 1) {
      ++last;
    }
    // What operators allow over the rate for one second: half as much again and five.
    CHECK(static_cast<double>(last - first) <= kPerSecond * 1.5 + 5);
  }
  CHECK(sent.size() > 30);
  // Warm again after its time.
  for (int request = 0; request < 50; ++request) {
    CHECK(PickAt(*entries.front(), 4.1).status == PickStatus::kFound);
  }
}

TEST_CASE("an upstream that starts again under its name is cold") {
  const auto pool = MakePool();
  pool->SetEntryCount(1);
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

TEST_CASE("roll-out: a session's version is the same at every entry and never goes back") {
  config::ServiceRollout rollout{VersionId("v2"), milliseconds(20'000), 0,
                                 config::ServiceRolloutState::kRunning, ""};
  const auto one = MakePool(1);
  const auto other = MakePool(2);
  for (UpstreamPool* pool : {one.get(), other.get()}) {
    pool->SetList({Listed("old", kNorth, "v1"), Listed("new", kNorth, "v2")}, At(0));
    pool->SetRules({TableWithColdStart(0), {}, {{kService, rollout}}});
  }
  std::map<std::string, VersionId> last;
  int on_trial = 0;
  for (WallTimeMs now = 0; now < 20'000; now += 500) {
    for (int session = 0; session < 100; ++session) {
      const std::string name = "session-" + std::to_string(session);
      const VersionId version = PickAt(*one, 0, name, now).upstream.version;
      CHECK(version == PickAt(*other, 0, name, now).upstream.version);
      if (last[name] == VersionId("v2")) {
        CHECK(version == VersionId("v2"));
      }
      if (now < 10'000) {
        CHECK(version == VersionId("v1"));
      }
      on_trial += now == 12'000 && version == VersionId("v2") ? 1 : 0;
      last[name] = version;
    }
  }
  CHECK(on_trial > 0);
  CHECK(on_trial < 30);

  rollout.state = config::ServiceRolloutState::kRolledBack;
  one->SetRules({TableWithColdStart(0), {}, {{kService, rollout}}});
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*one, 0, "", 25'000).upstream.version == VersionId("v1"));
  }
}

TEST_CASE("an upstream that fails again and again is left out while others are there") {
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->SetList({Listed("bad", kNorth), Listed("good", kSouth)}, At(0));
  for (int request = 0; request < 40; ++request) {
    const UpstreamPick pick = PickAt(*pool, 0.01 * request);
    pool->Release(pick.upstream.id,
                  pick.upstream.id == UpstreamId("bad") ? AttemptVerdict::kBad
                                                        : AttemptVerdict::kGood,
                  At(0.01 * request));
  }
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*pool, 0.5).upstream.id == UpstreamId("good"));
  }
  CHECK(pool->Pick({kService, {UpstreamId("good")}, "", ""}, At(0.5), 0).upstream.id ==
        UpstreamId("bad"));
}

TEST_CASE("a report of load counts, with what this host has sent since, until it is old") {
  const auto pool = MakePool();
  pool->SetRules({TableWithColdStart(0), {}, {}});
  pool->SetList({Listed("busy", kNorth), Listed("free", kNorth)}, At(0));
  pool->OnLoad(UpstreamId("busy"), {100, 0, 8}, At(0));
  for (int request = 0; request < 20; ++request) {
    CHECK(PickAt(*pool, 1).upstream.id == UpstreamId("free"));
  }
  // The report has aged: what this host has in flight decides.
  CHECK(PickAt(*pool, 9).upstream.id == UpstreamId("busy"));
}

}  // namespace
}  // namespace masticrill::gateway
