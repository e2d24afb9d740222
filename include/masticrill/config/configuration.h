#ifndef MASTICRILL_CONFIG_CONFIGURATION_H_
#define MASTICRILL_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/config/shared_text.h"

namespace masticrill::config {

/// The number of a configuration. Each accepted patch adds one; 0 means none yet.
using Number = std::uint64_t;

/// A secret kept as the SHA-256 of its salt followed by it, both in hexadecimal.
struct HashedKey {
  std::string salt;
  std::string hash;

  friend bool operator==(const HashedKey&, const HashedKey&) = default;
};

/// What a team may use, and how much.
struct Team {
  /// Callers' keys by a name under which each can be withdrawn.
  std::map<std::string, HashedKey> keys;
  /// The versions allowed of each model. An empty set allows every version of the model.
  std::map<ModelId, std::set<VersionId>> models;
  std::set<CascadeId> cascades;
  std::set<ServiceId> services;
  /// The team's share of a contended upstream relative to the other teams'.
  std::uint32_t weight = 1;
  /// Requests that the team may have in flight at one entry.
  std::uint32_t max_in_flight = 1000;
  /// Whether a session whose version was withdrawn moves once to the current version. Otherwise the
  /// session is refused.
  bool repin_on_withdrawal = false;

  friend bool operator==(const Team&, const Team&) = default;
};

enum class VersionState { kActive, kWithdrawn };

struct Version {
  VersionState state = VersionState::kActive;
  /// Cost of 1000 generated tokens, in micro-units of the billing currency.
  std::uint64_t cost_per_1k_tokens = 0;

  friend bool operator==(const Version&, const Version&) = default;
};

enum class RolloutState { kRunning, kHalted };

/// A candidate version that takes a share of a model's new sessions from its default version.
struct Rollout {
  VersionId candidate;
  /// Share of new sessions and of requests without a session, in hundredths of a percent.
  std::uint32_t share_per_10k = 0;
  RolloutState state = RolloutState::kRunning;
  /// Why it was halted, for readers.
  std::string reason;

  friend bool operator==(const Rollout&, const Rollout&) = default;
};

struct Model {
  std::map<VersionId, Version> versions;
  /// The version that a request without a version gets outside a roll-out.
  VersionId default_version;
  std::optional<Rollout> rollout;

  friend bool operator==(const Model&, const Model&) = default;
};

/// Models from cheap to strong. An answer rated below the target moves to the next model.
struct Cascade {
  std::vector<ModelId> steps;
  /// The lowest rating, from 0 to 1, that ends the cascade.
  double quality_target = 0.0;

  friend bool operator==(const Cascade&, const Cascade&) = default;
};

/// A plain service beside the model engines.
struct Service {
  /// HTTP methods whose calls may be repeated. A call by any other method runs at most once.
  std::set<std::string> idempotent_methods;

  friend bool operator==(const Service&, const Service&) = default;
};

enum class DomainState { kIn, kOut };

struct FailureDomain {
  RegionId region;
  DomainState state = DomainState::kIn;

  friend bool operator==(const FailureDomain&, const FailureDomain&) = default;
};

enum class UpstreamState { kActive, kLeaving };

/// A back end and the sidecar that is the only way into it.
struct Upstream {
  FailureDomainId failure_domain;
  /// IP:PORT of the sidecar.
  std::string sidecar_address;
  UpstreamState state = UpstreamState::kActive;
  /// The versions it serves; empty for a plain service.
  std::set<ModelVersion> serves;
  /// The services it offers; empty for a model engine.
  std::set<ServiceId> services;
  /// The most requests that may run on it at once.
  std::uint32_t max_concurrency = 8;
  /// Whether it refuses an order with an old fencing number by itself.
  bool checks_fencing = false;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

enum class OperatorRole { kRead, kChange };

struct Operator {
  HashedKey key;
  OperatorRole role = OperatorRole::kRead;

  friend bool operator==(const Operator&, const Operator&) = default;
};

/// The rating service that judges cascade steps, a service of the configuration.
struct Rating {
  std::optional<ServiceId> service;
  milliseconds timeout{500};

  friend bool operator==(const Rating&, const Rating&) = default;
};

/// A configuration in the format of another system, kept word for word. A node decodes it through
/// the reader that its role was started with; this module only orders its revisions.
struct Declaration {
  /// Given by its author; 0 means none yet. A later declaration has a higher revision.
  std::uint64_t revision = 0;
  SharedText text;
  /// The digest of the text where it is kept apart from the document; empty where it stands in the
  /// document.
  std::string digest;

  friend bool operator==(const Declaration&, const Declaration&) = default;
};

enum class ServiceRolloutState { kRunning, kCompleted, kRolledBack };

/// The move of a service's traffic to the upstreams of one software version.
struct ServiceRollout {
  VersionId target;
  /// The time from the order to its deadline.
  milliseconds duration{0};
  /// When it was ordered, in milliseconds since the Unix epoch.
  WallTimeMs ordered_at = 0;
  ServiceRolloutState state = ServiceRolloutState::kRunning;
  /// Why it ended, for readers.
  std::string reason;
  /// When all sessions move to the target, in milliseconds since the Unix epoch; 0 while its trial
  /// is not judged good.
  WallTimeMs moved_at = 0;

  friend bool operator==(const ServiceRollout&, const ServiceRollout&) = default;
};

enum class PromptBlockState { kBlocked, kLifted };

/// A verdict on a part of prompts. Requests with a blocked part reach no upstream.
struct PromptBlock {
  PromptBlockState state = PromptBlockState::kBlocked;
  /// When the state was set, in milliseconds since the Unix epoch.
  WallTimeMs decided_at = 0;
  /// Why, for readers.
  std::string reason;

  friend bool operator==(const PromptBlock&, const PromptBlock&) = default;
};

/// Everything that operators set. A value never changes after it was made.
struct Configuration {
  Number number = 0;
  std::map<TeamId, Team> teams;
  std::map<ModelId, Model> models;
  std::map<CascadeId, Cascade> cascades;
  std::map<ServiceId, Service> services;
  std::map<FailureDomainId, FailureDomain> failure_domains;
  std::map<UpstreamId, Upstream> upstreams;
  std::map<OperatorId, Operator> operators;
  Rating rating;
  Declaration declaration;
  std::map<ServiceId, ServiceRollout> service_rollouts;
  std::map<PromptPartId, PromptBlock> prompt_blocks;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// A configuration that several threads read.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_CONFIGURATION_H_
