#ifndef MASTICRILL_CONTROL_MEMBER_UPKEEP_H_
#define MASTICRILL_CONTROL_MEMBER_UPKEEP_H_

#include "control/member_service.h"
#include "control/periodic_thread.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Lets the leader restore the tolerance of its group, one change at a time. Owns a thread, on
/// which nothing waits for hosts that do not answer.
class MemberUpkeep {
 public:
  /// The service must outlive the upkeep.
  MemberUpkeep(const ControlOptions& options, MemberService& members)
      : thread(
            [&members, interval = options.timings.member_upkeep_interval,
             upkeep = options.auto_join ? MembershipUpkeep::kReplace : MembershipUpkeep::kPromote] {
              members.Maintain(upkeep);
              return interval;
            }) {}

  void Stop() { this->thread.Stop(); }

 private:
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_MEMBER_UPKEEP_H_
