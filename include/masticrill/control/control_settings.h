#ifndef MASTICRILL_CONTROL_CONTROL_SETTINGS_H_
#define MASTICRILL_CONTROL_CONTROL_SETTINGS_H_

#include <vector>

#include "masticrill/common/settings.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Declarations of the settings of a control host.
const std::vector<SettingDeclaration>& ControlSettingDeclarations();

/// Converts settings to options and reads the files that they name. Fails with kInvalidSettings.
Result<ControlOptions> ReadControlOptions(const Settings& settings);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_SETTINGS_H_
