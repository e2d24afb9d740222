// A core machine that was replaced as planned still counts as a voter for some seconds after its
// end: one lost disk in that time stops the control group for good.
#include "../fleet_2.h"

namespace review {
namespace {

/// Bounds.CatchUpS, after which the successor of a removed machine stands in for it.
constexpr milliseconds kCatchUp{4000};
/// Bounds.RecoveryS.
constexpr milliseconds kRecovery{12000};

int Run(Record& record) {
  Fleet fleet(record);
  Operator an_operator(record);
  Machine& first = *fleet.core[0];
  Machine& second = *fleet.core[1];
  Machine& replaced = *fleet.core[2];
  fleet.StartAll();
  if (!an_operator.Put(Fleet::IpsOf(fleet.core), 1, seconds(15))) {
    return kCouldNotRun;
  }
  Sleep(seconds(8));
  const std::unique_ptr<Machine> successor = fleet.MakeMachine(24, "zone-c", true);
  const std::vector<std::string> seeds = Fleet::IpsOf(fleet.core);
  successor->Start(seeds, false);
  Sleep(kCatchUp + milliseconds(500));
  record.Line("CatchUpS has passed since the start of the successor");
  const std::vector<std::string> staying = {first.Ip(), second.Ip(), successor->Ip()};
  if (!an_operator.Put(staying, 2, seconds(6))) {
    return kCouldNotRun;
  }
  replaced.Signal(SIGTERM, "SIGTERM");
  if (!replaced.AwaitEnd(seconds(8))) {
    return kCouldNotRun;
  }
  if (WithTrouble()) {
    Sleep(milliseconds(1000));
    second.Kill();
    second.LoseDisk();
    Sleep(milliseconds(500));
    second.Start({first.Ip(), successor->Ip(), fleet.others[2]->Ip()}, false);
  }
  Sleep(kRecovery);
  record.Line("all machines have been back for RecoveryS");
  std::vector<std::string> ips = staying;
  for (const std::string& ip : Fleet::IpsOf(fleet.others)) {
    ips.push_back(ip);
  }
  const std::optional<std::string> read = an_operator.ReadBack(ips, seconds(25));
  for (const Machine* machine : {&first, &second, successor.get()}) {
    record.Line(machine->Name() + (machine->Runs() ? " runs" : " has ended"));
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
