#ifndef MASTICRILL_SOAK_MEMBERSHIP_CHECK_H_
#define MASTICRILL_SOAK_MEMBERSHIP_CHECK_H_

#include "soak/fleet.h"

namespace masticrill::soak {

/// Reads the newest membership from the data folders of a fleet that does not run. Each host with a
/// disk that has run for kCatchUp must be a voter, and no voter may be gone.
void CheckMembership(Fleet& fleet, Timeline& timeline);

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_MEMBERSHIP_CHECK_H_
