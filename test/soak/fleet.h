#ifndef MASTICRILL_SOAK_FLEET_H_
#define MASTICRILL_SOAK_FLEET_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/program.h"
#include "soak/timeline.h"

namespace masticrill::soak {

/// Which writes of a control host fail.
enum class DiskPart {
  kReplica,  // Those of the vote and the snapshot.
  kAll,      // Also the check for room, before the replica starts anew.
};

/// One program of a host.
struct Role {
  std::string name;
  std::unique_ptr<Program> program = nullptr;
  bool wanted = false;
  bool stopping = false;
  TimePoint start_at = {};
  TimePoint started_at = {};
};

/// A host: an address of the loopback range with a control host and an entry. Callers and
/// operators reach it through proxies.
struct Host {
  std::size_t number = 0;
  std::string ip;
  bool has_disk = false;
  bool removed = false;
  Role control = {"control"};
  Role entry = {"entry"};
  std::unique_ptr<FaultProxy> caller_proxy = nullptr;
  std::unique_ptr<FaultProxy> operator_proxy = nullptr;
};

/// What callers and operators see of a host.
struct HostAddresses {
  std::size_t number = 0;
  bool has_disk = false;
  std::string callers;
  /// Where the entry itself listens, without a proxy.
  std::string entry;
  std::string operators;
};

/// The real programs on all hosts. Starts, faults and the supervision are for one thread.
class Fleet {
 public:
  Fleet(std::string folder, std::string list_address, std::size_t disks, std::size_t observers,
        Timeline& timeline);

  std::vector<Host*> Hosts();
  std::vector<Host*> DiskHosts();
  /// Safe for several threads.
  std::vector<HostAddresses> Addresses() const;

  Host& AddHost(bool has_disk);
  void Start(Host& host, Role& role, Duration after = Duration(0));
  void Kill(Host& host, Role& role);
  void Freeze(Host& host, Role& role);
  void Thaw(Host& host, Role& role);
  /// Asks the program to stop. The supervision starts it again when it has ended.
  void Stop(Host& host, Role& role);
  /// Empties the data folder of a control host that does not run.
  void Wipe(Host& host);
  /// Puts folders in the place of the temporary files of the replica, or takes them away.
  void BlockDisk(Host& host, bool blocked, DiskPart part = DiskPart::kReplica);
  /// Tells the program that its settings may have changed.
  void Reload(Host& host, Role& role);
  /// Ends the host for good.
  void Remove(Host& host);
  /// Writes the seeds into all settings files; running programs are told or find out.
  void SetSeeds(const std::vector<Host*>& next, bool tell);
  /// The group has been formed: later starts are no first starts.
  void EndFirstStart() { this->is_first_start = false; }

  /// Starts programs that are due, and those that ended by themselves again.
  void Supervise();

  std::string DataFolder(const Host& host) const;
  std::string ControlAddress(const Host& host) const;

 private:
  std::string HostFolder(const Host& host) const;
  std::string SettingsPath(const Host& host, const Role& role) const;
  void WriteSettings(const Host& host, const Role& role) const;
  void Launch(Host& host, Role& role);
  void SuperviseRole(Host& host, Role& role);
  void PublishAddresses();

  std::string folder;
  std::string list_address;
  Timeline& timeline;
  std::string network;
  bool is_first_start = true;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> seeds;
  mutable std::mutex mutex;
  std::vector<HostAddresses> addresses;
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_FLEET_H_
