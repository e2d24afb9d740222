#include "soak/planned_work.h"

#include <thread>

namespace masticrill::soak {
namespace {

constexpr milliseconds kStep{10};
constexpr milliseconds kKillSlack{300};
constexpr milliseconds kFreeze{800};

bool Runs(const Role& role) { return role.program != nullptr && !role.stopping; }

}  // namespace

void PlannedWork::RunStops(Duration span) {
  // What the programs do and how busy the machine is must not change what a seed draws.
  TimePoint due = this->timeline.Now();
  for (const TimePoint end = due + span; due < end; due += this->Between(50, 900)) {
    this->RunUntil(due);
    this->Draw();
  }
  this->stop_when_young.clear();
  while (!this->actions.empty()) {
    this->Step();
  }
}

void PlannedWork::RunFullDisks(int count) {
  const std::vector<Host*> hosts = this->fleet.DiskHosts();
  std::size_t turn = this->random.Below(hosts.size());
  for (int round = 0; round < count; ++round) {
    this->FillDisk(*hosts.at(turn++ % hosts.size()));
    while (!this->actions.empty()) {
      this->Step();
    }
    this->RunUntil(this->timeline.Now() + this->Between(200, 1000));
  }
}

void PlannedWork::RunUntil(TimePoint end) {
  while (this->timeline.Now() < end) {
    this->Step();
  }
}

void PlannedWork::Step() {
  while (!this->actions.empty() && this->actions.begin()->first <= this->timeline.Now()) {
    const Action action = std::move(this->actions.begin()->second);
    this->actions.erase(this->actions.begin());
    action();
  }
  this->fleet.Supervise();
  for (Host* host : this->fleet.Hosts()) {
    const auto young = this->stop_when_young.find(host->number);
    if (young != this->stop_when_young.end() && Runs(host->entry) &&
        this->timeline.Now() >= host->entry.started_at + young->second) {
      this->stop_when_young.erase(young);
      this->stops.AddEntry(host->number, this->timeline.Now());
      this->Stop(*host, host->entry);
    }
  }
  std::this_thread::sleep_for(kStep);
}

void PlannedWork::Later(Duration after, Action action) {
  this->actions.emplace(this->timeline.Now() + after, std::move(action));
}

Duration PlannedWork::Between(int least_ms, int most_ms) {
  return milliseconds(least_ms + static_cast<int>(this->random.Below(
                                     static_cast<std::uint64_t>(most_ms - least_ms))));
}

Host& PlannedWork::PickHost() {
  const std::vector<Host*> hosts = this->fleet.Hosts();
  return *hosts.at(this->random.Below(hosts.size()));
}

void PlannedWork::Draw() {
  Host& host = this->PickHost();
  switch (this->random.Below(10)) {
    case 0:
    case 1:
    case 2:
      this->StopEntry(host);
      break;
    case 3:
      this->StopEntry(host);
      this->StopEntry(this->PickHost());
      this->StopEntry(this->PickHost());
      break;
    case 4:
      this->DrawControlStop();
      break;
    case 5:
      this->fleet.SetSeeds(this->fleet.DiskHosts(), true);
      break;
    case 6:
      // A stop is asked for once more.
      if (host.entry.stopping) {
        this->fleet.Stop(host, host.entry);
      }
      break;
    default:
      this->fleet.Reload(host, this->random.Below(3) == 0 ? host.control : host.entry);
  }
}

/// Any host without a disk, or one with a disk if the last such stop is over.
void PlannedWork::DrawControlStop() {
  Host& host = this->PickHost();
  if (host.has_disk && this->timeline.Now() < this->next_disk_stop) {
    return;
  }
  if (host.has_disk) {
    this->next_disk_stop = this->timeline.Now() + kStopGrace + kCatchUp;
  }
  this->stops.AddControl(this->timeline.Now());
  this->Stop(host, host.control);
}

void PlannedWork::StopEntry(Host& host) {
  const bool stops_again = this->random.Below(2) == 0;
  const Duration age = this->Between(0, 1500);
  if (!Runs(host.entry)) {
    return;
  }
  if (stops_again) {
    this->stop_when_young[host.number] = age;
  }
  this->stops.AddEntry(host.number, this->timeline.Now());
  this->Stop(host, host.entry);
}

void PlannedWork::Stop(Host& host, Role& role) {
  if (!Runs(role)) {
    return;
  }
  this->fleet.Stop(host, role);
  this->Later(kStopGrace + kKillSlack, [this, &host, &role, start = role.started_at] {
    if (role.program != nullptr && role.started_at == start) {
      this->timeline.Add(role.name + " on host " + std::to_string(host.number) +
                         " outlasts its grace and is killed");
      role.program->Signal(SIGKILL);
    }
  });
}

/// A vote is written in a new term, so the other hosts are frozen until an election begins, or the
/// program is started anew.
void PlannedWork::FillDisk(Host& host) {
  const DiskPart part = this->random.Below(3) == 0 ? DiskPart::kReplica : DiskPart::kAll;
  const Duration span = this->Between(1000, 2500);
  const std::size_t upstream = this->random.Below(this->upstreams.Count());
  this->calm.Disturb(this->timeline.Now() + span + kStopGrace);
  this->fleet.BlockDisk(host, true, part);
  this->upstreams.Proxy(upstream).Set(LinkFault::kCutAnswers);
  this->timeline.Add("upstream " + std::to_string(upstream) + " cuts answers");
  std::vector<Host*> others = this->fleet.DiskHosts();
  std::erase(others, &host);
  if (this->random.Below(4) == 0) {
    this->fleet.Stop(host, host.control);
  } else {
    for (Host* other : others) {
      this->fleet.Freeze(*other, other->control);
      this->Later(kFreeze, [this, other] { this->fleet.Thaw(*other, other->control); });
    }
  }
  this->Later(span, [this, &host, upstream] {
    this->fleet.BlockDisk(host, false, DiskPart::kAll);
    this->upstreams.Proxy(upstream).Set(LinkFault::kNone);
    this->timeline.Add("upstream " + std::to_string(upstream) + " answers whole again");
  });
}

}  // namespace masticrill::soak
