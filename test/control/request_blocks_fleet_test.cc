#include <doctest/doctest.h>

#include "control/crashing_fleet.h"

namespace masticrill::control {
namespace {

/// Requests that end every upstream which runs them, and come again from callers that retry.
Scenario Repeated(int bad_requests = 1) {
  Scenario scenario;
  scenario.bad_requests = bad_requests;
  scenario.bad_per_s = 1.5 * bad_requests;
  scenario.caller_retries = 1;
  return scenario;
}

Scenario RepeatedAtPlainService() {
  Scenario scenario = Repeated();
  scenario.is_plain = true;
  scenario.upstreams = 3;
  scenario.max_attempts = 2;
  scenario.sound_per_s = 30;
  return scenario;
}

void CheckScenario(const Scenario& scenario) {
  CAPTURE(scenario.entries);
  CAPTURE(scenario.upstreams);
  CAPTURE(scenario.is_plain);
  constexpr int kSpanMs = 30'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(scenario, seed);
    fleet.Run(kSpanMs);
    CHECK(fleet.LateArrivals() <= kMaxLateArrivals);
    CHECK(fleet.BlockedRequests() == scenario.bad_requests);
    // No sound request is blocked, nor a part of one.
    CHECK(fleet.Blocked() == "");
    CHECK(fleet.Refused() == 0);
  }
}

// Guards against a request that ends upstream after upstream: nothing told its next arrival, at
// another entry, from an unrelated request.
TEST_CASE(
    "a request that ends its upstreams is blocked in time and alone at any number of entries") {
  for (const int entries : {1, 3, 8, 100}) {
    for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
      scenario.entries = entries;
      CheckScenario(scenario);
    }
  }
}

TEST_CASE("a request that ends its upstreams is blocked under uneven callers") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.share_of_first = 0.9;
    CheckScenario(scenario);
  }
}

TEST_CASE("a request that ends its upstreams is blocked at any rate") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    for (const double per_s : {0.3, 20.0}) {
      CAPTURE(per_s);
      scenario.bad_per_s = per_s;
      CheckScenario(scenario);
    }
  }
}

void CheckSeveral(int bad_requests) {
  CAPTURE(bad_requests);
  CheckScenario(Repeated(bad_requests));
  Scenario plain = RepeatedAtPlainService();
  plain.bad_requests = bad_requests;
  CheckScenario(plain);
}

TEST_CASE("two requests that end their upstreams are both blocked") { CheckSeveral(2); }

TEST_CASE("four requests that end their upstreams are all blocked") { CheckSeveral(4); }

TEST_CASE("a request that ends its only upstream is blocked") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.upstreams = 1;
    CheckScenario(scenario);
  }
}

TEST_CASE("a request that ends its upstreams is blocked with two of them, and with many") {
  for (const int upstreams : {2, 100}) {
    for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
      scenario.upstreams = upstreams;
      CheckScenario(scenario);
    }
  }
}

TEST_CASE("a request that ends its upstreams is blocked in time if evidence is lost") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.lost_reports = 0.3;
    CheckScenario(scenario);
  }
}

TEST_CASE("a request that ends its upstreams is blocked in time if an entry is restarted") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.entries = 3;
    scenario.restarted = 1;
    CheckScenario(scenario);
  }
}

TEST_CASE(
    "a request that ends its upstreams is blocked in time if one of many entries is cut off") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.cut_off = 2;
    for (const int entries : {8, 100}) {
      scenario.entries = entries;
      CheckScenario(scenario);
    }
  }
}

TEST_CASE(
    "a request that ends its upstreams is blocked in time if one of three entries is cut off") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    scenario.entries = 3;
    scenario.cut_off = 2;
    CheckScenario(scenario);
  }
}

/// Runs sound requests alone, with upstreams that end for their own reasons.
void CheckNothingBlocked(Scenario scenario) {
  scenario.bad_from_ms = INT32_MAX;
  CAPTURE(scenario.upstreams);
  CAPTURE(scenario.is_plain);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(scenario, seed);
    fleet.Run(30'000);
    CHECK(fleet.Blocked() == "");
    CHECK(fleet.Refused() == 0);
  }
}

TEST_CASE(
    "sound requests are not blocked where a failure domain is lost and upstreams end at times") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    for (const double popular_share : {0.0, 0.3, 1.0}) {
      CAPTURE(popular_share);
      scenario.popular_share = popular_share;
      scenario.own_end_every_ms = 2000;
      scenario.domain_lost_at_ms = 9000;
      CheckNothingBlocked(scenario);
    }
  }
}

TEST_CASE("sound requests are not blocked where upstreams end for their own reasons all the time") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    for (const double popular_share : {0.0, 0.3, 1.0}) {
      CAPTURE(popular_share);
      scenario.popular_share = popular_share;
      scenario.own_end_every_ms = 400;
      scenario.domain_lost_at_ms = 9000;
      CheckNothingBlocked(scenario);
      scenario.own_end_every_ms = 70;
      scenario.upstreams = 12;
      CheckNothingBlocked(scenario);
    }
  }
}

TEST_CASE("sound requests are not blocked beside one that ends its upstreams") {
  for (Scenario scenario : {Repeated(), RepeatedAtPlainService()}) {
    for (const double popular_share : {0.3, 1.0}) {
      CAPTURE(popular_share);
      scenario.popular_share = popular_share;
      CheckScenario(scenario);
    }
    scenario.sound_per_s = 300;
    CheckScenario(scenario);
  }
}

}  // namespace
}  // namespace masticrill::control
