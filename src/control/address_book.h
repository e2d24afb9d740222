#ifndef MASTICRILL_CONTROL_ADDRESS_BOOK_H_
#define MASTICRILL_CONTROL_ADDRESS_BOOK_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/control/control_options.h"
#include "masticrill/net/rpc_client.h"

namespace masticrill::control {

/// Where the other replicas are, and a connection to each for calls. Safe for several threads.
class AddressBook {
 public:
  AddressBook(const std::vector<PeerAddress>& peers, net::Credentials credentials);

  /// Learns or changes an address.
  void Set(const NodeId& node, const std::string& address);
  std::optional<std::string> Find(const NodeId& node) const;
  /// Without this host itself.
  std::vector<PeerAddress> All() const;

  /// A connection for calls to the replica; null when its address is not known.
  std::shared_ptr<net::RpcClient> Client(const NodeId& node);
  const net::Credentials& Credentials() const { return this->credentials; }
  /// Breaks the connections, so that calls in progress end.
  void CloseClients();

 private:
  std::optional<std::string> FindLocked(const NodeId& node) const;

  net::Credentials credentials;
  mutable std::mutex mutex;
  std::map<NodeId, std::string> addresses;
  std::map<NodeId, std::shared_ptr<net::RpcClient>> clients;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_ADDRESS_BOOK_H_
