#ifndef MASTICRILL_SIDECAR_LOAD_REPORTER_H_
#define MASTICRILL_SIDECAR_LOAD_REPORTER_H_

#include <optional>

#include "masticrill/common/clock.h"
#include "masticrill/net/messages.h"

namespace masticrill::sidecar {

struct LoadReportOptions {
  /// Minimum time between reports of a changed load.
  Duration min_interval = seconds(1);
  /// Time after which an unchanged load is reported again.
  Duration repeat_interval = seconds(4);
  /// Minimum change of load or limit that is reported, as a share of the limit.
  double min_change_share = 0.25;

  friend bool operator==(const LoadReportOptions&, const LoadReportOptions&) = default;
};

/// Decides when the load is reported to the subscribed entries, so that reports stay within the
/// bytes allowed for control traffic. A change of the cold state, of stopping (limit 0) or of
/// the incarnation is reported at once. Not thread-safe.
class LoadReporter {
 public:
  explicit LoadReporter(const LoadReportOptions& options = {}) : options(options) {}

  /// Whether to send this load now. If true, the load counts as sent.
  bool Due(const net::LoadReport& load, TimePoint now);

 private:
  bool NeedsImmediateReport(const net::LoadReport& load) const;
  bool ExceedsChangeThreshold(const net::LoadReport& load) const;

  LoadReportOptions options;
  std::optional<net::LoadReport> last;
  TimePoint last_sent;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_LOAD_REPORTER_H_
