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
  double highest_cost = 0;
  for (const auto& [other, cost] : this->model_costs) {
    highest_cost = std::max(highest_cost, cost);
  }
  const auto found = this->model_costs.find(model);
  return found == this->model_costs.end() || found->second <= 0 ? 1 : found->second / highest_cost;
}

const Route* RouteTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = this->routes_by_host.find(NormalizedHost(host));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  // Prefixes end with a slash.
  const RoutesByPrefix& prefixes = found->second;
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
    if (const auto route = prefixes.find(path.substr(0, end + 1)); route != prefixes.end()) {
      return &this->routes.at(route->second);
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
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
    table.routes_by_host[NormalizedHost(route.host)].emplace(route.path_prefix, id);
  }
}

}  // namespace masticrill::gateway
