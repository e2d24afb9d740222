#ifndef MASTICRILL_CONTROL_OPERATOR_ACCESS_H_
#define MASTICRILL_CONTROL_OPERATOR_ACCESS_H_

#include <functional>
#include <optional>
#include <string>

#include "masticrill/common/error.h"
#include "masticrill/config/configuration.h"

namespace masticrill::control {

/// A change that is decided on the current configuration.
struct PlannedChange {
  /// A JSON Merge Patch of the configuration's document; nothing where nothing has to change.
  std::optional<std::string> merge_patch;
  /// Set when the change is not allowed; nothing is changed then.
  std::optional<Error> refused;
};

/// How a change ended.
struct ChangeOutcome {
  /// The change is committed, or needed none. Otherwise `error` says what is known.
  bool acknowledged = false;
  Error error;
};

/// What a frontend for operators may do with the agreed configuration. Thread-safe.
class OperatorAccess {
 public:
  using Planner = std::function<PlannedChange(const config::Configuration&)>;

  virtual ~OperatorAccess() = default;

  /// The newest committed configuration; null where this host cannot be sure of it now.
  virtual config::ConfigurationPtr ReadCurrent() = 0;

  /// Plans a change on the newest configuration and commits it, again from the start when another
  /// change was committed meanwhile.
  virtual ChangeOutcome Change(const Planner& plan, const std::string& author,
                               const std::string& reason) = 0;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OPERATOR_ACCESS_H_
