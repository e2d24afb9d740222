#include "masticrill/node/control_link.h"

#include <algorithm>

#include "masticrill/common/hash.h"
#include "masticrill/common/log.h"

namespace masticrill::node {
namespace {

constexpr Logger kLog(LogPart::kNet);

std::vector<std::string> SortByRendezvousHash(const NodeId& node,
                                              std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end(), [&](const auto& left, const auto& right) {
    return Hash64(node.Value() + "|" + left) < Hash64(node.Value() + "|" + right);
  });
  return addresses;
}

}  // namespace

ControlLink::ControlLink(const std::vector<std::string>& addresses,
                         const net::Credentials& credentials, const net::ChannelLimits& limits)
    : credentials(credentials), limits(limits) {
  for (const std::string& address : SortByRendezvousHash(credentials.self.node, addresses)) {
    this->clients.push_back(std::make_shared<net::RpcClient>(address, credentials, limits));
  }
}

void ControlLink::Add(const std::vector<std::string>& addresses) {
  const std::lock_guard lock(this->mutex);
  for (const std::string& address : SortByRendezvousHash(this->credentials.self.node, addresses)) {
    const bool known =
        std::any_of(this->clients.begin(), this->clients.end(),
                    [&](const auto& client) { return client->Address() == address; });
    if (!known) {
      kLog.Info("Added a control host from a lease reply.", {{"address", address}});
      this->clients.push_back(
          std::make_shared<net::RpcClient>(address, this->credentials, this->limits));
    }
  }
}

std::size_t ControlLink::HostCount() const {
  const std::lock_guard lock(this->mutex);
  return this->clients.size();
}

std::shared_ptr<net::RpcClient> ControlLink::Current() const {
  const std::lock_guard lock(this->mutex);
  return this->clients.at(this->current);
}

void ControlLink::FailOver(const std::shared_ptr<net::RpcClient>& from) {
  const std::lock_guard lock(this->mutex);
  if (this->clients.at(this->current) != from || this->clients.size() < 2) {
    return;
  }
  this->current = (this->current + 1) % this->clients.size();
  kLog.Debug("Failed over to the next control host.",
             {{"from", from->Address()}, {"to", this->clients.at(this->current)->Address()}});
}

}  // namespace masticrill::node
