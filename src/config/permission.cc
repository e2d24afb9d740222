#include "masticrill/config/permission.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::config {
namespace {

PermissionDecision Allow() {
  return {.allowed = true, .refusal = RefusalKind::kNotAllowed, .reason = ""};
}

PermissionDecision Refuse(RefusalKind kind, std::string reason) {
  return {.allowed = false, .refusal = kind, .reason = std::move(reason)};
}

PermissionDecision RefuseUnknown(const std::string& kind, const std::string& name) {
  return Refuse(RefusalKind::kUnknownModel,
                "There is no " + kind + " '" + name + "'. List the names with GET /v1/models.");
}

PermissionDecision RefuseForbidden(const std::string& kind, const std::string& name) {
  return Refuse(RefusalKind::kNotAllowed, "The team may not use the " + kind + " '" + name +
                                              "'. Ask an operator to allow it.");
}

PermissionDecision CheckVersion(const Configuration& configuration, const Team& team,
                                const ModelVersion& model_version) {
  const std::string name = model_version.model.Value() + "@" + model_version.version.Value();
  const auto model = configuration.models.find(model_version.model);
  if (model == configuration.models.end()) {
    return RefuseUnknown("model", model_version.model.Value());
  }
  const auto version = model->second.versions.find(model_version.version);
  if (version == model->second.versions.end()) {
    return RefuseUnknown("version", name);
  }
  if (!IsAllowed(team, model_version)) {
    return RefuseForbidden("version", name);
  }
  if (version->second.state == VersionState::kWithdrawn) {
    return Refuse(RefusalKind::kVersionWithdrawn,
                  "The version '" + name +
                      "' was withdrawn. Ask for the model without a version, or open a new "
                      "session.");
  }
  return Allow();
}

PermissionDecision CheckModel(const Configuration& configuration, const Team& team,
                              const ModelId& id) {
  const auto model = configuration.models.find(id);
  if (model == configuration.models.end()) {
    return RefuseUnknown("model", id.Value());
  }
  if (!team.models.contains(id)) {
    return RefuseForbidden("model", id.Value());
  }
  const auto& versions = model->second.versions;
  const bool usable = std::any_of(versions.begin(), versions.end(), [&](const auto& entry) {
    return entry.second.state == VersionState::kActive && IsAllowed(team, {id, entry.first});
  });
  if (!usable) {
    return Refuse(RefusalKind::kVersionWithdrawn,
                  "Every version of '" + id.Value() +
                      "' that the team may use was withdrawn. Ask for another model.");
  }
  return Allow();
}

PermissionDecision CheckCascade(const Configuration& configuration, const Team& team,
                                const CascadeId& id) {
  const auto cascade = configuration.cascades.find(id);
  if (cascade == configuration.cascades.end()) {
    return RefuseUnknown("cascade", id.Value());
  }
  if (!team.cascades.contains(id)) {
    return RefuseForbidden("cascade", id.Value());
  }
  // One usable step is enough: the cascade passes over the others.
  PermissionDecision last = Allow();
  for (const ModelId& step : cascade->second.steps) {
    last = CheckModel(configuration, team, step);
    if (last.allowed) {
      return last;
    }
  }
  return last;
}

PermissionDecision CheckService(const Configuration& configuration, const Team& team,
                                const ServiceId& id) {
  if (!configuration.services.contains(id)) {
    return RefuseUnknown("service", id.Value());
  }
  return team.services.contains(id) ? Allow() : RefuseForbidden("service", id.Value());
}

bool Matches(const HashedKey& key, std::string_view secret) {
  return ConstantTimeEqual(HashKey(key.salt, secret).hash, key.hash);
}

}  // namespace

RequestTarget RequestTarget::ForModel(ModelId model) {
  RequestTarget target;
  target.kind = TargetKind::kModel;
  target.model = std::move(model);
  return target;
}

RequestTarget RequestTarget::ForVersion(ModelVersion model_version) {
  RequestTarget target;
  target.kind = TargetKind::kModelVersion;
  target.model = std::move(model_version.model);
  target.version = std::move(model_version.version);
  return target;
}

RequestTarget RequestTarget::ForCascade(CascadeId cascade) {
  RequestTarget target;
  target.kind = TargetKind::kCascade;
  target.cascade = std::move(cascade);
  return target;
}

RequestTarget RequestTarget::ForService(ServiceId service) {
  RequestTarget target;
  target.kind = TargetKind::kService;
  target.service = std::move(service);
  return target;
}

std::optional<RequestTarget> ResolveTarget(const Configuration& configuration,
                                           std::string_view text) {
  if (const auto at = text.find('@'); at != std::string_view::npos) {
    const ModelVersion model_version{ModelId(std::string(text.substr(0, at))),
                                     VersionId(std::string(text.substr(at + 1)))};
    const auto model = configuration.models.find(model_version.model);
    if (model == configuration.models.end() ||
        !model->second.versions.contains(model_version.version)) {
      return std::nullopt;
    }
    return RequestTarget::ForVersion(model_version);
  }
  if (ModelId model{std::string(text)}; configuration.models.contains(model)) {
    return RequestTarget::ForModel(std::move(model));
  }
  if (CascadeId cascade{std::string(text)}; configuration.cascades.contains(cascade)) {
    return RequestTarget::ForCascade(std::move(cascade));
  }
  return std::nullopt;
}

PermissionDecision CheckPermission(const Configuration& configuration, const TeamId& team,
                                   const RequestTarget& target) {
  const auto place = configuration.teams.find(team);
  if (place == configuration.teams.end()) {
    return Refuse(RefusalKind::kUnauthenticated,
                  "The team '" + team.Value() + "' no longer exists. Use the key of another team.");
  }
  switch (target.kind) {
    case TargetKind::kModel:
      return CheckModel(configuration, place->second, target.model);
    case TargetKind::kModelVersion:
      return CheckVersion(configuration, place->second, {target.model, target.version});
    case TargetKind::kCascade:
      return CheckCascade(configuration, place->second, target.cascade);
    case TargetKind::kService:
      return CheckService(configuration, place->second, target.service);
  }
  return Refuse(RefusalKind::kInternal, "The target has no known kind. Report this defect.");
}

bool IsActive(const Configuration& configuration, const ModelVersion& model_version) {
  const auto model = configuration.models.find(model_version.model);
  if (model == configuration.models.end()) {
    return false;
  }
  const auto version = model->second.versions.find(model_version.version);
  return version != model->second.versions.end() && version->second.state == VersionState::kActive;
}

bool IsAllowed(const Team& team, const ModelVersion& model_version) {
  const auto allowed = team.models.find(model_version.model);
  return allowed != team.models.end() &&
         (allowed->second.empty() || allowed->second.contains(model_version.version));
}

HashedKey HashKey(std::string_view salt, std::string_view secret) {
  return {std::string(salt), Sha256Hex(std::string(salt) + std::string(secret))};
}

std::optional<TeamId> FindTeamByKey(const Configuration& configuration, std::string_view secret) {
  std::optional<TeamId> found;
  for (const auto& [id, team] : configuration.teams) {
    for (const auto& [name, key] : team.keys) {
      if (Matches(key, secret)) {
        found = id;
      }
    }
  }
  return found;
}

std::optional<OperatorId> FindOperatorByKey(const Configuration& configuration,
                                            std::string_view secret) {
  std::optional<OperatorId> found;
  for (const auto& [id, person] : configuration.operators) {
    if (Matches(person.key, secret)) {
      found = id;
    }
  }
  return found;
}

}  // namespace masticrill::config
