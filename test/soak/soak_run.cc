#include "soak/soak_run.h"

#include "soak/caller.h"
#include "soak/fault_plan.h"
#include "soak/membership_check.h"
#include "soak/operator.h"

namespace masticrill::soak {
namespace {

constexpr std::size_t kUpstreams = 3;
constexpr std::size_t kCallers = 6;
constexpr Duration kFaultSpan = seconds(15);
/// All processes are back this long after the closing fault, at most.
constexpr int kClosingRestartMs = 800;

std::string Name(const HostAddresses& host) { return "host " + std::to_string(host.number); }

/// How many hosts a fleet has at its first start.
struct FleetSize {
  explicit FleetSize(Random& random) : observers(2 + random.Below(2)), disks(3 + random.Below(3)) {}

  std::size_t observers;
  std::size_t disks;
};

class SoakRun {
 public:
  SoakRun(std::uint64_t seed, const std::string& folder)
      : random(seed),
        size(this->random),
        upstreams(kUpstreams),
        fleet(folder, this->upstreams.ListAddress(), this->size.disks, this->size.observers,
              this->timeline),
        plan(seed, this->fleet, this->upstreams, this->calm, this->timeline),
        operators(this->fleet, this->acknowledged, this->timeline),
        seed(seed) {}

  SoakReport Run() {
    if (this->Form()) {
      Callers callers(this->seed, kCallers, this->fleet, this->acknowledged, this->calm,
                      this->timeline);
      this->operators.Begin(this->seed);
      this->plan.Run(kFaultSpan);
      this->StopAnEntry();
      this->plan.RunCalm(std::max(this->plan.LostUntil(), this->timeline.Now() + kCatchUp));
      this->operators.Stop();
      this->CheckGroup(this->timeline.Now() + kRecovery, "after the faults");
      this->CloseWithFault();
      const TimePoint deadline = this->timeline.Now() + kRecovery;
      this->CheckGroup(deadline, "after the closing fault");
      // Last, as entries go on serving with their leases for a while.
      this->CheckEntries(deadline);
      callers.Stop();
      callers.CheckRuns(this->upstreams.Runs());
      this->timeline.Add(std::to_string(callers.Served()) + " requests were served");
    }
    return {this->timeline.Failures(), this->timeline.Text()};
  }

 private:
  /// Runs the supervision until the condition holds. Returns whether it did before the deadline.
  template <typename Condition>
  bool Await(TimePoint deadline, const Condition& condition) {
    while (!condition()) {
      if (this->timeline.Now() > deadline) {
        return false;
      }
      this->plan.RunCalm(this->timeline.Now() + milliseconds(50));
    }
    return true;
  }

  bool Form() {
    for (Host* host : this->fleet.Hosts()) {
      this->fleet.Start(*host, host->control);
      this->fleet.Start(*host, host->entry);
    }
    const TimePoint deadline = this->timeline.Now() + kRecovery;
    if (!this->operators.Change(deadline, this->random)) {
      this->timeline.Fail("START", "no configuration was acknowledged");
      return false;
    }
    this->fleet.EndFirstStart();
    this->plan.RunCalm(this->timeline.Now() + kCatchUp);
    return true;
  }

  /// A planned stop, with nothing else disturbed: no request that runs may be lost.
  void StopAnEntry() {
    this->plan.RunCalm(this->timeline.Now() + kContact + milliseconds(200));
    const std::vector<Host*> hosts = this->fleet.Hosts();
    Host& host = *hosts.at(this->random.Below(hosts.size()));
    this->fleet.Stop(host, host.entry);
  }

  /// By the deadline each control host must read back the newest acknowledged configuration, and a
  /// change must be possible.
  void CheckGroup(TimePoint deadline, const std::string& when) {
    const std::uint64_t newest = this->acknowledged.NewestAt(this->timeline.Now());
    std::vector<HostAddresses> silent = this->fleet.Addresses();
    const std::size_t hosts = silent.size();
    this->Await(deadline, [&] {
      std::erase_if(silent, [&](const HostAddresses& host) {
        const std::optional<std::uint64_t> revision = this->operators.Read(host);
        if (revision.value_or(newest) < newest) {
          this->timeline.Fail("LOST", Name(host) + " read back revision " +
                                          std::to_string(*revision) + ", " +
                                          std::to_string(newest) + " was acknowledged, " + when);
        }
        return revision.has_value();
      });
      return silent.empty();
    });
    if (silent.size() == hosts) {
      this->timeline.Fail("CONFIG", "no host reads back a configuration " + when);
    } else {
      for (const HostAddresses& host : silent) {
        this->timeline.Fail("JOIN", Name(host) + " is no part of the group " + when);
      }
    }
    if (!this->operators.Change(std::max(deadline, this->timeline.Now() + kAcknowledge),
                                this->random)) {
      this->timeline.Fail("CONFIG", "no change is acknowledged " + when);
    }
  }

  /// Right after an acknowledgement, one disk is lost and all other processes end with it.
  void CloseWithFault() {
    const std::optional<std::size_t> by =
        this->operators.Change(this->timeline.Now() + kRecovery, this->random);
    const std::vector<Host*> disks = this->fleet.DiskHosts();
    Host* lost = disks.at(this->random.Below(disks.size()));
    for (Host* host : disks) {
      if (by == host->number && this->random.Below(2) == 0) {
        lost = host;
      }
    }
    const bool alone = this->random.Below(4) == 0;
    this->timeline.Add("closing fault: host " + std::to_string(lost->number) + " loses its disk, " +
                       (alone ? "alone" : "all processes end"));
    std::vector<Host*> hit = alone ? std::vector<Host*>{lost} : this->fleet.Hosts();
    this->calm.Disturb(this->timeline.Now() + kRecovery);
    for (Host* host : hit) {
      this->fleet.Kill(*host, host->control);
      this->fleet.Kill(*host, host->entry);
    }
    if (!alone) {
      CheckMembership(this->fleet, this->timeline);
    }
    this->fleet.Wipe(*lost);
    for (Host* host : hit) {
      const auto after = milliseconds(this->random.Below(kClosingRestartMs));
      this->fleet.Start(*host, host->control, after);
      this->fleet.Start(*host, host->entry, after);
    }
    this->plan.RunCalm(this->timeline.Now() + milliseconds(kClosingRestartMs));
  }

  void CheckEntries(TimePoint deadline) {
    for (const HostAddresses& host : this->fleet.Addresses()) {
      CallerConnection connection(host.callers);
      int number = 0;
      int status = 0;
      const bool serves = this->Await(deadline, [&] {
        Attempt attempt;
        attempt.id = kProbePrefix + std::to_string(host.number) + "-" + std::to_string(++number);
        attempt.path = "/safe/" + attempt.id;
        status = connection.Ask(attempt, "key-0").status;
        return status == 200;
      });
      if (!serves) {
        this->timeline.Fail("RECOVER", "the entry of " + Name(host) +
                                           " serves nothing; last status " +
                                           std::to_string(status));
      }
    }
  }

  Timeline timeline;
  Random random;
  FleetSize size;
  Acknowledged acknowledged;
  Calm calm{this->timeline.Begin()};
  Upstreams upstreams;
  Fleet fleet;
  FaultPlan plan;
  Operator operators;
  std::uint64_t seed;
};

}  // namespace

SoakReport RunSoak(std::uint64_t seed, const std::string& folder) {
  return SoakRun(seed, folder).Run();
}

}  // namespace masticrill::soak
