#include "masticrill/sidecar/dispatch_gate.h"

#include "masticrill/config/permission.h"

namespace masticrill::sidecar {
namespace {

using config::Configuration;

RefuseReason ReasonOf(RefusalKind refusal) {
  switch (refusal) {
    case RefusalKind::kUnknownModel:
      return RefuseReason::kUnknownTarget;
    case RefusalKind::kVersionWithdrawn:
      return RefuseReason::kVersionWithdrawn;
    default:
      return RefuseReason::kNotAllowed;
  }
}

/// Checks the state of the upstream and its failure domain, and whether the upstream serves the
/// target.
std::optional<RefuseReason> CheckUpstream(const Configuration& configuration,
                                          const UpstreamId& name, const AttemptSpec& spec) {
  const auto upstream = configuration.upstreams.find(name);
  if (upstream == configuration.upstreams.end() ||
      upstream->second.state == config::UpstreamState::kLeaving) {
    return RefuseReason::kUpstreamLeaving;
  }
  const auto domain = configuration.failure_domains.find(upstream->second.failure_domain);
  if (domain == configuration.failure_domains.end() ||
      domain->second.state == config::DomainState::kOut) {
    return RefuseReason::kDomainOut;
  }
  const bool served = spec.version ? upstream->second.serves.contains(*spec.version)
                                   : upstream->second.services.contains(*spec.service);
  if (!served) {
    return RefuseReason::kNotServed;
  }
  return std::nullopt;
}

}  // namespace

std::optional<RefuseReason> ConfigurationPermission::operator()(const Configuration& configuration,
                                                                const UpstreamId& upstream,
                                                                const AttemptSpec& spec) const {
  if (spec.version.has_value() == spec.service.has_value()) {
    return RefuseReason::kMalformed;
  }
  const config::RequestTarget target = spec.version
                                           ? config::RequestTarget::ForVersion(*spec.version)
                                           : config::RequestTarget::ForService(*spec.service);
  // An entry sends a cascade's answers to the rating service on behalf of a team. The team needs no
  // permission for that service.
  const bool is_rating = spec.service && spec.service == configuration.rating.service;
  const config::PermissionDecision permission =
      config::CheckPermission(configuration, spec.team, target);
  if (!permission.allowed && !is_rating) {
    return ReasonOf(permission.refusal);
  }
  return CheckUpstream(configuration, upstream, spec);
}

}  // namespace masticrill::sidecar
