#ifndef MASTICRILL_SOAK_SOAK_RUN_H_
#define MASTICRILL_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace masticrill::soak {

/// What a run of one seed found.
struct SoakReport {
  std::vector<std::string> failures;
  std::string timeline;
};

/// What happens before the closing fault. The seeds of each kind are its own.
enum class RunKind {
  kFaults,       // Faults of all kinds, drawn by FaultPlan.
  kPlannedWork,  // Stops and reloads, then full disks, drawn by PlannedWork.
};

/// Runs a fleet under what the seed draws, and ends with a closing fault. The folder holds the logs
/// and the data folders.
SoakReport RunSoak(RunKind kind, std::uint64_t seed, const std::string& folder);

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_SOAK_RUN_H_
