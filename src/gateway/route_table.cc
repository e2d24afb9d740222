#include "masticrill/gateway/route_table.h"

#include <algorithm>
#include <cctype>

namespace masticrill::gateway {
namespace {

/// A host name in lower case and without its port.
std::string NormalizedHost(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
  return name;
}

}  // namespace

double DeclaredService::RelativeCost(const ModelId& model) const {
  double dearest = 0;
  for (const auto& [other, cost] : this->model_costs) {
    dearest = std::max(dearest, cost);
  }
  const auto found = this->model_costs.find(model);
  return found == this->model_costs.end() || found->second <= 0 ? 1 : found->second / dearest;
}

const Route* RouteTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = this->routes_by_host.find(NormalizedHost(host));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  for (const RouteId& id : found->second) {
    if (const Route& route = this->routes.at(id); path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const KeyOwner* RouteTable::FindKey(std::string_view key) const {
  const auto found = this->key_owners.find(key);
  return found == this->key_owners.end() ? nullptr : &found->second;
}

const DeclaredService* RouteTable::FindService(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second;
}

void IndexRoutes(RouteTable& table) {
  table.routes_by_host.clear();
  for (const auto& [id, route] : table.routes) {
    table.routes_by_host[NormalizedHost(route.host)].push_back(id);
  }
  for (auto& [host, ids] : table.routes_by_host) {
    std::stable_sort(ids.begin(), ids.end(), [&](const RouteId& left, const RouteId& right) {
      return table.routes.at(left).path_prefix.size() > table.routes.at(right).path_prefix.size();
    });
  }
}

}  // namespace masticrill::gateway
