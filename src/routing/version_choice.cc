#include "masticrill/routing/version_choice.h"

#include <algorithm>

#include "masticrill/common/hash.h"

namespace masticrill::routing {
namespace {

using config::Configuration;
using config::Model;

constexpr std::uint64_t kShareScale = 10'000;

const Model* FindModel(const Configuration& configuration, const ModelId& id) {
  const auto found = configuration.models.find(id);
  return found == configuration.models.end() ? nullptr : &found->second;
}

const config::Team* FindTeam(const Configuration& configuration, const TeamId& id) {
  const auto found = configuration.teams.find(id);
  return found == configuration.teams.end() ? nullptr : &found->second;
}

bool TeamMayUse(const config::Team* team, const ModelVersion& version) {
  if (team == nullptr) {
    return false;
  }
  const auto found = team->models.find(version.model);
  if (found == team->models.end()) {
    return false;
  }
  return found->second.empty() || found->second.contains(version.version);
}

VersionDecision RefusedDecision(VersionReason reason, RefusalKind kind, std::string message) {
  return {
      .version = std::nullopt, .reason = reason, .refusal = kind, .message = std::move(message)};
}

/// Returns the version, or a refusal if the version doesn't exist, is withdrawn or not allowed.
VersionDecision CheckVersion(const Configuration& configuration, const TeamId& team,
                             const Model& model, const ModelVersion& version,
                             VersionReason reason) {
  const std::string name = version.model.Value() + "@" + version.version.Value();
  const auto found = model.versions.find(version.version);
  if (found == model.versions.end()) {
    return RefusedDecision(VersionReason::kRefusedUnknownModel, RefusalKind::kUnknownModel,
                           "There is no version " + name + ". Choose one of GET /v1/models.");
  }
  if (!TeamMayUse(FindTeam(configuration, team), version)) {
    return RefusedDecision(VersionReason::kRefusedNotAllowed, RefusalKind::kNotAllowed,
                           "The team may not use " + name + ". Choose one of GET /v1/models.");
  }
  if (found->second.state == config::VersionState::kWithdrawn) {
    return RefusedDecision(VersionReason::kRefusedWithdrawn, RefusalKind::kVersionWithdrawn,
                           "Version " + name + " was withdrawn. Name another version, or none.");
  }
  return {.version = version, .reason = reason};
}

bool SelectsCandidate(const Configuration& configuration, const RequestTraits& traits,
                      const ModelId& id, const Model& model) {
  if (!model.rollout || model.rollout->state != config::RolloutState::kRunning) {
    return false;
  }
  const ModelVersion candidate{id, model.rollout->candidate};
  if (!VersionAllowed(configuration, traits.team, candidate)) {
    return false;
  }
  const std::string& hash_key = traits.session ? traits.session->Value() : traits.id.Value();
  // The seed makes the selections of two roll-outs independent.
  const std::uint64_t seed = Hash64(id.Value() + "@" + candidate.version.Value());
  return Hash64(hash_key, seed) % kShareScale < model.rollout->share_per_10k;
}

VersionDecision SelectUnpinned(const Configuration& configuration, const RequestTraits& traits,
                               const ModelId& id, const Model& model, bool with_rollout) {
  const bool candidate = with_rollout && SelectsCandidate(configuration, traits, id, model);
  VersionDecision decision =
      candidate ? CheckVersion(configuration, traits.team, model, {id, model.rollout->candidate},
                               VersionReason::kRolloutCandidate)
                : CheckVersion(configuration, traits.team, model, {id, model.default_version},
                               VersionReason::kDefaultVersion);
  decision.pin_session = decision.version.has_value() && traits.session.has_value();
  return decision;
}

VersionDecision SelectPinned(const Configuration& configuration, const RequestTraits& traits,
                             const Model& model, const ModelVersion& pin) {
  VersionDecision decision =
      CheckVersion(configuration, traits.team, model, pin, VersionReason::kPinnedBySession);
  const bool pin_invalid = decision.reason == VersionReason::kRefusedWithdrawn ||
                           decision.reason == VersionReason::kRefusedUnknownModel;
  if (!pin_invalid) {
    return decision;
  }
  if (const config::Team* team = FindTeam(configuration, traits.team);
      team != nullptr && team->repin_on_withdrawal) {
    VersionDecision repinned = SelectUnpinned(configuration, traits, pin.model, model, true);
    if (repinned.version) {
      repinned.reason = VersionReason::kRepinnedAfterWithdrawal;
    }
    return repinned;
  }
  return RefusedDecision(VersionReason::kRefusedPinWithdrawn, RefusalKind::kVersionWithdrawn,
                         "The session's version " + pin.model.Value() + "@" + pin.version.Value() +
                             " was withdrawn. Open a new session.");
}

VersionDecision Select(const Configuration& configuration, const RequestTraits& traits,
                       const ModelTarget& target, bool with_rollout) {
  const Model* model = FindModel(configuration, target.model);
  if (model == nullptr) {
    return RefusedDecision(
        VersionReason::kRefusedUnknownModel, RefusalKind::kUnknownModel,
        "There is no model " + target.model.Value() + ". Choose one of GET /v1/models.");
  }
  if (target.version) {
    return CheckVersion(configuration, traits.team, *model, {target.model, *target.version},
                        VersionReason::kNamedByCaller);
  }
  const auto pin =
      std::find_if(traits.pins.begin(), traits.pins.end(),
                   [&](const ModelVersion& version) { return version.model == target.model; });
  if (pin != traits.pins.end()) {
    return SelectPinned(configuration, traits, *model, *pin);
  }
  return SelectUnpinned(configuration, traits, target.model, *model, with_rollout);
}

std::optional<Refusal> MakeRefusal(RefusalKind kind, std::string message) {
  return Refusal{kind, Execution::kNotRun, std::move(message), std::nullopt};
}

std::optional<Refusal> CheckTarget(const Configuration& /*configuration*/,
                                   const config::Team& /*team*/, const ModelTarget& /*target*/) {
  // SelectVersion checks the permission for models.
  return std::nullopt;
}

std::optional<Refusal> CheckTarget(const Configuration& configuration, const config::Team& team,
                                   const CascadeTarget& target) {
  const auto cascade = configuration.cascades.find(target.cascade);
  if (cascade == configuration.cascades.end() || cascade->second.steps.empty()) {
    return MakeRefusal(RefusalKind::kUnknownModel, "There is no cascade " + target.cascade.Value() +
                                                       ". Choose one of GET /v1/models.");
  }
  if (!team.cascades.contains(target.cascade)) {
    return MakeRefusal(RefusalKind::kNotAllowed, "The team may not use cascade " +
                                                     target.cascade.Value() +
                                                     ". Choose one of GET /v1/models.");
  }
  return std::nullopt;
}

std::optional<Refusal> CheckTarget(const Configuration& configuration, const config::Team& team,
                                   const ServiceTarget& target) {
  if (!configuration.services.contains(target.service)) {
    return MakeRefusal(RefusalKind::kUnknownModel, "There is no service " + target.service.Value() +
                                                       ". Ask an operator for its name.");
  }
  if (!team.services.contains(target.service)) {
    return MakeRefusal(RefusalKind::kNotAllowed, "The team may not use service " +
                                                     target.service.Value() +
                                                     ". Ask an operator to allow it.");
  }
  return std::nullopt;
}

}  // namespace

bool VersionAllowed(const Configuration& configuration, const TeamId& team,
                    const ModelVersion& version) {
  const Model* model = FindModel(configuration, version.model);
  if (model == nullptr) {
    return false;
  }
  const auto found = model->versions.find(version.version);
  if (found == model->versions.end() || found->second.state == config::VersionState::kWithdrawn) {
    return false;
  }
  return TeamMayUse(FindTeam(configuration, team), version);
}

VersionDecision SelectVersion(const Configuration& configuration, const RequestTraits& traits,
                              const ModelTarget& target) {
  return Select(configuration, traits, target, true);
}

VersionDecision SelectDefaultVersion(const Configuration& configuration,
                                     const RequestTraits& traits, const ModelTarget& target) {
  VersionDecision decision = Select(configuration, traits, target, false);
  if (decision.reason == VersionReason::kDefaultVersion) {
    decision.reason = VersionReason::kCandidateUnavailable;
  }
  return decision;
}

std::optional<Refusal> CheckPermission(const Configuration& configuration,
                                       const RequestTraits& traits) {
  const config::Team* team = FindTeam(configuration, traits.team);
  if (team == nullptr) {
    return MakeRefusal(RefusalKind::kUnauthenticated, "The team is unknown. Use a valid team key.");
  }
  return std::visit([&](const auto& target) { return CheckTarget(configuration, *team, target); },
                    traits.target);
}

}  // namespace masticrill::routing
