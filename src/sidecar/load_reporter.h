#ifndef MASTICRILL_SIDECAR_LOAD_REPORTER_H_
#define MASTICRILL_SIDECAR_LOAD_REPORTER_H_

#include <optional>

#include "masticrill/common/clock.h"
#include "masticrill/net/messages.h"

namespace masticrill::sidecar {

struct LoadReportOptions {
  /// A changed load is reported at most this often.
  Duration min_interval = seconds(1);
  /// A load that stays as it is, is repeated after this time.
  Duration repeat_interval = seconds(4);
  /// The change of load or limit, as a share of the limit, that is worth a report.
  double min_change_share = 0.25;

  friend bool operator==(const LoadReportOptions&, const LoadReportOptions&) = default;
};

/// Decides when the entries that subscribed are told of the load, so that reports stay within the
/// bytes that control traffic may take. A change that matters at once, cold or stopping, is told at
/// once. Not thread-safe.
class LoadReporter {
 public:
  explicit LoadReporter(const LoadReportOptions& options = {}) : options(options) {}

  /// Whether to send this load now. It then counts as sent.
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
