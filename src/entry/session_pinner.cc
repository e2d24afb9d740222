#include "entry/session_pinner.h"

#include <algorithm>

#include "entry/session_token.h"
#include "masticrill/routing/version_choice.h"

namespace masticrill::entry {
namespace {

constexpr seconds kCommitTimeout{2};
constexpr milliseconds kRetryAfter{1000};

/// The models whose versions a request may need, but for one whose version the caller named.
std::vector<ModelId> ModelsOf(const config::Configuration& configuration,
                              const routing::RequestTarget& target) {
  if (const auto* model = std::get_if<routing::ModelTarget>(&target); model != nullptr) {
    return model->version ? std::vector<ModelId>() : std::vector<ModelId>{model->model};
  }
  if (const auto* cascade = std::get_if<routing::CascadeTarget>(&target); cascade != nullptr) {
    const auto found = configuration.cascades.find(cascade->cascade);
    return found == configuration.cascades.end() ? std::vector<ModelId>() : found->second.steps;
  }
  return {};
}

std::optional<state::PinResult> Commit(EntryServices& services, const state::Command& command) {
  return HandleErrors(
      [&]() -> Result<std::optional<state::PinResult>> {
        BOOST_LEAF_AUTO(committed, services.sender->Commit(command, kCommitTimeout));
        const auto* result = std::get_if<state::PinResult>(&committed);
        return result == nullptr ? std::nullopt : std::optional(*result);
      },
      [](const Error&) { return std::optional<state::PinResult>(); });
}

Refusal ControlUnavailable() {
  return {RefusalKind::kControlUnavailable, Execution::kNotRun,
          "The session's version could not be looked up. Send the request again.", kRetryAfter};
}

Refusal Withdrawn(const ModelId& model) {
  return {RefusalKind::kVersionWithdrawn, Execution::kNotRun,
          "The session's version of " + model.Value() + " was withdrawn. Open a new session.",
          std::nullopt};
}

/// The pin of a session's model, made or moved if need be.
struct PinOutcome {
  std::optional<VersionId> version;
  std::optional<Refusal> refusal;
};

PinOutcome PinModel(EntryServices& services, const config::Configuration& configuration,
                    const routing::RequestTraits& traits, const ModelId& model) {
  const state::PinKey key{traits.team, *traits.session, model};
  const routing::VersionDecision fresh =
      routing::SelectVersion(configuration, traits, routing::ModelTarget{model, std::nullopt});
  if (!fresh.version) {
    // The request machine refuses it with its reason, or the cascade skips this step.
    return {};
  }
  const WallTimeMs now = services.clock.WallNow();
  std::optional<state::PinResult> result =
      Commit(services, state::PinSession{key, fresh.version->version, now});
  if (!result) {
    return {std::nullopt, ControlUnavailable()};
  }
  if (result->status == state::PinStatus::kWithdrawn) {
    const auto team = configuration.teams.find(traits.team);
    const bool may_move = team != configuration.teams.end() && team->second.repin_on_withdrawal;
    if (!may_move) {
      return {std::nullopt, Withdrawn(model)};
    }
    result =
        Commit(services, state::RepinSession{key, result->version, fresh.version->version, now});
    if (!result) {
      return {std::nullopt, ControlUnavailable()};
    }
  }
  if (result->status == state::PinStatus::kPinned) {
    return {result->version, std::nullopt};
  }
  if (result->status == state::PinStatus::kFull) {
    return {std::nullopt, ControlUnavailable()};
  }
  return {std::nullopt, Withdrawn(model)};
}

}  // namespace

std::optional<Refusal> PinSession(EntryServices& services,
                                  const config::Configuration& configuration,
                                  std::string_view token, routing::RequestTraits& traits) {
  if (!traits.session) {
    return std::nullopt;
  }
  traits.pins = ReadSessionToken(token, services.session_key, traits.team, *traits.session);
  for (const ModelId& model : ModelsOf(configuration, traits.target)) {
    const auto pinned =
        std::find_if(traits.pins.begin(), traits.pins.end(), [&](const ModelVersion& pin) {
          return pin.model == model && routing::VersionAllowed(configuration, traits.team, pin);
        });
    if (pinned != traits.pins.end()) {
      continue;
    }
    std::erase_if(traits.pins, [&](const ModelVersion& pin) { return pin.model == model; });
    const PinOutcome outcome = PinModel(services, configuration, traits, model);
    if (outcome.refusal) {
      return outcome.refusal;
    }
    if (outcome.version) {
      traits.pins.push_back({model, *outcome.version});
    }
  }
  return std::nullopt;
}

}  // namespace masticrill::entry
