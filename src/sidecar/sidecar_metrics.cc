#include "sidecar/sidecar_metrics.h"

namespace masticrill::sidecar {

std::string SidecarMetrics::Write(Admission& admission, TimePoint now, bool lease_valid) const {
  const LoadReport load = admission.Load(now);
  MetricsWriter writer;
  writer.EnumCounters("masticrill_sidecar_refusals_total",
                      "Attempts that were refused before they started, by reason.", "reason",
                      admission.Refusals());
  writer.EnumCounters("masticrill_sidecar_outcomes_total",
                      "Attempts that were sent to the upstream and ended, by outcome.", "outcome",
                      this->outcomes);
  writer.Counter("masticrill_sidecar_billed_for_lost_entries_total",
                 "Answered attempts billed by the sidecar for lost entries.",
                 this->billed_for_lost_entries);
  writer.Gauge("masticrill_sidecar_in_flight", "Attempts in flight at the upstream.",
               load.in_flight);
  writer.Header("masticrill_sidecar_queued", "Queued attempts by class.", "gauge");
  for (const RequestClass request_class : kAllRequestClasses) {
    writer.Labelled("masticrill_sidecar_queued", "class", ToString(request_class),
                    load.queued.at(static_cast<std::size_t>(request_class)));
  }
  writer.Gauge("masticrill_sidecar_limit", "Current limit of attempts in flight.", load.limit);
  writer.Gauge("masticrill_sidecar_cold", "1 while the upstream is in its cold-start ramp.",
               load.cold ? 1 : 0);
  writer.Gauge("masticrill_sidecar_configuration_number", "Number of the configuration in force.",
               static_cast<double>(load.config_number));
  writer.Gauge("masticrill_sidecar_lease_valid",
               "1 while the lease is valid and new attempts may start.", lease_valid ? 1 : 0);
  writer.Gauge("masticrill_sidecar_receipts_held", "Receipts that have not been acknowledged.",
               static_cast<double>(admission.HeldReceipts()));
  return writer.Text();
}

}  // namespace masticrill::sidecar
