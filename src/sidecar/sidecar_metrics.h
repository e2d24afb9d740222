#ifndef MASTICRILL_SIDECAR_SIDECAR_METRICS_H_
#define MASTICRILL_SIDECAR_SIDECAR_METRICS_H_

#include <atomic>
#include <string>

#include "masticrill/common/metrics.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {

/// The counters of one sidecar process.
struct SidecarMetrics {
  EnumCounter<EngineOutcome, kAllEngineOutcomes.size()> outcomes{kAllEngineOutcomes};
  std::atomic<std::uint64_t> billed_for_lost_entries = 0;

  /// The text of /metrics.
  std::string Write(Admission& admission, TimePoint now, bool lease_valid) const;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_SIDECAR_METRICS_H_
