#ifndef MASTICRILL_NODE_CONTROL_LINK_H_
#define MASTICRILL_NODE_CONTROL_LINK_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "masticrill/net/rpc_client.h"

namespace masticrill::node {

/// A node's connection to its current control host. The hosts are ordered by rendezvous hash of the
/// node's name; after a failure the next one in that order becomes current. Thread-safe.
class ControlLink {
 public:
  ControlLink(const std::vector<std::string>& addresses, const net::Credentials& credentials,
              const net::ChannelLimits& limits);

  /// Calls the current control host. After a failure the next call goes to the next host.
  template <typename Reply, typename Message>
  Result<Reply> Call(const Message& message, Duration timeout) {
    const std::shared_ptr<net::RpcClient> client = this->Current();
    auto reply = client->Call<Reply>(message, timeout);
    if (!reply) {
      this->FailOver(client);
    }
    return reply;
  }

  /// Makes the next control host current, unless `from` is no longer the current one because
  /// another thread has failed over already.
  void FailOver(const std::shared_ptr<net::RpcClient>& from);
  std::shared_ptr<net::RpcClient> Current() const;
  /// Appends the addresses that are not known yet to the order of hosts.
  void Add(const std::vector<std::string>& addresses);
  std::size_t HostCount() const;

 private:
  net::Credentials credentials;
  net::ChannelLimits limits;
  std::vector<std::shared_ptr<net::RpcClient>> clients;
  mutable std::mutex mutex;
  std::size_t current = 0;
};

}  // namespace masticrill::node

#endif  // MASTICRILL_NODE_CONTROL_LINK_H_
