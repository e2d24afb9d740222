#include <doctest/doctest.h>

#include "masticrill/config/document.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::routing {
namespace {

TEST_CASE("the patch that stops a roll-out gives a valid configuration without the candidate") {
  const RolloutDecision decision{.stop = true,
                                 .reason = RolloutReason::kErrors,
                                 .failure_domain = {},
                                 .candidate = {40, 20},
                                 .baseline = {400, 1},
                                 .log_evidence = 9};
  const std::string patch = HaltPatch(ModelId("small"), VersionId("v2"), decision);
  const std::string fault = HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(document, config::ApplyMergePatch(config::ExampleDocument(), patch));
        BOOST_LEAF_AUTO(configuration, config::ParseDocument(document, 2));
        const config::Model& model = configuration.models.at(ModelId("small"));
        CHECK(model.rollout->state == config::RolloutState::kHalted);
        CHECK(model.versions.at(VersionId("v2")).state == config::VersionState::kWithdrawn);
        return std::string();
      },
      [](const Error& error) { return error.message; });
  CHECK(fault.empty());
}

}  // namespace
}  // namespace masticrill::routing
