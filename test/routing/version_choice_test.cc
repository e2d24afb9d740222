#include "masticrill/routing/version_choice.h"

#include <doctest/doctest.h>

#include <string>

#include "fakes/routing_fleet.h"

namespace masticrill::routing {
namespace {

using fakes::kCheap;
using fakes::kNew;
using fakes::kOld;

enum class Pin { kNone, kOld, kNew, kUnknown };

struct VersionCase {
  const char* name;
  std::optional<VersionId> named;
  Pin pin = Pin::kNone;
  bool new_withdrawn = false;
  bool old_withdrawn = false;
  bool only_old_allowed = false;
  bool repin = false;
  std::uint32_t share = 0;
  /// Empty when refused.
  std::string expected;
  VersionReason reason;
};

const VersionCase kVersionCases[] = {
    {"default",
     {},
     Pin::kNone,
     false,
     false,
     false,
     false,
     0,
     "v1",
     VersionReason::kDefaultVersion},
    {"the full share goes to the candidate",
     {},
     Pin::kNone,
     false,
     false,
     false,
     false,
     10'000,
     "v2",
     VersionReason::kRolloutCandidate},
    {"candidate withdrawn",
     {},
     Pin::kNone,
     true,
     false,
     false,
     false,
     10'000,
     "v1",
     VersionReason::kDefaultVersion},
    {"candidate not allowed",
     {},
     Pin::kNone,
     false,
     false,
     true,
     false,
     10'000,
     "v1",
     VersionReason::kDefaultVersion},
    {"pin takes precedence over the roll-out share",
     {},
     Pin::kOld,
     false,
     false,
     false,
     false,
     10'000,
     "v1",
     VersionReason::kPinnedBySession},
    {"pin to the candidate stays at roll-out share 0",
     {},
     Pin::kNew,
     false,
     false,
     false,
     false,
     0,
     "v2",
     VersionReason::kPinnedBySession},
    {"withdrawal takes precedence over the pin",
     {},
     Pin::kNew,
     true,
     false,
     false,
     false,
     0,
     "",
     VersionReason::kRefusedPinWithdrawn},
    {"pin moves if the team allows it",
     {},
     Pin::kNew,
     true,
     false,
     false,
     true,
     0,
     "v1",
     VersionReason::kRepinnedAfterWithdrawal},
    {"no version left for the pin",
     {},
     Pin::kNew,
     true,
     true,
     false,
     true,
     0,
     "",
     VersionReason::kRefusedWithdrawn},
    {"a forged pin grants no permission",
     {},
     Pin::kNew,
     false,
     false,
     true,
     true,
     0,
     "",
     VersionReason::kRefusedNotAllowed},
    {"pin to an unknown version",
     {},
     Pin::kUnknown,
     false,
     false,
     false,
     false,
     0,
     "",
     VersionReason::kRefusedPinWithdrawn},
    {"named", kNew, Pin::kNone, false, false, false, false, 0, "v2", VersionReason::kNamedByCaller},
    {"named version takes precedence over the pin", kNew, Pin::kOld, false, false, false, false, 0,
     "v2", VersionReason::kNamedByCaller},
    {"named version is withdrawn", kNew, Pin::kNone, true, false, false, true, 0, "",
     VersionReason::kRefusedWithdrawn},
    {"named version is not allowed", kNew, Pin::kNone, false, false, true, false, 0, "",
     VersionReason::kRefusedNotAllowed},
    {"named version is unknown", VersionId("v1@v2"), Pin::kNone, false, false, false, false, 0, "",
     VersionReason::kRefusedUnknownModel},
};

config::Configuration ConfigurationFor(const VersionCase& test) {
  config::Configuration configuration = fakes::SmallFleet();
  config::Model& model = configuration.models[kCheap];
  const auto withdrawn = config::VersionState::kWithdrawn;
  model.versions[kNew].state = test.new_withdrawn ? withdrawn : config::VersionState::kActive;
  model.versions[kOld].state = test.old_withdrawn ? withdrawn : config::VersionState::kActive;
  model.rollout = config::Rollout{kNew, test.share, config::RolloutState::kRunning, ""};
  config::Team& team = configuration.teams[fakes::kTeam];
  team.repin_on_withdrawal = test.repin;
  if (test.only_old_allowed) {
    team.models[kCheap] = {kOld};
  }
  return configuration;
}

TEST_CASE("the version depends on the caller's choice, the pin, the roll-out and the permissions") {
  for (const VersionCase& test : kVersionCases) {
    CAPTURE(test.name);
    const config::Configuration configuration = ConfigurationFor(test);
    RequestTraits traits = fakes::TraitsFor(ModelTarget{kCheap, test.named});
    traits.session = SessionId("s");
    switch (test.pin) {
      case Pin::kNone:
        break;
      case Pin::kOld:
        traits.pins = {{kCheap, kOld}};
        break;
      case Pin::kNew:
        traits.pins = {{kCheap, kNew}};
        break;
      case Pin::kUnknown:
        traits.pins = {{kCheap, VersionId("v0")}};
        break;
    }
    const VersionDecision decision =
        SelectVersion(configuration, traits, std::get<ModelTarget>(traits.target));
    CHECK(decision.reason == test.reason);
    CHECK((decision.version ? decision.version->version.Value() : "") == test.expected);
    CHECK(decision.message.empty() == decision.version.has_value());
    if (decision.version) {
      CHECK(VersionAllowed(configuration, traits.team, *decision.version));
    }
  }
}

TEST_CASE("a roll-out selects its share of sessions and moves none back as the share grows") {
  constexpr int kSessions = 4000;
  config::Configuration configuration = fakes::SmallFleet();
  int previous = 0;
  std::vector<bool> on_candidate(kSessions, false);
  for (const std::uint32_t share : {100U, 1000U, 5000U, 10'000U}) {
    configuration.models[kCheap].rollout =
        config::Rollout{kNew, share, config::RolloutState::kRunning, ""};
    int taken = 0;
    for (int i = 0; i < kSessions; ++i) {
      RequestTraits traits = fakes::TraitsFor(ModelTarget{kCheap, {}}, i);
      traits.session = SessionId("session-" + std::to_string(i));
      const bool candidate =
          SelectVersion(configuration, traits, {kCheap, {}}).version->version == kNew;
      CHECK((candidate || !on_candidate[i]));
      on_candidate[i] = candidate;
      taken += candidate ? 1 : 0;
    }
    const double expected = kSessions * (share / 10'000.0);
    CHECK(std::abs(taken - expected) < 0.03 * kSessions);
    CHECK(taken >= previous);
    previous = taken;
  }
}

TEST_CASE("a request that is not permitted is refused with the matching refusal kind") {
  config::Configuration configuration = fakes::SmallFleet();
  configuration.teams[TeamId("other")] = {};
  struct PermissionCase {
    const char* team;
    RequestTarget target;
    std::optional<RefusalKind> refusal;
  };
  const PermissionCase cases[] = {
      {"guild", CascadeTarget{fakes::kCascade}, std::nullopt},
      {"guild", ServiceTarget{fakes::kBooking, "POST"}, std::nullopt},
      {"guild", CascadeTarget{CascadeId("none")}, RefusalKind::kUnknownModel},
      {"guild", ServiceTarget{ServiceId("none"), "GET"}, RefusalKind::kUnknownModel},
      {"other", CascadeTarget{fakes::kCascade}, RefusalKind::kNotAllowed},
      {"other", ServiceTarget{fakes::kBooking, "GET"}, RefusalKind::kNotAllowed},
      {"nobody", ModelTarget{kCheap, {}}, RefusalKind::kUnauthenticated},
  };
  for (const PermissionCase& test : cases) {
    CAPTURE(test.team);
    RequestTraits traits = fakes::TraitsFor(test.target);
    traits.team = TeamId(test.team);
    const std::optional<Refusal> refusal = CheckPermission(configuration, traits);
    CHECK(refusal.has_value() == test.refusal.has_value());
    if (refusal && test.refusal) {
      CHECK(refusal->kind == *test.refusal);
      CHECK(refusal->execution == Execution::kNotRun);
    }
  }
}

}  // namespace
}  // namespace masticrill::routing
