#include "soak/fleet.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace masticrill::soak {
namespace {

/// Below the range from which the system takes the ports of outgoing connections. Each host has
/// addresses of its own, so all use the same ports.
constexpr int kCallerPort = 21001;
constexpr int kReadyPort = 21002;
constexpr int kOperatorPort = 21003;
constexpr int kInternalPort = 21004;
constexpr Duration kRestartDelay = milliseconds(200);
constexpr std::size_t kSeedCount = 3;
constexpr std::array kCrashCodes = {128 + SIGABRT, 128 + SIGSEGV, 128 + SIGBUS, 128 + SIGILL,
                                    128 + SIGFPE};
constexpr const char* kVoteFile = "replica/vote.tmp";
constexpr const char* kSnapshotFile = "replica/snapshot.tmp";
constexpr const char* kRoomCheckFile = "write_check.new";

std::vector<std::string> FilesOf(DiskPart part) {
  std::vector<std::string> files = {kVoteFile, kSnapshotFile};
  if (part == DiskPart::kAll) {
    files.emplace_back(kRoomCheckFile);
  }
  return files;
}

/// A network of the loopback range for the hosts of one run of one process.
std::string NextNetwork() {
  static std::atomic<unsigned> run = 0;
  constexpr unsigned kByte = 250;
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % kByte) + "." +
         std::to_string(1 + (pid / kByte + run++) % kByte) + ".";
}

/// The program under test, or another build of it that the environment names.
std::string Binary() {
  const char* const other = std::getenv("MASTICRILL_SOAK_BINARY");
  return other != nullptr ? other : MASTICRILL_BINARY;
}

std::string At(const Host& host, int port) { return host.ip + ":" + std::to_string(port); }

}  // namespace

Fleet::Fleet(std::string folder, std::string list_address, std::size_t disks, std::size_t observers,
             Timeline& timeline)
    : folder(std::move(folder)),
      list_address(std::move(list_address)),
      timeline(timeline),
      network(NextNetwork()) {
  for (std::size_t number = 0; number < disks + observers; ++number) {
    this->AddHost(number < disks);
  }
  this->seeds = this->DiskHosts();
  this->seeds.resize(std::min(this->seeds.size(), kSeedCount));
}

std::vector<Host*> Fleet::Hosts() {
  std::vector<Host*> found;
  for (const auto& host : this->hosts) {
    if (!host->removed) {
      found.push_back(host.get());
    }
  }
  return found;
}

std::vector<Host*> Fleet::DiskHosts() {
  std::vector<Host*> found = this->Hosts();
  std::erase_if(found, [](const Host* host) { return !host->has_disk; });
  return found;
}

std::vector<HostAddresses> Fleet::Addresses() const {
  const std::scoped_lock lock(this->mutex);
  return this->addresses;
}

void Fleet::PublishAddresses() {
  std::vector<HostAddresses> next;
  for (const Host* host : this->Hosts()) {
    next.push_back({host->number, host->has_disk, host->caller_proxy->Address(),
                    At(*host, kCallerPort), host->operator_proxy->Address()});
  }
  const std::scoped_lock lock(this->mutex);
  this->addresses = std::move(next);
}

Host& Fleet::AddHost(bool has_disk) {
  auto host = std::make_unique<Host>();
  host->number = this->hosts.size() + 1;
  host->ip = this->network + std::to_string(host->number);
  host->has_disk = has_disk;
  host->caller_proxy = std::make_unique<FaultProxy>(At(*host, kCallerPort));
  host->operator_proxy = std::make_unique<FaultProxy>(At(*host, kOperatorPort));
  std::filesystem::create_directories(this->DataFolder(*host));
  this->hosts.push_back(std::move(host));
  this->PublishAddresses();
  return *this->hosts.back();
}

std::string Fleet::HostFolder(const Host& host) const {
  return this->folder + "/host-" + std::to_string(host.number);
}
std::string Fleet::DataFolder(const Host& host) const { return this->HostFolder(host) + "/data"; }
std::string Fleet::ControlAddress(const Host& host) const { return At(host, kInternalPort); }
std::string Fleet::SettingsPath(const Host& host, const Role& role) const {
  return this->HostFolder(host) + "/" + role.name + ".conf";
}

void Fleet::WriteSettings(const Host& host, const Role& role) const {
  std::string seed_list;
  for (const Host* seed : this->seeds) {
    seed_list += (seed_list.empty() ? "" : ",") + At(*seed, kOperatorPort);
  }
  const std::string path = this->SettingsPath(host, role);
  std::ofstream file(path + ".new");
  file << "NodeName=host-" << host.number << "\nIp=" << host.ip << "\nZone=zone-"
       << host.number % kSeedCount << "\nRegion=land\n"
       << "Zones.zone-0=land\nZones.zone-1=land\nZones.zone-2=land\n"
       << "Listen.Front=" << At(host, kCallerPort) << "\nListen.Ready=" << At(host, kReadyPort)
       << "\nListen.Control=" << At(host, kOperatorPort) << "\nInternalPorts=" << kInternalPort
       << "," << kInternalPort << "\nSeeds=" << seed_list
       << "\nBootstrap=" << (this->is_first_start ? "true" : "false")
       << "\nLimits.MemoryMb=110\nDataDir=" << (host.has_disk ? this->DataFolder(host) : "")
       << "\nCloudApi.Address=" << this->list_address
       << "\nCloudApi.RatePerS=42.0\nBounds.GraceS=" << kStopGrace.count()
       << "\nBounds.SessionS=5\n";
  file.close();
  std::filesystem::rename(path + ".new", path);
}

void Fleet::Start(Host& host, Role& role, Duration after) {
  if (host.removed) {
    return;
  }
  role.wanted = true;
  role.start_at = this->timeline.Now() + after;
  if (after <= Duration(0)) {
    this->Launch(host, role);
  }
}

void Fleet::Launch(Host& host, Role& role) {
  const std::string temporary = this->HostFolder(host) + "/tmp-" + role.name;
  std::filesystem::remove_all(temporary);
  std::filesystem::create_directories(temporary);
  this->WriteSettings(host, role);
  role.program = std::make_unique<Program>(
      std::vector<std::string>{Binary(), "platform", role.name},
      std::vector<std::string>{"PATH=/usr/bin:/bin", "TMPDIR=" + temporary,
                               "MASTICRILL_SETTINGS=" + this->SettingsPath(host, role)},
      this->folder + "/host-" + std::to_string(host.number) + "-" + role.name + ".log");
  role.stopping = false;
  role.started_at = this->timeline.Now();
  this->timeline.Add("start " + role.name + " on host " + std::to_string(host.number));
}

void Fleet::Kill(Host& host, Role& role) {
  role.wanted = false;
  role.stopping = false;
  if (role.program != nullptr) {
    role.program->Kill();
    role.program.reset();
    this->timeline.Add("kill " + role.name + " on host " + std::to_string(host.number));
  }
}

void Fleet::Freeze(Host& host, Role& role) {
  if (role.program != nullptr) {
    role.program->Signal(SIGSTOP);
    this->timeline.Add("freeze " + role.name + " on host " + std::to_string(host.number));
  }
}

void Fleet::Thaw(Host& host, Role& role) {
  if (role.program != nullptr) {
    role.program->Signal(SIGCONT);
    this->timeline.Add("thaw " + role.name + " on host " + std::to_string(host.number));
  }
}

void Fleet::Stop(Host& host, Role& role) {
  if (role.program != nullptr) {
    role.stopping = true;
    role.program->Signal(SIGTERM);
    this->timeline.Add("stop " + role.name + " on host " + std::to_string(host.number));
  }
}

void Fleet::Wipe(Host& host) {
  std::filesystem::remove_all(this->DataFolder(host));
  std::filesystem::create_directories(this->DataFolder(host));
  this->timeline.Add("empty the disk of host " + std::to_string(host.number));
}

void Fleet::Reload(Host& host, Role& role) {
  if (role.program != nullptr) {
    role.program->Signal(SIGHUP);
    this->timeline.Add("reload " + role.name + " on host " + std::to_string(host.number));
  }
}

void Fleet::BlockDisk(Host& host, bool blocked, DiskPart part) {
  for (const std::string& name : FilesOf(part)) {
    const std::filesystem::path path = this->DataFolder(host) + "/" + name;
    std::error_code error;
    if (blocked) {
      std::filesystem::create_directories(path / "in-the-way", error);
    } else {
      std::filesystem::remove_all(path, error);
    }
  }
  this->timeline.Add(std::string(blocked ? "block" : "free") + " the disk of host " +
                     std::to_string(host.number));
}

void Fleet::Remove(Host& host) {
  this->Kill(host, host.control);
  this->Kill(host, host.entry);
  host.removed = true;
  host.caller_proxy->Set(LinkFault::kReset);
  host.operator_proxy->Set(LinkFault::kReset);
  this->PublishAddresses();
  this->timeline.Add("remove host " + std::to_string(host.number));
}

void Fleet::SetSeeds(const std::vector<Host*>& next, bool tell) {
  this->seeds = next;
  std::string names;
  for (const Host* seed : next) {
    names += " " + std::to_string(seed->number) + (seed->has_disk ? "" : " (observer)");
  }
  this->timeline.Add("seeds are hosts" + names);
  for (Host* host : this->Hosts()) {
    for (Role* role : {&host->control, &host->entry}) {
      this->WriteSettings(*host, *role);
      if (tell && role->program != nullptr) {
        role->program->Signal(SIGHUP);
      }
    }
  }
}

void Fleet::Supervise() {
  for (Host* host : this->Hosts()) {
    this->SuperviseRole(*host, host->control);
    this->SuperviseRole(*host, host->entry);
  }
}

void Fleet::SuperviseRole(Host& host, Role& role) {
  if (!role.wanted) {
    return;
  }
  const TimePoint now = this->timeline.Now();
  if (role.program != nullptr) {
    const std::optional<int> code = role.program->ExitCode();
    if (!code) {
      return;
    }
    this->timeline.Add(role.name + " on host " + std::to_string(host.number) + " ended with " +
                       std::to_string(*code) + (role.stopping ? "" : " by itself"));
    if (std::find(kCrashCodes.begin(), kCrashCodes.end(), *code) != kCrashCodes.end()) {
      this->timeline.Fail("CRASH", role.name + " on host " + std::to_string(host.number));
    }
    role.program.reset();
    role.start_at = now + kRestartDelay;
  }
  if (now >= role.start_at) {
    this->Launch(host, role);
  }
}

}  // namespace masticrill::soak
