#ifndef MASTICRILL_CONTROL_OPERATOR_ACCESS_H_
#define MASTICRILL_CONTROL_OPERATOR_ACCESS_H_

#include <functional>
#include <optional>
#include <string>

#include "masticrill/common/error.h"
#include "masticrill/config/configuration.h"

namespace masticrill::control {

/// A change planned on the basis of the current configuration.
struct PlannedChange {
  /// A JSON Merge Patch of the configuration document; nullopt when nothing has to change.
  std::optional<std::string> merge_patch;
  /// Set when the change is not allowed; nothing is changed then.
  std::optional<Error> refused;
};

/// Result of a change.
struct ChangeOutcome {
  /// True when the change was committed or nothing had to change. Otherwise `error` gives the
  /// cause; after kTimeout the change may still take effect.
  bool acknowledged = false;
  Error error;
};

/// Whether the sender of a request still waits for the answer.
using SenderWaits = std::function<bool()>;

/// Access of an operator frontend to the committed configuration. Thread-safe.
class OperatorAccess {
 public:
  using Planner = std::function<PlannedChange(const config::Configuration&)>;

  virtual ~OperatorAccess() = default;

  /// The newest committed configuration; null when no leader confirms that this host has it.
  virtual config::ConfigurationPtr ReadCurrent() = 0;

  /// Plans a change on the newest configuration and commits it. Starts over, for a limited number
  /// of attempts, when another change was committed in the meantime. On behalf of a request,
  /// nothing is changed after its sender has left and given another order.
  virtual ChangeOutcome Change(const Planner& plan, const std::string& author,
                               const std::string& reason) = 0;

  /// Puts a declaration in force if its revision is higher than the current one, and acknowledges
  /// it, or the higher one, when no node acts on an earlier one later than the deployment's bound
  /// from then on. Costs the hosts and nodes about what differs from the current text.
  virtual ChangeOutcome Declare(const config::Declaration& declaration,
                                const std::string& author) = 0;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OPERATOR_ACCESS_H_
