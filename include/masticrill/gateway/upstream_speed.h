#ifndef MASTICRILL_GATEWAY_UPSTREAM_SPEED_H_
#define MASTICRILL_GATEWAY_UPSTREAM_SPEED_H_

#include "masticrill/common/clock.h"

namespace masticrill::gateway {

/// How long work takes at one upstream, as a multiple of the usual time of its service, learned
/// from what the upstream says: a lasting factor of its machine, and a passing one of others that
/// share it. Not thread-safe.
///
/// Load that it answers: fast and slow machines side by side, each slowed by others for moments.
class UpstreamSpeed {
 public:
  /// Records a slowdown that an answer states. What is absurd is cut to what is believed.
  void OnReport(double slowdown, TimePoint now);

  /// The expected factor now: what the upstream has just said, else its lasting factor. 1 for an
  /// upstream that has said nothing.
  double Slowdown(TimePoint now) const;
  /// The lasting factor.
  double Usual() const { return this->usual; }

 private:
  double usual = 1;
  double latest = 1;
  bool known = false;
  TimePoint reported_at;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_SPEED_H_
