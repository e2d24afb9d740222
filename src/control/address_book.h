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

/// Addresses of the other replicas, with an RPC client for each. Thread-safe.
class AddressBook {
 public:
  AddressBook(const std::vector<PeerAddress>& peers, net::Credentials credentials);

  /// Adds or changes an address; ignores an empty address and this host itself.
  void Set(const NodeId& node, const std::string& address);
  std::optional<std::string> Find(const NodeId& node) const;
  /// All known addresses, without that of this host.
  std::vector<PeerAddress> All() const;

  /// The RPC client for the replica; null when its address is not known.
  std::shared_ptr<net::RpcClient> Client(const NodeId& node);
  const net::Credentials& Credentials() const { return this->credentials; }
  /// Closes the connections, so that calls in progress fail.
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
