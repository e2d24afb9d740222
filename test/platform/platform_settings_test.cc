#include "platform/platform_settings.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace masticrill::platform {
namespace {

const std::string kGood =
    "NodeName=host-1\nRole=any\nIp=10.1.0.19\nZone=north\nRegion=land\nZones.north=land\n"
    "Zones.south=land\nListen.Front=10.1.0.19:8227\nListen.Ready=10.1.0.19:8220\n"
    "Listen.Control=10.1.0.19:8229\nInternalPorts=7340,7355\n"
    "Seeds=10.1.0.19:8229, 10.2.0.36:8229\nBootstrap=true\nLimits.MemoryMb=110\n"
    "DataDir=/data/x\nCloudApi.Address=10.200.0.61:8223\nCloudApi.RatePerS=42.0\n"
    "Bounds.GraceS=8\nBounds.SessionS=5\nBounds.ExposeShare=0.15\nBounds.ExposeSlack=40\n"
    "Bounds.ConfigApplyMs=2000\n";

/// The message of the error, or "" for settings that are read.
std::string FaultOf(const std::string& text) {
  return HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParsePlatformSettings("boot.conf", text));
        return std::string();
      },
      [](const Error& error) { return error.message; });
}

PlatformSettings Parse(const std::string& text) {
  return HandleErrors([&] { return ParsePlatformSettings("boot.conf", text); },
                      [](const Error&) { return PlatformSettings(); });
}

/// The good text with one line replaced; an empty line removes it.
std::string With(const std::string& field, const std::string& line) {
  const std::size_t begin = kGood.find(field + "=");
  const std::size_t end = kGood.find('\n', begin);
  return kGood.substr(0, begin) + line + kGood.substr(end);
}

// Pattern: a crowd of connections at a host with little memory, or few descriptors.
TEST_CASE("the connections of an entry fit into its memory and its descriptors") {
  constexpr ConnectionRoom kMost{1500, 512};
  constexpr std::uint64_t kKept = 200;
  PlatformSettings settings;
  for (const std::uint64_t memory_mb : {24, 40, 88, 96, 110, 160, 220, 1000}) {
    settings.memory_mb = memory_mb;
    for (const std::uint64_t descriptors : {400, 500, 3075, 4100, 10250}) {
      settings.max_descriptors = descriptors;
      const ConnectionRoom room = CallerRoom(settings, kMost);
      CHECK(2 * room.served + room.waiting <= descriptors - kKept);
      CHECK(room.served >= 16);
      CHECK(room.served <= kMost.served);
      CHECK(room.waiting <= kMost.waiting);
      const int for_control =
          MessageConnections(settings, 1200) + OperatorConnections(settings, 64);
      CHECK(static_cast<std::uint64_t>(for_control) <= descriptors - kKept);
    }
  }
  settings.memory_mb = 88;
  settings.max_descriptors = 0;
  CHECK(CallerRoom(settings, kMost).served == 800);
  CHECK(CallerRoom(settings, kMost).waiting == kMost.waiting);
}

TEST_CASE("what may be buffered follows the memory of a process, with what it needs taken off") {
  CHECK(BufferBytes(0) == 0);
  CHECK(BufferBytes(20) == 0);
  CHECK(BufferBytes(88) < BufferBytes(110));
  for (const std::uint64_t memory_mb : {88, 96, 110, 160, 220}) {
    CHECK(BufferBytes(memory_mb) < memory_mb * 1'000'000 / 2);
    CHECK(BufferBytes(memory_mb) > memory_mb * 1'000'000 / 5);
  }
}

TEST_CASE("the file of the platform is read into the project's words") {
  const PlatformSettings settings = Parse(kGood);
  CHECK(settings.host_name == "host-1");
  CHECK(settings.failure_domain == FailureDomainId("north"));
  CHECK(settings.regions.size() == 2);
  CHECK(settings.internal_port == 7340);
  CHECK(settings.seeds == std::vector<std::string>{"10.1.0.19:8229", "10.2.0.36:8229"});
  CHECK(settings.is_first_start);
  CHECK(settings.stop_grace == seconds(8));
  CHECK(settings.exposed_share == 0.15);
  CHECK(settings.change_bound == milliseconds(2000));
  CHECK(settings.exposed_slack == 40);
  CHECK_FALSE(Parse(With("Bounds.ExposeShare", "")).exposed_share);
  CHECK_FALSE(Parse(With("Bounds.ConfigApplyMs", "")).change_bound);
  CHECK(InternalAddress(settings, settings.seeds[1]) == "10.2.0.36:7340");
  CHECK(OwnInternalAddress(settings) == "10.1.0.19:7340");
}

TEST_CASE("unknown fields, comments and lines without a value are ignored") {
  CHECK(Parse(kGood + "New.Field=1\n# a comment\nnonsense\n\n") == Parse(kGood));
}

TEST_CASE("a needed field that is missing or impossible is named") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"NodeName", ""},
      {"Ip", "Ip=nowhere"},
      {"Zone", ""},
      {"InternalPorts", "InternalPorts=x"},
      {"InternalPorts", "InternalPorts=70000,70001"},
      {"Seeds", ""},
      {"Seeds", "Seeds=10.1.0.19"},
      {"Listen.Front", "Listen.Front=10.1.0.19:x"},
      {"Bootstrap", "Bootstrap=perhaps"},
      {"Limits.MemoryMb", "Limits.MemoryMb=-1"},
      {"Bounds.GraceS", "Bounds.GraceS=soon"},
      {"Bounds.ExposeShare", "Bounds.ExposeShare=-1"},
      {"CloudApi.RatePerS", "CloudApi.RatePerS=nan"},
  };
  for (const auto& one : cases) {
    const auto& field = one.first;
    const auto& line = one.second;
    CAPTURE(line);
    const std::string fault = FaultOf(With(field, line));
    CHECK(fault.find("boot.conf") == 0);
    CHECK(fault.find(field) != std::string::npos);
  }
  CHECK(FaultOf(kGood).empty());
}

}  // namespace
}  // namespace masticrill::platform
