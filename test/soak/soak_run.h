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

/// Runs a fleet under the faults of the seed, and ends with a closing fault. The folder holds the
/// logs and the data folders.
SoakReport RunSoak(std::uint64_t seed, const std::string& folder);

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_SOAK_RUN_H_
