#include "config/validation.h"

#include <array>
#include <map>

namespace masticrill::config {
namespace {

std::string At(const std::string& collection, const std::string& name, const std::string& member) {
  return "$." + collection + "." + name + (member.empty() ? "" : "." + member) + ": ";
}

std::string MissingText(const std::string& kind, const std::string& name) {
  return "names the " + kind + " '" + name + "', which does not exist. Add it or name another.";
}

bool HasVersion(const Configuration& configuration, const ModelVersion& model_version) {
  const auto model = configuration.models.find(model_version.model);
  return model != configuration.models.end() &&
         model->second.versions.contains(model_version.version);
}

std::string FindTeamModelFault(const Configuration& configuration, const Team& team,
                               const std::string& path) {
  for (const auto& [model, versions] : team.models) {
    const std::string model_path = path + ".models." + model.Value() + ": ";
    if (!configuration.models.contains(model)) {
      return model_path + MissingText("model", model.Value());
    }
    for (const VersionId& version : versions) {
      if (!HasVersion(configuration, {model, version})) {
        return model_path + MissingText("version", version.Value());
      }
    }
  }
  return "";
}

std::string FindTeamCascadeFault(const Configuration& configuration, const Team& team,
                                 const std::string& path) {
  for (const CascadeId& cascade : team.cascades) {
    const auto place = configuration.cascades.find(cascade);
    if (place == configuration.cascades.end()) {
      return path + ".cascades: " + MissingText("cascade", cascade.Value());
    }
    for (const ModelId& model : place->second.steps) {
      if (!team.models.contains(model)) {
        return path + ".cascades: allows the cascade '" + cascade.Value() + "', whose step '" +
               model.Value() +
               "' the team may not use. Add that model to the team or remove the cascade.";
      }
    }
  }
  return "";
}

std::string FindTeamFault(const Configuration& configuration) {
  for (const auto& [id, team] : configuration.teams) {
    const std::string path = "$.teams." + id.Value();
    if (std::string fault = FindTeamModelFault(configuration, team, path); !fault.empty()) {
      return fault;
    }
    if (std::string fault = FindTeamCascadeFault(configuration, team, path); !fault.empty()) {
      return fault;
    }
    for (const ServiceId& service : team.services) {
      if (!configuration.services.contains(service)) {
        return path + ".services: " + MissingText("service", service.Value());
      }
    }
  }
  return "";
}

/// Checks a version that new requests are sent to.
std::string FindUsedVersionFault(const Model& model, const VersionId& version,
                                 const std::string& remedy) {
  const auto place = model.versions.find(version);
  if (place == model.versions.end()) {
    return MissingText("version", version.Value());
  }
  if (place->second.state == VersionState::kWithdrawn) {
    return "names the version '" + version.Value() + "', which is withdrawn. " + remedy;
  }
  return "";
}

std::string FindModelFault(const Configuration& configuration) {
  for (const auto& [id, model] : configuration.models) {
    if (!model.default_version.Empty()) {
      const std::string fault = FindUsedVersionFault(
          model, model.default_version,
          "In the same patch set default_version to an active version, or to null for none.");
      if (!fault.empty()) {
        return At("models", id.Value(), "default_version") + fault;
      }
    }
    if (!model.rollout) {
      continue;
    }
    // A halted roll-out sends nothing to its candidate, which may be withdrawn along with it.
    const bool halted = model.rollout->state == RolloutState::kHalted &&
                        model.versions.contains(model.rollout->candidate);
    const std::string fault =
        FindUsedVersionFault(model, model.rollout->candidate,
                             "In the same patch set rollout to null or name an active candidate.");
    if (!halted && !fault.empty()) {
      return At("models", id.Value(), "rollout.candidate") + fault;
    }
    if (model.default_version.Empty() || model.rollout->candidate == model.default_version) {
      return At("models", id.Value(), "rollout.candidate") +
             "is no other version than the default. Name a default_version and another candidate, "
             "or set rollout to null.";
    }
  }
  return "";
}

std::string FindCascadeFault(const Configuration& configuration) {
  for (const auto& [id, cascade] : configuration.cascades) {
    if (configuration.models.contains(ModelId(id.Value()))) {
      return At("cascades", id.Value(), "") +
             "has the name of a model, so a request could mean either. Rename one of the two.";
    }
    for (const ModelId& model : cascade.steps) {
      if (!configuration.models.contains(model)) {
        return At("cascades", id.Value(), "steps") + MissingText("model", model.Value());
      }
    }
  }
  return "";
}

std::string FindUpstreamFault(const Configuration& configuration) {
  std::map<std::string, UpstreamId> by_address;
  for (const auto& [id, upstream] : configuration.upstreams) {
    if (!configuration.failure_domains.contains(upstream.failure_domain)) {
      return At("upstreams", id.Value(), "failure_domain") +
             MissingText("failure domain", upstream.failure_domain.Value());
    }
    for (const ModelVersion& served : upstream.serves) {
      if (!HasVersion(configuration, served)) {
        return At("upstreams", id.Value(), "serves") +
               MissingText("version", served.model.Value() + "@" + served.version.Value());
      }
    }
    for (const ServiceId& service : upstream.services) {
      if (!configuration.services.contains(service)) {
        return At("upstreams", id.Value(), "services") + MissingText("service", service.Value());
      }
    }
    if (const auto [other, added] = by_address.emplace(upstream.sidecar_address, id); !added) {
      return At("upstreams", id.Value(), "sidecar_address") + "is that of the upstream '" +
             other->second.Value() + "' too. Give each upstream its own sidecar.";
    }
  }
  return "";
}

std::string FindRatingFault(const Configuration& configuration) {
  const auto& service = configuration.rating.service;
  if (service && !configuration.services.contains(*service)) {
    return "$.rating.service: " + MissingText("service", service->Value());
  }
  return "";
}

}  // namespace

std::string FindReferenceFault(const Configuration& configuration) {
  constexpr std::array kChecks = {FindModelFault, FindCascadeFault, FindTeamFault,
                                  FindUpstreamFault, FindRatingFault};
  for (const auto check : kChecks) {
    if (std::string fault = check(configuration); !fault.empty()) {
      return fault;
    }
  }
  return "";
}

}  // namespace masticrill::config
