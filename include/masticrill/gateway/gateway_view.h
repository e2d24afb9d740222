#ifndef MASTICRILL_GATEWAY_GATEWAY_VIEW_H_
#define MASTICRILL_GATEWAY_GATEWAY_VIEW_H_

#include <memory>

#include "masticrill/config/configuration.h"
#include "masticrill/gateway/route_table.h"

namespace masticrill::gateway {

/// The configuration in force at a gateway. Immutable; a request uses the same one to its end.
struct GatewayView {
  config::ConfigurationPtr configuration;
  RouteTablePtr table;
};

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_VIEW_H_
