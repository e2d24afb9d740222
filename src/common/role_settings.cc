#include "masticrill/common/role_settings.h"

#include <array>
#include <fstream>
#include <sstream>
#include <utility>

namespace masticrill {
namespace {

constexpr std::string_view kNode = "node";
constexpr std::string_view kSecurity = "security";
constexpr std::string_view kLogSection = "log";

/// The first line of a file that holds a secret.
Result<std::string> ReadSecret(const std::string& path) {
  BOOST_LEAF_AUTO(content, ReadSettingFile(path));
  return content.substr(0, content.find_first_of("\r\n"));
}

}  // namespace

std::vector<SettingDeclaration> RoleSettingDeclarations(
    const std::vector<SettingDeclaration>& own) {
  std::vector<SettingDeclaration> all = {
      {.section = kNode,
       .key = "name",
       .required = true,
       .description =
           "The name of this process, unique in the system; a sidecar has its upstream's."},
      {.section = kNode,
       .key = "failure_domain",
       .required = true,
       .description = "The failure domain that this host stands in."},
  };
  all.insert(all.end(), own.begin(), own.end());
  all.push_back({.section = kSecurity,
                 .key = "shared_secret_file",
                 .description = "A file with the secret that all processes of the system share."});
  all.push_back({.section = kSecurity,
                 .key = "shared_secret",
                 .description = "The secret itself, for trials."});
  all.push_back({.section = kLogSection,
                 .key = "level",
                 .default_value = "info",
                 .description = "debug, info, warning or error."});
  all.push_back({.section = kLogSection,
                 .key = "json",
                 .type = SettingType::kBoolean,
                 .default_value = "false",
                 .description = "Write each log line as a JSON object."});
  return all;
}

Result<std::string> ReadSettingFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return Fail(ErrorKind::kInvalidSettings,
                "Cannot read " + path + ". Check the path in the settings and the file's owner.");
  }
  return std::move(content).str();
}

Result<std::string> ReadSharedSecret(const Settings& settings) {
  const std::string& path = settings.Text(kSecurity, "shared_secret_file");
  const std::string& text = settings.Text(kSecurity, "shared_secret");
  if (path.empty() == text.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                "Set either security.shared_secret_file or security.shared_secret.");
  }
  if (!text.empty()) {
    return text;
  }
  return ReadSecret(path);
}

Result<LogOptions> ReadLogOptions(const Settings& settings) {
  constexpr std::array<std::pair<const char*, LogLevel>, 4> kLevels = {
      {{"debug", LogLevel::kDebug},
       {"info", LogLevel::kInfo},
       {"warning", LogLevel::kWarning},
       {"error", LogLevel::kError}}};
  LogOptions options;
  options.json = settings.Boolean(kLogSection, "json");
  options.queued = true;
  for (const auto& [name, level] : kLevels) {
    if (settings.Text(kLogSection, "level") == name) {
      options.level = level;
      return options;
    }
  }
  return Fail(ErrorKind::kInvalidSettings,
              "log.level is not known. Use debug, info, warning or error.");
}

}  // namespace masticrill
