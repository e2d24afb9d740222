#include "soak/fault_plan.h"

#include <array>
#include <thread>

namespace masticrill::soak {
namespace {

constexpr milliseconds kStep{10};
constexpr std::size_t kSeedCount = 3;
constexpr Duration kGroupRestart = milliseconds(1000);

}  // namespace

void FaultPlan::Run(Duration span) {
  this->now = this->timeline.Now();
  this->ScheduleDraw(this->now + span);
  while (!this->actions.empty()) {
    this->Step();
  }
}

void FaultPlan::ScheduleDraw(TimePoint end) {
  const Duration pause = this->Between(100, 1500);
  if (this->now + pause < end) {
    this->Later(pause, [this, end] {
      this->Draw();
      this->ScheduleDraw(end);
    });
  }
}

void FaultPlan::RunCalm(TimePoint until) {
  while (this->timeline.Now() < until) {
    this->Step();
  }
}

/// The times of the plan count, not those at which a busy machine gets to it: so a seed always has
/// the same faults.
void FaultPlan::Step() {
  while (!this->actions.empty() && this->actions.begin()->first <= this->timeline.Now()) {
    this->now = this->actions.begin()->first;
    const Action action = std::move(this->actions.begin()->second);
    this->actions.erase(this->actions.begin());
    this->calm.Disturb(this->timeline.Now());
    action();
    this->calm.Disturb(this->timeline.Now());
  }
  this->fleet.Supervise();
  std::this_thread::sleep_for(kStep);
}

void FaultPlan::Later(Duration after, Action action) {
  this->calm.Disturb(this->now + after);
  this->actions.emplace(this->now + after, std::move(action));
}

void FaultPlan::StartLater(Host& host, Role& role, Duration after) {
  this->Later(after, [this, &host, &role] { this->fleet.Start(host, role); });
}

Duration FaultPlan::Between(int least_ms, int most_ms) {
  return milliseconds(least_ms + static_cast<int>(this->random.Below(
                                     static_cast<std::uint64_t>(most_ms - least_ms))));
}

Host* FaultPlan::Pick(std::vector<Host*> hosts) {
  std::erase_if(hosts, [this](const Host* host) { return this->IsAway(*host); });
  return hosts.empty() ? nullptr : hosts.at(this->random.Below(hosts.size()));
}

void FaultPlan::Lose(const Host& host, Duration span) {
  this->Disturb(host, span);
  if (host.has_disk) {
    this->lost_until = std::max(this->lost_until, this->now + span + kCatchUp);
  }
}

void FaultPlan::Disturb(const Host& host, Duration span) {
  this->away.insert(host.number);
  this->Later(span, [this, number = host.number] { this->away.erase(this->away.find(number)); });
}

void FaultPlan::Draw() {
  constexpr int kKinds = 12;
  const auto kind = this->random.Below(kKinds);
  if (kind < 8 && this->now >= this->lost_until) {
    this->DrawDiskFault();
  } else if (kind == 0) {
    this->DrawSeeds();
  } else if (kind == 1 && this->random.Below(2) == 0) {
    this->DrawGroupFault();
  } else if (kind < 6) {
    if (Host* host = this->Pick(this->fleet.Hosts()); host != nullptr) {
      const bool may_take_control = !host->has_disk && this->random.Below(2) == 0;
      this->DrawProcessFault(*host, may_take_control ? host->control : host->entry);
    }
  } else {
    this->DrawLinkFault();
  }
}

void FaultPlan::DrawDiskFault() {
  Host* host = this->Pick(this->fleet.DiskHosts());
  if (host == nullptr) {
    return;
  }
  switch (this->random.Below(6)) {
    case 0:
      this->DrawProcessFault(*host, host->control);
      break;
    case 1:
    case 2: {
      const Duration span = this->Between(200, 1500);
      this->fleet.Kill(*host, host->control);
      this->fleet.Wipe(*host);
      this->StartLater(*host, host->control, span);
      this->Lose(*host, span);
      break;
    }
    case 3:
      this->BlockDisk(*host);
      break;
    default:
      this->Replace(*host);
  }
}

/// A planned stop ends by itself within the grace; until then nobody can tell when.
void FaultPlan::DrawProcessFault(Host& host, Role& role) {
  Duration span = this->Between(200, 4000);
  switch (this->random.Below(3)) {
    case 0:
      this->fleet.Kill(host, role);
      this->StartLater(host, role, span);
      break;
    case 1:
      this->fleet.Freeze(host, role);
      this->Later(span, [this, &host, &role] { this->fleet.Thaw(host, role); });
      break;
    default:
      this->fleet.Stop(host, role);
      span = kStopGrace;
  }
  if (&role == &host.control) {
    this->Lose(host, span);
  } else {
    this->Disturb(host, span);
  }
}

/// The host is gone for good; another one with an empty disk takes its place.
void FaultPlan::Replace(Host& host) {
  const Duration span = this->Between(100, 2000);
  this->fleet.Remove(host);
  Host& successor = this->fleet.AddHost(host.has_disk);
  this->StartLater(successor, successor.control, span);
  this->StartLater(successor, successor.entry, span);
  this->Lose(successor, span);
  this->DrawSeeds();
}

/// Only a new term or a snapshot is written through a temporary file, so the other hosts are frozen
/// until an election begins.
void FaultPlan::BlockDisk(Host& host) {
  const Duration span = this->Between(2000, 4000);
  this->fleet.BlockDisk(host, true);
  this->Lose(host, span);
  for (Host* other : this->fleet.DiskHosts()) {
    if (other != &host && !this->IsAway(*other)) {
      this->fleet.Freeze(*other, other->control);
      this->Later(milliseconds(800), [this, other] { this->fleet.Thaw(*other, other->control); });
    }
  }
  this->Later(span, [this, &host] { this->fleet.BlockDisk(host, false); });
}

/// All processes of the group end at once and are back within a second, with their disks. A host
/// that had not caught up yet stays lost until the whole group has recovered.
void FaultPlan::DrawGroupFault() {
  this->timeline.Add("all control hosts end");
  const bool with_entries = this->random.Below(2) == 0;
  for (Host* host : this->fleet.Hosts()) {
    if (!host->control.wanted || !host->entry.wanted) {
      continue;
    }
    this->fleet.Kill(*host, host->control);
    this->StartLater(*host, host->control, this->Between(100, 900));
    if (with_entries) {
      this->fleet.Kill(*host, host->entry);
      this->StartLater(*host, host->entry, this->Between(100, 900));
    }
  }
  const TimePoint back = this->now + kGroupRestart;
  this->calm.Disturb(back);
  if (this->now < this->lost_until) {
    this->lost_until = std::max(this->lost_until, back) + kRecovery;
  }
}

/// Any control hosts that run, or only observers.
void FaultPlan::DrawSeeds() {
  std::vector<Host*> candidates = this->fleet.Hosts();
  const bool observers_only = this->random.Below(2) == 0;
  std::erase_if(candidates, [&](const Host* host) {
    return this->IsAway(*host) || (observers_only && host->has_disk);
  });
  while (candidates.size() > kSeedCount) {
    candidates.erase(candidates.begin() +
                     static_cast<std::ptrdiff_t>(this->random.Below(candidates.size())));
  }
  if (!candidates.empty()) {
    this->fleet.SetSeeds(candidates, this->random.Below(2) == 0);
  }
}

void FaultPlan::DrawLinkFault() {
  constexpr std::array kFaults = {LinkFault::kDelay,   LinkFault::kReset,   LinkFault::kCutForward,
                                  LinkFault::kCutBack, LinkFault::kSilence, LinkFault::kSilenceOld};
  const LinkFault fault = kFaults.at(this->random.Below(kFaults.size()));
  const Duration span = this->Between(200, 3000);
  const auto disturb = [&](FaultProxy& proxy, const std::string& where) {
    proxy.Set(fault);
    this->timeline.Add("link fault \"" + ToString(fault) + "\" " + where);
    this->Later(span, [this, &proxy, where] {
      proxy.Set(LinkFault::kNone);
      this->timeline.Add("no link fault " + where);
    });
  };
  const std::vector<Host*> hosts = this->fleet.Hosts();
  Host& host = *hosts.at(this->random.Below(hosts.size()));
  const std::size_t upstream = this->random.Below(this->upstreams.Count());
  const std::string name = "host " + std::to_string(host.number);
  switch (this->random.Below(4)) {
    case 0:
      disturb(*host.caller_proxy, "from callers to " + name);
      break;
    case 1:
      disturb(*host.operator_proxy, "from operators to " + name);
      break;
    case 2:
      disturb(this->upstreams.Proxy(upstream), "to upstream " + std::to_string(upstream));
      break;
    default:
      this->timeline.Add("upstream " + std::to_string(upstream) + " answers badly");
      this->upstreams.SetBad(upstream, true);
      this->Later(span, [this, upstream] { this->upstreams.SetBad(upstream, false); });
  }
}

}  // namespace masticrill::soak
