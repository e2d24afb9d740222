#ifndef MASTICRILL_SIDECAR_DISPATCH_GATE_H_
#define MASTICRILL_SIDECAR_DISPATCH_GATE_H_

#include <concepts>
#include <optional>
#include <utility>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

/// Returns why the configuration forbids an attempt on an upstream; empty when allowed.
template <typename C>
concept PermissionCheck = requires(const C& check, const config::Configuration& configuration,
                                   const UpstreamId& upstream, const AttemptSpec& spec) {
  { check(configuration, upstream, spec) } -> std::same_as<std::optional<RefuseReason>>;
};

/// Checks the team's permission, the version's state and the upstream against the configuration.
struct ConfigurationPermission {
  std::optional<RefuseReason> operator()(const config::Configuration& configuration,
                                         const UpstreamId& upstream, const AttemptSpec& spec) const;
};

/// Decides whether an attempt may start at a given time: the lease is valid, the process is not
/// draining and the configuration in force allows the attempt. Checked when an attempt is submitted
/// and again just before it starts. Not thread-safe.
template <PermissionCheck Check = ConfigurationPermission>
class DispatchGate {
 public:
  explicit DispatchGate(Check check = {}) : check(std::move(check)) {}

  /// Extends the lease to the given time. A delayed message with an earlier time is ignored.
  void OnLease(TimePoint new_valid_until) {
    if (!this->valid_until || new_valid_until > *this->valid_until) {
      this->valid_until = new_valid_until;
    }
  }

  /// False when the configuration is not newer than the one in force; nothing is changed then.
  bool OnConfiguration(config::ConfigurationPtr next, const UpstreamId& self) {
    if (!next || (this->configuration && next->number <= this->configuration->number)) {
      return false;
    }
    this->configuration = std::move(next);
    this->upstream = self;
    return true;
  }

  void BeginDrain() { this->draining = true; }
  bool Draining() const { return this->draining; }
  config::Number ConfigurationNumber() const {
    return this->configuration ? this->configuration->number : 0;
  }

  /// Why no attempt at all may start; empty when the lease is valid and the process not draining.
  std::optional<RefuseReason> CheckNode(TimePoint now) const {
    if (this->draining) {
      return RefuseReason::kStopping;
    }
    if (!this->configuration || !this->valid_until || now >= *this->valid_until) {
      return RefuseReason::kNoLease;
    }
    return std::nullopt;
  }

  /// Why this attempt may not start; empty when it may.
  std::optional<RefuseReason> CheckAttempt(const AttemptSpec& spec, TimePoint now) const {
    if (const std::optional<RefuseReason> reason = this->CheckNode(now)) {
      return reason;
    }
    const std::optional<RefuseReason> reason =
        this->check(*this->configuration, this->upstream, spec);
    if (reason && spec.config_number > this->configuration->number) {
      return RefuseReason::kConfigurationBehind;
    }
    return reason;
  }

 private:
  Check check;
  config::ConfigurationPtr configuration;
  UpstreamId upstream;
  std::optional<TimePoint> valid_until;
  bool draining = false;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_DISPATCH_GATE_H_
