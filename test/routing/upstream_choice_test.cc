#include "masticrill/routing/upstream_choice.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "fakes/routing_fleet.h"

namespace masticrill::routing {
namespace {

using fakes::kCheap;
using fakes::kOld;

const ModelVersion kVersion{kCheap, kOld};
const TimePoint kNow = TimePoint{} + seconds(100);

/// A table and a directory with ten workers over three failure domains, seen from domain-0.
struct Fixture {
  config::Configuration configuration = fakes::SmallFleet();
  UpstreamTable table;
  Random random{7};
  ChoiceSettings settings;
  std::uint64_t sequence = 0;

  UpstreamDecision Choose(const ChoiceRequest& request) {
    const UpstreamDirectory directory = fakes::DirectoryOf(this->configuration);
    return ChooseUpstream(directory.UpstreamsServing(kVersion), this->table, request,
                          this->settings, kNow, this->random);
  }
  ChoiceRequest Request() const { return {.version = kVersion, .expected_tokens = 100}; }

  static UpstreamId Worker(int number) { return UpstreamId("worker-" + std::to_string(number)); }

  void Load(int worker, std::uint32_t in_flight) {
    this->table.OnLoadReport({this->Worker(worker), 1, ++this->sequence, 0, in_flight, 0, 8, false},
                             kNow);
  }
  void Fail(int worker, int times, AttemptOutcome outcome = AttemptOutcome::kBroken) {
    for (int i = 0; i < times; ++i) {
      this->table.OnDispatch(this->Worker(worker), kVersion, kNow);
      this->table.OnResult(this->Worker(worker), {.version = kVersion, .outcome = outcome}, kNow);
    }
  }
  std::map<UpstreamId, int> ChooseMany(const ChoiceRequest& request, int times = 400) {
    std::map<UpstreamId, int> chosen;
    for (int i = 0; i < times; ++i) {
      if (const UpstreamDecision decision = this->Choose(request); decision.upstream) {
        ++chosen[*decision.upstream];
      }
    }
    return chosen;
  }
  bool InDomain(const UpstreamId& id, const char* domain) const {
    return this->configuration.upstreams.at(id).failure_domain == FailureDomainId(domain);
  }
};

TEST_CASE("an idle fleet serves almost only from the failure domain of the entry") {
  Fixture fixture;
  int local = 0;
  for (const auto& [id, count] : fixture.ChooseMany(fixture.Request())) {
    local += fixture.InDomain(id, "domain-0") ? count : 0;
  }
  CHECK(local > 380);
}

TEST_CASE("requests spill to other failure domains before they queue") {
  Fixture fixture;
  for (const int worker : {0, 3, 6, 9}) {
    fixture.Load(worker, 8);
  }
  for (int i = 0; i < 200; ++i) {
    const UpstreamDecision decision = fixture.Choose(fixture.Request());
    REQUIRE(decision.upstream);
    CHECK_FALSE(fixture.InDomain(*decision.upstream, "domain-0"));
    CHECK(decision.utilisation <= 1);
  }
}

TEST_CASE("in a full fleet a request queues at the upstream with the shortest wait") {
  Fixture fixture;
  for (int worker = 0; worker < 10; ++worker) {
    fixture.Load(worker, worker == 4 ? 9 : 30);
  }
  const UpstreamDecision decision = fixture.Choose(fixture.Request());
  REQUIRE(decision.upstream);
  CHECK(*decision.upstream == Fixture::Worker(4));
  CHECK(decision.reason == ChoiceReason::kQueued);
}

TEST_CASE(
    "upstreams that are leaving, excluded, ejected or in a domain out of service are not chosen") {
  Fixture fixture;
  fixture.configuration.failure_domains[FailureDomainId("domain-1")].state =
      config::DomainState::kOut;
  fixture.configuration.upstreams[Fixture::Worker(0)].state = config::UpstreamState::kLeaving;
  fixture.Fail(3, 3);
  ChoiceRequest request = fixture.Request();
  request.excluded = {Fixture::Worker(2)};
  std::set<UpstreamId> chosen;
  for (const auto& [id, count] : fixture.ChooseMany(request)) {
    chosen.insert(id);
  }
  CHECK(chosen ==
        std::set{Fixture::Worker(5), Fixture::Worker(6), Fixture::Worker(8), Fixture::Worker(9)});
}

struct NoneCase {
  const char* name;
  void (*arrange)(Fixture&, ChoiceRequest&);
  ChoiceReason reason;
};

const NoneCase kNoneCases[] = {
    {"none serves",
     [](Fixture& fixture, ChoiceRequest&) { fixture.configuration.upstreams.clear(); },
     ChoiceReason::kRefusedNoneServes},
    {"all excluded",
     [](Fixture&, ChoiceRequest& request) {
       for (int i = 0; i < 10; ++i) {
         request.excluded.push_back(Fixture::Worker(i));
       }
     },
     ChoiceReason::kRefusedAllExcluded},
    {"all ejected",
     [](Fixture& fixture, ChoiceRequest&) {
       for (int i = 0; i < 10; ++i) {
         fixture.Fail(i, 3);
       }
     },
     ChoiceReason::kRefusedAllEjected},
    {"all full",
     [](Fixture& fixture, ChoiceRequest&) {
       for (int i = 0; i < 10; ++i) {
         fixture.Fail(i, 1, AttemptOutcome::kRefusedFull);
       }
     },
     ChoiceReason::kRefusedAllFull},
};

TEST_CASE("a refusal for lack of upstreams has its reason and a Retry-After time") {
  for (const NoneCase& test : kNoneCases) {
    CAPTURE(test.name);
    Fixture fixture;
    ChoiceRequest request = fixture.Request();
    request.request_class = RequestClass::kTag;
    test.arrange(fixture, request);
    const UpstreamDecision decision = fixture.Choose(request);
    CHECK_FALSE(decision.upstream);
    CHECK(decision.reason == test.reason);
    CHECK(decision.retry_after.value_or(milliseconds(0)) > milliseconds(0));
  }
}

TEST_CASE("a refused tag request does not mark the upstream as full for brief requests") {
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.table.OnDispatch(Fixture::Worker(i), kVersion, kNow);
    fixture.table.OnResult(Fixture::Worker(i),
                           {.version = kVersion,
                            .request_class = RequestClass::kTag,
                            .outcome = AttemptOutcome::kRefusedFull},
                           kNow);
  }
  ChoiceRequest request = fixture.Request();
  request.request_class = RequestClass::kTag;
  CHECK_FALSE(fixture.Choose(request).upstream);
  request.request_class = RequestClass::kBrief;
  CHECK(fixture.Choose(request).upstream);
}

TEST_CASE("an upstream with the cached prefix is chosen until it is full") {
  Fixture fixture;
  ChoiceRequest request = fixture.Request();
  request.prefix_hash = 99;
  request.expected_tokens = 0;
  // Without a cache hint the prefix has a preferred upstream, found by hash.
  const UpstreamId usual = *fixture.Choose(request).upstream;
  CHECK(fixture.ChooseMany(request)[usual] == 400);
  const int holder = usual == Fixture::Worker(1) ? 4 : 1;
  fixture.table.OnCacheHint({Fixture::Worker(holder), 99, true}, kNow);
  CHECK(fixture.ChooseMany(request)[Fixture::Worker(holder)] == 400);
  fixture.Load(holder, 8);
  CHECK(fixture.ChooseMany(request)[Fixture::Worker(holder)] == 0);
  fixture.Load(holder, 0);
  fixture.table.OnCacheHint({Fixture::Worker(holder), 99, false}, kNow);
  CHECK(fixture.ChooseMany(request)[usual] == 400);
}

TEST_CASE("a slow upstream gets less than a quarter of the requests of a peer") {
  Fixture fixture;
  for (int worker = 0; worker < 10; ++worker) {
    fixture.table.OnDispatch(Fixture::Worker(worker), kVersion, kNow);
    fixture.table.OnResult(Fixture::Worker(worker),
                           {.version = kVersion,
                            .first_token = milliseconds(300),
                            .total = seconds(worker == 3 ? 12 : 3),
                            .tokens = 100},
                           kNow);
  }
  std::map<UpstreamId, int> chosen = fixture.ChooseMany(fixture.Request());
  CHECK(chosen[Fixture::Worker(3)] < chosen[Fixture::Worker(0)] / 4);
}

TEST_CASE(
    "if too many upstreams are ejected, an ejected one serves once the healthy ones are full") {
  Fixture fixture;
  // Three of four in domain-0, two of three in each other domain: no domain is wholly ejected.
  for (const int worker : {0, 3, 6, 1, 4, 2, 5}) {
    fixture.Fail(worker, worker == 4 ? 3 : 6);
  }
  for (const int worker : {7, 8, 9}) {
    fixture.Load(worker, 30);
  }
  const UpstreamDecision decision = fixture.Choose(fixture.Request());
  REQUIRE(decision.upstream);
  CHECK(decision.reason == ChoiceReason::kProbe);
}

TEST_CASE(
    "subsets are stable, spread over failure domains and together cover nearly every upstream") {
  const config::Configuration fleet = fakes::SmallFleet(660, 7);
  const auto subset_of = [](const config::Configuration& configuration, int entry) {
    const UpstreamDirectory directory(
        std::make_shared<const config::Configuration>(configuration),
        {NodeId("entry-" + std::to_string(entry)), FailureDomainId("domain-1"), 24});
    return directory.UpstreamsServing(kVersion);
  };
  std::set<UpstreamId> covered;
  for (int entry = 0; entry < 200; ++entry) {
    std::map<FailureDomainId, int> domains;
    for (const RoutableUpstream& upstream : subset_of(fleet, entry)) {
      ++domains[upstream.failure_domain];
      covered.insert(upstream.id);
    }
    CHECK(domains.size() == 7);
    for (const auto& [domain, count] : domains) {
      CHECK(count >= 3);
      CHECK(count <= 4);
    }
  }
  CHECK(covered.size() > 650);

  config::Configuration without = fleet;
  const std::vector<RoutableUpstream> before = subset_of(fleet, 0);
  without.upstreams.erase(before.front().id);
  int kept = 0;
  for (const RoutableUpstream& upstream : subset_of(without, 0)) {
    kept += std::count(before.begin(), before.end(), upstream) > 0 ? 1 : 0;
  }
  CHECK(kept == 23);
}

}  // namespace
}  // namespace masticrill::routing
