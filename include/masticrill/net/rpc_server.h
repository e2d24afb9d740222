#ifndef MASTICRILL_NET_RPC_SERVER_H_
#define MASTICRILL_NET_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "masticrill/net/channel.h"

namespace masticrill::net {

struct RpcServerOptions {
  /// IP:PORT; port 0 lets the system choose.
  std::string address;
  int max_connections = 1024;
  ChannelLimits limits = {};
};

/// Accepts authenticated connections and hands each frame to the handlers, on one thread for each
/// connection.
class RpcServer {
 public:
  using FrameHandler = std::function<void(const std::shared_ptr<Channel>&, Frame)>;
  using ClosedHandler = std::function<void(const std::shared_ptr<Channel>&)>;

  /// Fails with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<RpcServer>> Start(const RpcServerOptions& options,
                                                  const Credentials& credentials,
                                                  FrameHandler on_frame, ClosedHandler on_closed);
  /// Stops the server.
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// The bound IP:PORT.
  std::string Address() const;

  /// Stops accepting; open connections go on.
  void StopAccepting();
  /// Closes all connections and waits for their threads.
  void Stop();

 private:
  struct State;
  explicit RpcServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_RPC_SERVER_H_
