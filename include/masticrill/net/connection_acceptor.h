#ifndef MASTICRILL_NET_CONNECTION_ACCEPTOR_H_
#define MASTICRILL_NET_CONNECTION_ACCEPTOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "masticrill/common/clock.h"
#include "masticrill/common/result.h"

namespace Poco::Net {  // NOLINT(readability-identifier-naming): a library's name.
class StreamSocket;
}  // namespace Poco::Net

namespace masticrill::net {

struct ConnectionAcceptorOptions {
  /// IP:PORT; port 0 lets the system choose.
  std::string address;
  int max_connections = 0;
  /// Accepted connections that may wait for a thread; further ones are left to the system.
  std::size_t max_waiting = 0;
  int thread_stack_bytes = 0;
  /// Called while a connection waits for a thread and none may be started; may end another one.
  std::function<void()> on_full = {};
};

/// Accepts connections and serves each on a thread of its own; further ones wait for a thread. A
/// stop serves all that were accepted, those that wait and those that the listener holds included.
///
/// Thread-safe; owns its threads. `serve` is called by many threads at once; an exception ends its
/// connection.
class ConnectionAcceptor {
 public:
  using Serve = std::function<void(Poco::Net::StreamSocket&)>;

  /// Fails with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<ConnectionAcceptor>> Start(const ConnectionAcceptorOptions& options,
                                                           Serve serve);
  ~ConnectionAcceptor();
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

  std::string Address() const;
  /// The connections that were accepted and have not ended.
  std::size_t Connections() const;
  /// The connections that are being served.
  int Open() const;
  /// The connections that wait for a thread.
  std::size_t Waiting() const;

  /// Takes what waits in the listener and closes it; later callers are refused a connection.
  void StopAccepting();
  /// Waits after StopAccepting until all connections have ended, at most until then. Returns
  /// whether they have.
  bool AwaitEnd(TimePoint until);
  /// Stops accepting and waits until all connections have ended.
  void Stop();

 private:
  struct State;
  explicit ConnectionAcceptor(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_CONNECTION_ACCEPTOR_H_
