#ifndef MASTICRILL_COMMON_ROLE_SETTINGS_H_
#define MASTICRILL_COMMON_ROLE_SETTINGS_H_

#include <string>
#include <vector>

#include "masticrill/common/log.h"
#include "masticrill/common/settings.h"

namespace masticrill {

/// The settings of one role: [node] first, then the role's own, then [security] and [log].
std::vector<SettingDeclaration> RoleSettingDeclarations(const std::vector<SettingDeclaration>& own);

/// The whole content of a file that a setting names. Fails with kInvalidSettings.
Result<std::string> ReadSettingFile(const std::string& path);

/// Reads the section [security]. Fails with kInvalidSettings unless exactly one of its keys is set.
Result<std::string> ReadSharedSecret(const Settings& settings);

/// Reads the section [log]. Fails with kInvalidSettings.
Result<LogOptions> ReadLogOptions(const Settings& settings);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_ROLE_SETTINGS_H_
