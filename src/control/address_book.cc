#include "control/address_book.h"

#include <Poco/Net/IPAddress.h>

#include <utility>

namespace masticrill::control {

AddressBook::AddressBook(const std::vector<PeerAddress>& peers, net::Credentials credentials)
    : credentials(std::move(credentials)) {
  for (const PeerAddress& peer : peers) {
    this->Set(peer.node, peer.address);
  }
}

void AddressBook::Set(const NodeId& node, const std::string& address) {
  if (address.empty() || node == this->credentials.self.node) {
    return;
  }
  const std::scoped_lock lock(this->mutex);
  if (std::string& known = this->addresses[node]; known != address) {
    known = address;
    this->clients.erase(node);
  }
}

std::optional<std::string> AddressBook::Find(const NodeId& node) const {
  const std::scoped_lock lock(this->mutex);
  return this->FindLocked(node);
}

std::optional<std::string> AddressBook::FindLocked(const NodeId& node) const {
  if (const auto found = this->addresses.find(node); found != this->addresses.end()) {
    return found->second;
  }
  if (node == this->credentials.self.node) {
    return std::nullopt;
  }
  // Nodes may be named by their addresses, which are then known even after a restart of all nodes.
  const std::size_t colon = node.Value().rfind(':');
  Poco::Net::IPAddress host;
  const bool is_address = colon != std::string::npos &&
                          Poco::Net::IPAddress::tryParse(node.Value().substr(0, colon), host);
  return is_address ? std::optional(node.Value()) : std::nullopt;
}

std::vector<PeerAddress> AddressBook::All() const {
  const std::scoped_lock lock(this->mutex);
  std::vector<PeerAddress> all;
  for (const auto& [node, address] : this->addresses) {
    all.push_back({node, address});
  }
  return all;
}

std::shared_ptr<net::RpcClient> AddressBook::Client(const NodeId& node) {
  const std::scoped_lock lock(this->mutex);
  const std::optional<std::string> address = this->FindLocked(node);
  if (!address) {
    return nullptr;
  }
  std::shared_ptr<net::RpcClient>& client = this->clients[node];
  if (client == nullptr) {
    client = std::make_shared<net::RpcClient>(*address, this->credentials, net::ChannelLimits{});
  }
  return client;
}

void AddressBook::CloseClients() {
  const std::scoped_lock lock(this->mutex);
  for (const auto& [node, client] : this->clients) {
    client->Close();
  }
}

}  // namespace masticrill::control
