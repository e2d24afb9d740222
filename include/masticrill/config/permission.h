#ifndef MASTICRILL_CONFIG_PERMISSION_H_
#define MASTICRILL_CONFIG_PERMISSION_H_

#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"

namespace masticrill::config {

enum class TargetKind { kModel, kModelVersion, kCascade, kService };

/// What a request asks for. Only the members that its kind names are set.
struct RequestTarget {
  TargetKind kind = TargetKind::kModel;
  ModelId model;
  VersionId version;
  CascadeId cascade;
  ServiceId service;

  static RequestTarget ForModel(ModelId model);
  static RequestTarget ForVersion(ModelVersion model_version);
  static RequestTarget ForCascade(CascadeId cascade);
  static RequestTarget ForService(ServiceId service);

  friend bool operator==(const RequestTarget&, const RequestTarget&) = default;
};

/// Whether a team may use a target, and if not, how the caller is refused.
struct PermissionDecision {
  bool allowed = false;
  RefusalKind refusal = RefusalKind::kNotAllowed;
  /// What is missing and the remedy; empty when allowed.
  std::string reason;

  friend bool operator==(const PermissionDecision&, const PermissionDecision&) = default;
};

/// Reads the "model" member of a request: "model@version", the name of a model or the name of a
/// cascade. Nothing when the configuration knows no such name.
std::optional<RequestTarget> ResolveTarget(const Configuration& configuration,
                                           std::string_view text);

/// Decides whether a team may use a target. Entries call it on arrival, sidecars again right before
/// the hand-over with the version that was chosen.
PermissionDecision CheckPermission(const Configuration& configuration, const TeamId& team,
                                   const RequestTarget& target);

/// Whether the version exists and was not withdrawn.
bool IsActive(const Configuration& configuration, const ModelVersion& model_version);

/// Whether the team may use the version. Does not look at the version's state.
bool IsAllowed(const Team& team, const ModelVersion& model_version);

/// Hashes a secret for a document.
HashedKey HashKey(std::string_view salt, std::string_view secret);

/// Finds the team that a caller's secret belongs to. Compares with every key, each in constant
/// time.
std::optional<TeamId> FindTeamByKey(const Configuration& configuration, std::string_view secret);

/// Finds the operator that a secret belongs to. Compares with every key, each in constant time.
std::optional<OperatorId> FindOperatorByKey(const Configuration& configuration,
                                            std::string_view secret);

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_PERMISSION_H_
