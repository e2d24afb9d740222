#include "masticrill/common/settings.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "masticrill/common/nearest.h"

namespace masticrill {
namespace {

std::string FullKey(std::string_view section, std::string_view key) {
  return std::string(section) + "." + std::string(key);
}

std::string Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return "";
  }
  const auto last = text.find_last_not_of(" \t\r");
  return std::string(text.substr(first, last - first + 1));
}

/// One key as it stands in the file. The INI library keeps no line numbers.
struct KeyLine {
  std::string full_key;
  int line = 0;
};

std::vector<KeyLine> FindKeyLines(const std::string& text) {
  std::vector<KeyLine> keys;
  std::istringstream lines(text);
  std::string section;
  std::string raw;
  for (int number = 1; std::getline(lines, raw); ++number) {
    const std::string line = Trim(raw);
    if (line.empty() || line[0] == ';' || line[0] == '#') {
      continue;
    }
    if (line[0] == '[') {
      section = Trim(std::string_view(line).substr(1, line.find(']') - 1));
      continue;
    }
    keys.push_back({FullKey(section, Trim(line.substr(0, line.find('=')))), number});
  }
  return keys;
}

std::string NearestKey(const std::string& unknown,
                       const std::vector<SettingDeclaration>& declarations) {
  std::vector<std::string> candidates;
  for (const SettingDeclaration& declaration : declarations) {
    candidates.push_back(FullKey(declaration.section, declaration.key));
  }
  return Nearest(unknown, candidates);
}

bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, status] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  return status == std::errc() && end == port_text.data() + port_text.size() && port <= 65535;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (const std::string trimmed = Trim(part); !trimmed.empty()) {
      parts.push_back(trimmed);
    }
  }
  return parts;
}

/// Returns what is wrong with the value, with the remedy; empty when it is right.
std::string FindFault(const SettingDeclaration& declaration, const std::string& value) {
  switch (declaration.type) {
    case SettingType::kText:
      return declaration.required && value.empty() ? "is empty. Give it a value." : "";
    case SettingType::kBoolean:
      return value == "true" || value == "false" ? "" : "is not a boolean. Write true or false.";
    case SettingType::kAddress:
      if (value.empty() && !declaration.required) {
        return "";
      }
      return IsAddress(value) ? "" : "is not an address. Write it as IP:PORT, as in 10.0.0.7:8080.";
    case SettingType::kAddressList: {
      const std::vector<std::string> parts = SplitList(value);
      if (declaration.required && parts.empty()) {
        return "names no address. Write IP:PORT, several separated by commas.";
      }
      const bool valid = std::all_of(parts.begin(), parts.end(), IsAddress);
      return valid ? "" : "has a part that is no address. Write IP:PORT, separated by commas.";
    }
    case SettingType::kInteger: {
      std::int64_t number = 0;
      const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), number);
      if (status != std::errc() || end != value.data() + value.size()) {
        return "is not a whole number. Write digits only, in " + std::string(declaration.unit) +
               ".";
      }
      if (number < declaration.minimum || number > declaration.maximum) {
        return "is out of range. Write a number from " + std::to_string(declaration.minimum) +
               " to " + std::to_string(declaration.maximum) + " " + std::string(declaration.unit) +
               ".";
      }
      return "";
    }
  }
  return "";
}

bool IsDeclared(const std::string& full_key, const std::vector<SettingDeclaration>& declarations) {
  return std::any_of(declarations.begin(), declarations.end(), [&](const auto& declaration) {
    return FullKey(declaration.section, declaration.key) == full_key;
  });
}

std::string At(const std::string& name, int line) { return name + ":" + std::to_string(line); }

}  // namespace

Result<Settings> Settings::Load(const std::string& path,
                                const std::vector<SettingDeclaration>& declarations) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kInvalidSettings,
                path + ": cannot be read. Check the path and its permissions.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(path, text.str(), declarations);
}

Result<Settings> Settings::Parse(const std::string& name, const std::string& text,
                                 const std::vector<SettingDeclaration>& declarations) {
  Poco::AutoPtr<Poco::Util::IniFileConfiguration> file;
  try {
    std::istringstream stream(text);
    file = new Poco::Util::IniFileConfiguration(stream);
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kInvalidSettings,
                name + ": is not an INI file (" + exception.displayText() + "). Correct its form.");
  }
  const std::vector<KeyLine> lines = FindKeyLines(text);
  std::map<std::string, int, std::less<>> line_of;
  for (const auto& [full_key, line] : lines) {
    if (!IsDeclared(full_key, declarations)) {
      return Fail(ErrorKind::kInvalidSettings, At(name, line) + ": unknown setting '" + full_key +
                                                   "'. Did you mean '" +
                                                   NearestKey(full_key, declarations) + "'?");
    }
    if (const auto [place, added] = line_of.emplace(full_key, line); !added) {
      return Fail(ErrorKind::kInvalidSettings,
                  At(name, line) + ": '" + full_key + "' stands already on line " +
                      std::to_string(place->second) + ". Remove one of the two.");
    }
  }
  Settings settings;
  for (const SettingDeclaration& declaration : declarations) {
    const std::string full_key = FullKey(declaration.section, declaration.key);
    const auto line = line_of.find(full_key);
    if (line == line_of.end()) {
      if (declaration.required) {
        return Fail(ErrorKind::kInvalidSettings,
                    name + ": required setting '" + full_key + "' is missing. Add '" +
                        std::string(declaration.key) + " = ...' under [" +
                        std::string(declaration.section) + "].");
      }
      settings.values[full_key] = declaration.default_value;
      continue;
    }
    const std::string value = file->getRawString(full_key, "");
    if (const std::string fault = FindFault(declaration, value); !fault.empty()) {
      return Fail(ErrorKind::kInvalidSettings,
                  At(name, line->second) + ": '" + full_key + "' " + fault);
    }
    settings.values[full_key] = value;
  }
  return settings;
}

const std::string& Settings::Text(std::string_view section, std::string_view key) const {
  const auto value = this->values.find(FullKey(section, key));
  if (value == this->values.end()) {
    // The key is not in the declarations that this object was made from.
    std::abort();
  }
  return value->second;
}

std::int64_t Settings::Integer(std::string_view section, std::string_view key) const {
  const std::string& text = this->Text(section, key);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

bool Settings::Boolean(std::string_view section, std::string_view key) const {
  return this->Text(section, key) == "true";
}

std::vector<std::string> Settings::List(std::string_view section, std::string_view key) const {
  return SplitList(this->Text(section, key));
}

std::string ExampleSettings(const std::vector<SettingDeclaration>& declarations) {
  std::string text;
  std::string_view section;
  for (const SettingDeclaration& declaration : declarations) {
    if (declaration.section != section) {
      section = declaration.section;
      text += (text.empty() ? "[" : "\n[") + std::string(section) + "]\n";
    }
    text += "; " + std::string(declaration.description);
    if (declaration.type == SettingType::kInteger) {
      text += " Unit: " + std::string(declaration.unit) + ", from " +
              std::to_string(declaration.minimum);
      text += declaration.maximum == INT64_MAX ? "."
                                               : " to " + std::to_string(declaration.maximum) + ".";
    }
    text += declaration.required ? " Required.\n" : "\n;";
    text += std::string(declaration.key) + " = " + std::string(declaration.default_value) + "\n";
  }
  return text;
}

}  // namespace masticrill
