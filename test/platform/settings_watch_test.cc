#include "platform/settings_watch.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "masticrill/common/random.h"

namespace masticrill::platform {
namespace {

std::string SettingsText(const std::string& seeds) {
  return "NodeName=host-1\nIp=10.1.0.19\nZone=north\nRegion=land\nInternalPorts=7340,7355\nSeeds=" +
         seeds +
         "\nLimits.MemoryMb=110\nCloudApi.RatePerS=42.0\nBounds.GraceS=8\nBounds.SessionS=5\n";
}

/// A settings file that is removed at the end.
class SettingsFile {
 public:
  SettingsFile()
      : path(std::filesystem::temp_directory_path() / ("masticrill-" + SecureRandomHex(8))) {}
  ~SettingsFile() { std::filesystem::remove(this->path); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  std::string Path() const { return this->path.string(); }
  void Write(const std::string& text) const { std::ofstream(this->path, std::ios::binary) << text; }

 private:
  std::filesystem::path path;
};

// Failure: a process whose seeds are replaced while it starts never learns the new ones.
TEST_CASE("a change between the start of the process and the first check is reported") {
  const SettingsFile file;
  const std::string started_with = SettingsText("10.1.0.1:8229");
  file.Write(SettingsText("10.1.0.2:8229"));
  std::vector<std::vector<std::string>> seen;
  SettingsWatch watch(file.Path(), started_with,
                      [&](const PlatformSettings& settings) { seen.push_back(settings.seeds); });
  watch.Check(false);
  watch.Check(false);
  CHECK(seen == std::vector<std::vector<std::string>>{{"10.1.0.2:8229"}});
}

TEST_CASE("an unchanged file is reported only when asked for") {
  const SettingsFile file;
  file.Write(SettingsText("10.1.0.1:8229"));
  int calls = 0;
  SettingsWatch watch(file.Path(), SettingsText("10.1.0.1:8229"),
                      [&](const PlatformSettings&) { ++calls; });
  watch.Check(false);
  CHECK(calls == 0);
  watch.Check(true);
  CHECK(calls == 1);
}

TEST_CASE("a file that is missing or damaged changes nothing, and its repair is reported") {
  const SettingsFile file;
  int calls = 0;
  SettingsWatch watch(file.Path(), SettingsText("10.1.0.1:8229"),
                      [&](const PlatformSettings&) { ++calls; });
  watch.Check(true);
  file.Write("Seeds=nowhere\n");
  watch.Check(false);
  CHECK(calls == 0);
  file.Write(SettingsText("10.1.0.2:8229"));
  watch.Check(false);
  CHECK(calls == 1);
}

}  // namespace
}  // namespace masticrill::platform
