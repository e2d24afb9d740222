#ifndef MASTICRILL_COMMON_SETTINGS_H_
#define MASTICRILL_COMMON_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"

namespace masticrill {

enum class SettingType { kText, kInteger, kBoolean, kAddress, kAddressList };

/// The declaration of one setting: section.key = value in an INI file.
struct SettingDeclaration {
  std::string_view section;
  std::string_view key;
  SettingType type = SettingType::kText;
  /// The value when the file has none. A required setting has no default.
  std::string_view default_value = {};
  bool required = false;
  /// The unit of an integer, such as "ms" or "bytes".
  std::string_view unit = {};
  std::int64_t minimum = 0;
  std::int64_t maximum = INT64_MAX;
  std::string_view description = {};
};

/// The settings of one process, checked against their declarations.
class Settings {
 public:
  /// Reads an INI file. Fails, naming file, line, key and remedy, on an unknown key, on a value out
  /// of its type or range, and on a missing required key.
  static Result<Settings> Load(const std::string& path,
                               const std::vector<SettingDeclaration>& declarations);
  /// The same from text; `name` stands for the file in messages.
  static Result<Settings> Parse(const std::string& name, const std::string& text,
                                const std::vector<SettingDeclaration>& declarations);

  /// The value of a declared setting. Asking for one that was not declared is a defect.
  const std::string& Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;
  /// The parts of a comma-separated list.
  std::vector<std::string> List(std::string_view section, std::string_view key) const;

 private:
  std::map<std::string, std::string, std::less<>> values;
};

/// The declarations as a commented INI file with every default.
std::string ExampleSettings(const std::vector<SettingDeclaration>& declarations);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_SETTINGS_H_
