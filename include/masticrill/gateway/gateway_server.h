#ifndef MASTICRILL_GATEWAY_GATEWAY_SERVER_H_
#define MASTICRILL_GATEWAY_GATEWAY_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/gateway_settings.h"
#include "masticrill/gateway/upstream_list.h"

namespace masticrill::gateway {

/// An entry that relays HTTP requests of declared routes straight to upstreams, without sidecars.
/// Its methods may be called by any thread.
class GatewayServer {
 public:
  /// Fails with kUnavailable when an address cannot be bound.
  static Result<std::unique_ptr<GatewayServer>> Start(const GatewayOptions& options,
                                                      EdgeProtocol protocol,
                                                      UpstreamListReader read_list);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  std::string CallerAddress() const;
  std::string StatusAddress() const;
  /// Whether this node can serve now.
  bool IsReady() const;

  /// Adds control hosts that became known later.
  void AddControlHosts(const std::vector<std::string>& addresses);

  /// Shuts down in order: reports not ready at once, accepts new connections until the load
  /// balancer has noticed (`GatewayOptions::stop_accepting_after`), then waits for requests in
  /// progress, at most until `GatewayOptions::stop_within`.
  void Stop();

 private:
  struct State;
  explicit GatewayServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_SERVER_H_
