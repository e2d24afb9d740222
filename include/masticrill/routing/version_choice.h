#ifndef MASTICRILL_ROUTING_VERSION_CHOICE_H_
#define MASTICRILL_ROUTING_VERSION_CHOICE_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/name.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"
#include "masticrill/routing/request.h"

namespace masticrill::routing {

/// Why a version was chosen, or why the request was refused.
enum class VersionReason {
  kNamedByCaller,
  kPinnedBySession,
  kDefaultVersion,
  kRolloutCandidate,
  kCandidateUnavailable,
  kRepinnedAfterWithdrawal,
  kRefusedUnknownModel,
  kRefusedNotAllowed,
  kRefusedWithdrawn,
  kRefusedPinWithdrawn,
};

inline constexpr std::array kAllVersionReasons = {
    VersionReason::kNamedByCaller,        VersionReason::kPinnedBySession,
    VersionReason::kDefaultVersion,       VersionReason::kRolloutCandidate,
    VersionReason::kCandidateUnavailable, VersionReason::kRepinnedAfterWithdrawal,
    VersionReason::kRefusedUnknownModel,  VersionReason::kRefusedNotAllowed,
    VersionReason::kRefusedWithdrawn,     VersionReason::kRefusedPinWithdrawn,
};

std::string_view ToString(VersionReason reason);

struct VersionDecision {
  /// Absent when the request is refused.
  std::optional<ModelVersion> version = {};
  VersionReason reason = VersionReason::kRefusedUnknownModel;
  /// For a refusal: its kind, and a message that names the remedy.
  RefusalKind refusal = RefusalKind::kUnknownModel;
  std::string message = {};
  /// The session has no pin for this model yet, or its pin moved: the caller gets a new pin.
  bool pin_session = false;

  friend bool operator==(const VersionDecision&, const VersionDecision&) = default;
};

/// Whether the configuration lets the team run the version now: it exists, is allowed and is not
/// withdrawn.
bool VersionAllowed(const config::Configuration& configuration, const TeamId& team,
                    const ModelVersion& version);

/// Chooses the version of one model for a request. A pure function: the hash of the session, or of
/// the request if it has no session, decides whether the roll-out share includes the request.
VersionDecision SelectVersion(const config::Configuration& configuration,
                              const RequestTraits& traits, const ModelTarget& target);

/// Like SelectVersion, but if neither the request nor a pin names a version, the default version is
/// chosen. Used if the roll-out candidate failed or has no upstream.
VersionDecision SelectDefaultVersion(const config::Configuration& configuration,
                                     const RequestTraits& traits, const ModelTarget& target);

/// Checks, before any routing decision, that the team exists and may use the cascade or service;
/// SelectVersion checks models. Returns the refusal, or nothing if the request is allowed.
std::optional<Refusal> CheckPermission(const config::Configuration& configuration,
                                       const RequestTraits& traits);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_VERSION_CHOICE_H_
