#ifndef MASTICRILL_GATEWAY_GATEWAY_VIEW_H_
#define MASTICRILL_GATEWAY_GATEWAY_VIEW_H_

#include <memory>

#include "masticrill/common/clock.h"
#include "masticrill/config/configuration.h"
#include "masticrill/gateway/route_table.h"

namespace masticrill::gateway {

/// The configuration in force at a gateway and the lease that covers it. Immutable. A request is
/// admitted under one, and handed over under the newest one.
struct GatewayView {
  config::ConfigurationPtr configuration;
  RouteTablePtr table;
  /// The end of the lease.
  TimePoint valid_until;

  bool HasLease(TimePoint now) const { return now < this->valid_until; }
};

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_VIEW_H_
