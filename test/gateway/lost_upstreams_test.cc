// How soon an entry stops sending requests to upstreams that can no longer be connected.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/gateway_caller.h"
#include "fakes/raw_upstream.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {
namespace {

using fakes::GatewayPath;
using fakes::kService;
using fakes::RawCall;
using fakes::RawUpstream;

const FailureDomainId kDomain("domain");

TimePoint At(double in_seconds) {
  return TimePoint() + std::chrono::hours(1) +
         duration_cast<Duration>(std::chrono::duration<double>(in_seconds));
}

ListedUpstream Listed(int number) {
  ListedUpstream upstream;
  upstream.id = UpstreamId("u" + std::to_string(number));
  upstream.service = kService;
  upstream.address = "127.0.0.1:1";
  upstream.failure_domain = kDomain;
  upstream.version = VersionId("v1");
  return upstream;
}

/// The upstreams of one service before one entry, some of which refuse connections.
class LostFleet {
 public:
  LostFleet(int upstreams, int lost) : pool({.own_domain = kDomain}, Random(7)) {
    RouteTable table;
    table.services[kService] = {kService, 0, {}, true, 1, {}};
    this->pool.SetRules({std::make_shared<const RouteTable>(std::move(table)), {}, {}});
    UpstreamList list;
    for (int number = 0; number < upstreams; ++number) {
      list.push_back(Listed(number));
      if (number < lost) {
        this->lost.insert(list.back().id);
      }
    }
    this->pool.SetList(list, At(0));
  }

  /// Sends a request that runs for a while. Returns the connections that were refused on the way.
  int Send(double now) {
    UpstreamQuery query{kService, {}, "", {0, 1, 0}, ""};
    for (int refused = 0;; ++refused) {
      const UpstreamPick pick = this->pool.Pick(query, At(now), 0);
      REQUIRE(pick.status == PickStatus::kFound);
      if (!this->lost.contains(pick.upstream.id)) {
        this->pool.OnAnswerStarted(pick.upstream.id, pick.work);
        return refused;
      }
      this->pool.Release(pick.upstream.id, pick.work, AttemptVerdict::kConnectionRefused, At(now));
      query.excluded.insert(pick.upstream.id);
    }
  }

  UpstreamPool pool;
  std::set<UpstreamId> lost;
};

TEST_CASE("half of a service lost at once: each lost upstream is found out by one connection") {
  // Pattern: 80 of 160 upstreams crash. With no work they look like the least loaded ones, so each
  // request tries one lost upstream after another until its limit of failed connections.
  constexpr int kLost = 80;
  LostFleet fleet(160, kLost);
  int refused = 0;
  for (int request = 0; request < 500; ++request) {
    refused += fleet.Send(0.001 * request);
  }
  CHECK(refused == kLost);
}

TEST_CASE(
    "half of a service lost at once: when the ejections end, a request is one probe at most") {
  // Pattern: the ejections of upstreams that crashed together end together. Without work, all of
  // them look less loaded than those that run.
  LostFleet fleet(160, 80);
  for (int request = 0; request < 200; ++request) {
    fleet.Send(0.001 * request);
  }
  for (int request = 0; request < 200; ++request) {
    CHECK(fleet.Send(1.3 + 0.001 * request) <= 1);
  }
}

TEST_CASE("a lost upstream gets one request for each ejection, and all its share once it answers") {
  LostFleet fleet(4, 2);
  int refused = 0;
  for (int request = 0; request < 300; ++request) {
    refused += fleet.Send(0.01 * request);
  }
  // At 0, 1 and 3 s.
  CHECK(refused <= 6);
  fleet.lost.clear();
  for (int request = 0; request < 8; ++request) {
    fleet.Send(20);
  }
  for (int number = 0; number < 4; ++number) {
    std::set<UpstreamId> others;
    for (int other = 0; other < 4; ++other) {
      if (other != number) {
        others.insert(Listed(other).id);
      }
    }
    CHECK(fleet.pool.Pick({kService, others, "", {}, ""}, At(20.1), 0).was_healthy);
  }
}

TEST_CASE("lossy links: one connection that is not answered says little, two in a row say enough") {
  UpstreamPool pool({.own_domain = kDomain}, Random(3));
  RouteTable table;
  table.services[kService] = {kService, 0, {}, true, 1, {}};
  pool.SetRules({std::make_shared<const RouteTable>(std::move(table)), {}, {}});
  pool.SetList({Listed(0), Listed(1)}, At(0));
  const UpstreamQuery first_only{kService, {Listed(1).id}, "", {}, ""};
  const auto fail = [&](AttemptVerdict verdict) {
    const UpstreamPick pick = pool.Pick(first_only, At(0), 0);
    pool.Release(pick.upstream.id, pick.work, verdict, At(0));
    return pick.was_healthy;
  };
  CHECK(fail(AttemptVerdict::kNoConnection));
  CHECK(fail(AttemptVerdict::kSuccess));
  CHECK(fail(AttemptVerdict::kNoConnection));
  CHECK(fail(AttemptVerdict::kNoConnection));
  CHECK_FALSE(fail(AttemptVerdict::kNeutral));
}

TEST_CASE("a request is answered though thirty upstreams before its own refuse connections") {
  RawUpstream live([](const RawCall& call) {
    call.Write("HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 4\r\n\r\ngood");
  });
  Route route;
  route.kind = RouteKind::kAtMostOnce;
  route.max_attempts = 1;
  GatewayPath path(route);
  // Nothing listens at port 1. The first upstream is local and so chosen first.
  std::vector<std::string> addresses(31, "127.0.0.1:1");
  addresses.back() = live.Address();
  path.SetUpstreams(addresses);
  const fakes::CallerSaw saw = path.Send(
      "POST /path HTTP/1.1\r\nHost: host\r\nId: r1\r\nKey: good-key\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody");
  CHECK(saw.Status() == 200);
  CHECK(live.Calls() == 1);
}

}  // namespace
}  // namespace masticrill::gateway
