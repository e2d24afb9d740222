// A core machine that has lost its disk takes longer than CatchUpS to vote again, since it asks its
// seeds one after the other and each that stands still holds it for two seconds.
#include "../fleet_2.h"

namespace review {
namespace {

/// Bounds.CatchUpS, after which a machine that is back no longer counts as lost.
constexpr milliseconds kCatchUp{4000};
/// Bounds.RecoveryS.
constexpr milliseconds kRecovery{12000};
/// How much later the next disk is lost.
constexpr milliseconds kMargin{200};
/// How long two machines without a disk stand still.
constexpr milliseconds kFreeze{6000};

int Run(Record& record) {
  Fleet fleet(record);
  Operator an_operator(record);
  Machine& first = *fleet.core[0];
  Machine& second = *fleet.core[1];
  const Machine& third = *fleet.core[2];
  const std::vector<Machine*> frozen = {fleet.others[0].get(), fleet.others[1].get()};
  fleet.StartAll();
  if (!an_operator.Put(Fleet::IpsOf(fleet.core), 1, seconds(15))) {
    return kCouldNotRun;
  }
  Sleep(seconds(8));
  if (WithTrouble()) {
    first.Kill();
    first.LoseDisk();
  }
  if (!an_operator.Put({second.Ip(), third.Ip()}, 2, seconds(6))) {
    return kCouldNotRun;
  }
  const auto back_at = Clock::now();
  if (WithTrouble()) {
    for (Machine* machine : frozen) {
      machine->Signal(SIGSTOP, "stop");
    }
    first.Start({frozen[0]->Ip(), frozen[1]->Ip(), third.Ip()}, false);
    std::this_thread::sleep_until(back_at + kCatchUp + kMargin);
    record.Line("CatchUpS has passed since the first machine is back: it is lost no longer");
    second.Kill();
    second.LoseDisk();
    Sleep(milliseconds(500));
    second.Start({first.Ip(), third.Ip(), fleet.others[2]->Ip()}, false);
    std::this_thread::sleep_until(back_at + kFreeze);
    for (Machine* machine : frozen) {
      machine->Signal(SIGCONT, "continue");
    }
  }
  Sleep(kRecovery);
  record.Line("all machines have been back for RecoveryS");
  std::vector<std::string> ips = Fleet::IpsOf(fleet.core);
  for (const std::string& ip : Fleet::IpsOf(fleet.others)) {
    ips.push_back(ip);
  }
  const std::optional<std::string> read = an_operator.ReadBack(ips, seconds(25));
  for (const auto* machines : {&fleet.core, &fleet.others}) {
    for (const auto& machine : *machines) {
      record.Line(machine->Name() + (machine->Runs() ? " runs" : " has ended"));
    }
  }
  if (!read) {
    record.Line("the acknowledged configuration, version 2, can be read at no control host");
    return kBroken;
  }
  return *read == Configuration(2) ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) { return review::RunCase(arguments[1], review::Run); }
