#include "soak/soak_run.h"

#include "soak/caller.h"
#include "soak/fault_plan.h"
#include "soak/membership_check.h"
#include "soak/operator.h"
#include "soak/planned_work.h"

namespace masticrill::soak {
namespace {

constexpr std::size_t kUpstreams = 3;
constexpr std::size_t kCallers = 6;
constexpr std::size_t kCallersOfPlannedWork = 30;
/// Every so many seeds of planned work have a large fleet, with so many more hosts.
constexpr std::uint64_t kLargeEvery = 5;
constexpr std::size_t kMoreObservers = 15;
constexpr int kFullDisks = 4;
constexpr int kEvacuationProbes = 10;
constexpr Duration kFaultSpan = seconds(15);
/// All processes are back this long after the closing fault, at most.
constexpr int kClosingRestartMs = 800;

std::string Name(const HostAddresses& host) { return "host " + std::to_string(host.number); }

/// How many hosts a fleet has at its first start.
struct FleetSize {
  FleetSize(RunKind kind, std::uint64_t seed, Random& random)
      : observers(2 + random.Below(2)), disks(3 + random.Below(3)) {
    if (kind == RunKind::kPlannedWork && seed % kLargeEvery == 0) {
      this->observers += kMoreObservers;
    }
  }

  std::size_t observers;
  std::size_t disks;
};

class SoakRun {
 public:
  SoakRun(RunKind kind, std::uint64_t seed, const std::string& folder)
      : kind(kind),
        random(seed),
        size(kind, seed, this->random),
        upstreams(kUpstreams),
        fleet(folder, this->upstreams.ListAddress(), this->size.disks, this->size.observers,
              this->timeline),
        plan(seed, this->fleet, this->upstreams, this->calm, this->timeline),
        work(seed, this->fleet, this->upstreams, this->calm, this->stops, this->timeline),
        operators(this->fleet, this->acknowledged, this->timeline,
                  kind == RunKind::kPlannedWork ? kLongCallTimeout : kCallTimeout),
        seed(seed) {}

  SoakReport Run() {
    if (this->Form()) {
      const bool is_planned = this->kind == RunKind::kPlannedWork;
      Callers callers(this->seed, is_planned ? kCallersOfPlannedWork : kCallers, this->fleet,
                      this->acknowledged, this->calm, this->timeline,
                      is_planned ? &this->stops : nullptr);
      this->operators.Begin(this->seed);
      if (is_planned) {
        this->RunPlannedWork();
      } else {
        this->plan.Run(kFaultSpan);
        this->StopAnEntry();
        this->plan.RunCalm(std::max(this->plan.LostUntil(), this->timeline.Now() + kCatchUp));
        this->operators.Stop();
      }
      this->CheckGroup(this->timeline.Now() + kRecovery, "after the faults");
      this->CloseWithFault();
      const TimePoint deadline = this->timeline.Now() + kRecovery;
      this->CheckGroup(deadline, "after the closing fault");
      // Last, as entries go on serving with their leases for a while.
      this->CheckEntries(deadline);
      if (is_planned) {
        this->CheckEvacuation();
      }
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

  void RunPlannedWork() {
    this->work.RunStops(kFaultSpan);
    this->work.RunFullDisks(kFullDisks);
    this->operators.Stop();
    this->plan.RunCalm(this->timeline.Now() + kContact);
    if (!this->operators.Change(this->timeline.Now() + kAcknowledge, this->random)) {
      this->timeline.Fail("ACKS", "no change is acknowledged though all disks have room again");
    }
    this->plan.RunCalm(this->timeline.Now() + kCatchUp);
  }

  /// No entry may use the upstream that was taken out before the closing fault.
  void CheckEvacuation() {
    this->plan.RunCalm(this->timeline.Now() + kEvacuate);
    const std::string prefix = std::string(kProbePrefix) + "evacuated-";
    for (const HostAddresses& host : this->fleet.Addresses()) {
      CallerConnection connection(host.entry);
      for (int number = 0; number < kEvacuationProbes; ++number) {
        Attempt attempt;
        attempt.id = prefix + std::to_string(host.number) + "-" + std::to_string(number);
        attempt.path = "/safe/" + attempt.id;
        connection.Ask(attempt, "key-0");
      }
    }
    for (const soak::Run& run : this->upstreams.Runs()) {
      if (this->evacuated && run.id.starts_with(prefix) && run.worker == *this->evacuated) {
        this->timeline.Fail("LOST", "the acknowledged evacuation of " + run.worker +
                                        " is gone: " + run.id + " ran there");
      }
    }
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
    if (this->kind == RunKind::kPlannedWork && this->random.Below(2) == 0) {
      this->EvacuateOne();
    }
    const std::optional<std::size_t> by =
        this->operators.Change(this->timeline.Now() + kRecovery, this->random);
    if (this->kind == RunKind::kPlannedWork && !this->evacuated) {
      this->EvacuateOne();
    }
    const std::vector<Host*> disks = this->fleet.DiskHosts();
    Host* lost = disks.at(this->random.Below(disks.size()));
    for (Host* host : disks) {
      if (by == host->number && this->random.Below(2) == 0) {
        lost = host;
      }
    }
    const bool alone = this->random.Below(4) == 0 && this->kind == RunKind::kFaults;
    this->timeline.Add("closing fault: host " + std::to_string(lost->number) + " loses its disk, " +
                       (alone ? "alone" : "all processes end"));
    std::vector<Host*> hit = alone ? std::vector<Host*>{lost} : this->fleet.Hosts();
    this->calm.Disturb(this->timeline.Now() + kRecovery);
    if (this->kind == RunKind::kPlannedWork) {
      this->KillAtOnce(hit);
    }
    for (Host* host : hit) {
      this->fleet.Kill(*host, host->control);
      this->fleet.Kill(*host, host->entry);
    }
    if (!alone) {
      CheckMembership(this->fleet, this->timeline);
    }
    this->fleet.Wipe(*lost);
    const std::uint64_t order = this->kind == RunKind::kPlannedWork ? this->random.Below(5) : 0;
    for (Host* host : hit) {
      auto after = milliseconds(this->random.Below(kClosingRestartMs));
      const bool is_first = (order == 1 && host == lost) || (order == 2 && host != lost) ||
                            (order == 3 && !host->has_disk) || (order == 4 && host->has_disk);
      if (order != 0) {
        after = is_first ? milliseconds(0) : after / 2 + milliseconds(kClosingRestartMs / 2);
      }
      this->fleet.Start(*host, host->control, after);
      this->fleet.Start(*host, host->entry, after);
    }
    this->plan.RunCalm(this->timeline.Now() + milliseconds(kClosingRestartMs));
  }

  /// Ends all before the first is waited for.
  static void KillAtOnce(const std::vector<Host*>& hosts) {
    for (const Host* host : hosts) {
      for (const Role* role : {&host->control, &host->entry}) {
        if (role->program != nullptr) {
          role->program->Signal(SIGKILL);
        }
      }
    }
  }

  void EvacuateOne() {
    const std::size_t upstream = this->random.Below(kUpstreams);
    if (this->operators.Evacuate(this->upstreams.Zone(upstream), this->timeline.Now() + kRecovery,
                                 this->random)) {
      this->evacuated = this->upstreams.Name(upstream);
    } else {
      this->timeline.Fail("ACKS", "no evacuation is acknowledged");
    }
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

  RunKind kind;
  Timeline timeline;
  Random random;
  FleetSize size;
  Acknowledged acknowledged;
  Calm calm{this->timeline.Begin()};
  Upstreams upstreams;
  Fleet fleet;
  FaultPlan plan;
  StopLog stops;
  PlannedWork work;
  Operator operators;
  std::uint64_t seed;
  /// The upstream whose zone was taken out.
  std::optional<std::string> evacuated = std::nullopt;
};

}  // namespace

SoakReport RunSoak(RunKind kind, std::uint64_t seed, const std::string& folder) {
  return SoakRun(kind, seed, folder).Run();
}

}  // namespace masticrill::soak
