#include "state/pin_table.h"

#include "masticrill/config/permission.h"

namespace masticrill::state {
namespace {

PinResult ResultOf(const PinKey& key, const VersionId& version,
                   const config::Configuration& configuration) {
  const bool active = config::IsActive(configuration, {key.model, version});
  return {active ? PinStatus::kPinned : PinStatus::kWithdrawn, version};
}

bool MayRepin(const config::Configuration& configuration, const TeamId& team) {
  const auto found = configuration.teams.find(team);
  return found != configuration.teams.end() && found->second.repin_on_withdrawal;
}

}  // namespace

PinResult PinTable::Apply(const PinSession& command, const config::Configuration& configuration,
                          const Limits& limits, WallTimeMs now) {
  if (PinRecord* record = this->pins.Find(command.pin)) {
    record->expires_at = now + limits.pin_window_ms;
    return ResultOf(command.pin, record->version, configuration);
  }
  if (!config::IsActive(configuration, {command.pin.model, command.version})) {
    return {PinStatus::kWithdrawn, command.version};
  }
  if (this->pins.Size() >= limits.max_pins) {
    return {PinStatus::kFull, {}};
  }
  this->pins.Insert(command.pin, {command.version, false, now + limits.pin_window_ms});
  return {PinStatus::kPinned, command.version};
}

PinResult PinTable::Apply(const RepinSession& command, const config::Configuration& configuration,
                          const Limits& limits, WallTimeMs now) {
  PinRecord* record = this->pins.Find(command.pin);
  if (record == nullptr) {
    return {PinStatus::kNotPinned, {}};
  }
  const bool unchanged = record->version == command.from;
  if (!unchanged || config::IsActive(configuration, {command.pin.model, command.from})) {
    return ResultOf(command.pin, record->version, configuration);
  }
  if (record->was_repinned || !MayRepin(configuration, command.pin.team)) {
    return {PinStatus::kRepinNotAllowed, record->version};
  }
  if (!config::IsActive(configuration, {command.pin.model, command.to})) {
    return {PinStatus::kWithdrawn, record->version};
  }
  *record = {command.to, true, now + limits.pin_window_ms};
  return {PinStatus::kPinned, record->version};
}

std::optional<PinResult> PinTable::Find(const PinKey& key,
                                        const config::Configuration& configuration) const {
  const PinRecord* record = this->pins.Find(key);
  return record == nullptr ? std::nullopt
                           : std::optional(ResultOf(key, record->version, configuration));
}

}  // namespace masticrill::state
