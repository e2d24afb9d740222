#include "masticrill/sidecar/dispatch_gate.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "fakes/sidecar_inputs.h"

namespace masticrill::sidecar {
namespace {

using config::Configuration;
using testing::AllowAll;
using testing::kSelf;
using testing::kStart;
using testing::MakeSpec;
using testing::Share;

TEST_CASE("each way in which the configuration forbids an attempt has its refusal reason") {
  struct Case {
    const char* name;
    std::function<void(Configuration&, AttemptSpec&)> change;
    std::optional<RefuseReason> expected;
  };
  const std::vector<Case> cases = {
      {"allowed", [](Configuration&, AttemptSpec&) {}, std::nullopt},
      {"sender with an older configuration, still allowed",
       [](Configuration&, AttemptSpec& spec) { spec.config_number = 1; }, std::nullopt},
      {"unknown team", [](Configuration&, AttemptSpec& spec) { spec.team = TeamId("x"); },
       RefuseReason::kNotAllowed},
      {"team without the model",
       [](Configuration& c, AttemptSpec&) { c.teams[TeamId("t0")].models.clear(); },
       RefuseReason::kNotAllowed},
      {"team with another version only",
       [](Configuration& c, AttemptSpec&) {
         c.teams[TeamId("t0")].models[ModelId("m")] = {VersionId("2")};
       },
       RefuseReason::kNotAllowed},
      {"crafted model name",
       [](Configuration&, AttemptSpec& spec) { spec.version->model = ModelId("m@1"); },
       RefuseReason::kUnknownTarget},
      {"unknown version",
       [](Configuration&, AttemptSpec& spec) { spec.version->version = VersionId("9"); },
       RefuseReason::kUnknownTarget},
      {"unknown version from a sender with a newer configuration",
       [](Configuration&, AttemptSpec& spec) {
         spec.version->version = VersionId("9");
         spec.config_number = 6;
       },
       RefuseReason::kConfigurationBehind},
      {"withdrawn version",
       [](Configuration& c, AttemptSpec&) {
         c.models[ModelId("m")].versions[VersionId("1")].state = config::VersionState::kWithdrawn;
       },
       RefuseReason::kVersionWithdrawn},
      {"version not served here",
       [](Configuration& c, AttemptSpec&) { c.upstreams[kSelf].serves.clear(); },
       RefuseReason::kNotServed},
      {"failure domain out",
       [](Configuration& c, AttemptSpec&) {
         c.failure_domains[FailureDomainId("d")].state = config::DomainState::kOut;
       },
       RefuseReason::kDomainOut},
      {"unknown failure domain", [](Configuration& c, AttemptSpec&) { c.failure_domains.clear(); },
       RefuseReason::kDomainOut},
      {"upstream leaving",
       [](Configuration& c, AttemptSpec&) {
         c.upstreams[kSelf].state = config::UpstreamState::kLeaving;
       },
       RefuseReason::kUpstreamLeaving},
      {"upstream not in the configuration",
       [](Configuration& c, AttemptSpec&) { c.upstreams.clear(); }, RefuseReason::kUpstreamLeaving},
      {"service",
       [](Configuration&, AttemptSpec& spec) {
         spec.version.reset();
         spec.service = ServiceId("s");
       },
       std::nullopt},
      {"service not allowed",
       [](Configuration& c, AttemptSpec& spec) {
         c.teams[TeamId("t0")].services.clear();
         spec.version.reset();
         spec.service = ServiceId("s");
       },
       RefuseReason::kNotAllowed},
      {"both version and service",
       [](Configuration&, AttemptSpec& spec) { spec.service = ServiceId("s"); },
       RefuseReason::kMalformed},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    Configuration configuration = AllowAll(5, 4);
    AttemptSpec spec = MakeSpec("a");
    spec.config_number = 5;
    test.change(configuration, spec);
    DispatchGate<> gate;
    gate.OnLease(kStart + seconds(4));
    REQUIRE(gate.OnConfiguration(Share(configuration), kSelf));
    CHECK(gate.CheckAttempt(spec, kStart) == test.expected);
  }
}

TEST_CASE("no attempt may start without a lease, without a configuration, or while draining") {
  DispatchGate<> gate;
  CHECK(gate.CheckNode(kStart) == RefuseReason::kNoLease);
  gate.OnLease(kStart + seconds(4));
  CHECK(gate.CheckNode(kStart) == RefuseReason::kNoLease);
  gate.OnConfiguration(Share(AllowAll(5, 4)), kSelf);
  CHECK_FALSE(gate.CheckNode(kStart));
  CHECK_FALSE(gate.CheckNode(kStart + seconds(4) - Duration(1)));
  CHECK(gate.CheckNode(kStart + seconds(4)) == RefuseReason::kNoLease);
  gate.OnLease(kStart + seconds(3));
  CHECK_FALSE(gate.CheckNode(kStart + seconds(4) - Duration(1)));
  gate.BeginDrain();
  CHECK(gate.CheckNode(kStart) == RefuseReason::kStopping);
}

TEST_CASE("a delayed older configuration does not replace a newer one") {
  DispatchGate<> gate;
  CHECK(gate.OnConfiguration(Share(AllowAll(5, 4)), kSelf));
  CHECK_FALSE(gate.OnConfiguration(Share(AllowAll(4, 4)), kSelf));
  CHECK_FALSE(gate.OnConfiguration(Share(AllowAll(5, 4)), kSelf));
  CHECK_FALSE(gate.OnConfiguration(nullptr, kSelf));
  CHECK(gate.ConfigurationNumber() == 5);
}

}  // namespace
}  // namespace masticrill::sidecar
