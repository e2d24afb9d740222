#include "masticrill/gateway/route_table.h"

#include <algorithm>
#include <cctype>

namespace masticrill::gateway {
namespace {

/// How much longer than an urgent request a patient one can wait at least: the time in which late
/// answers show and the requests that were held back pass.
constexpr milliseconds kMinPatience{2000};

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

bool DeclaredService::IsUrgent(const Route& route) const {
  return this->urgent && route.rank <= this->urgent->rank &&
         route.latency_target <= this->urgent->latency_target;
}

bool DeclaredService::IsPatient(const Route& route) const {
  return this->urgent && route.rank > this->urgent->rank &&
         route.latency_target >= 2 * this->urgent->latency_target &&
         route.latency_target - this->urgent->latency_target >= kMinPatience;
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

namespace {

std::vector<const Route*> StreamsOf(const RouteTable& table, const ServiceId& service) {
  std::vector<const Route*> streams;
  for (const auto& [id, route] : table.routes) {
    const bool leads_there =
        std::any_of(route.targets.begin(), route.targets.end(),
                    [&](const RouteTarget& target) { return target.service == service; });
    if (leads_there && route.kind == RouteKind::kStream) {
      streams.push_back(&route);
    }
  }
  return streams;
}

/// Sets the most urgent requests of a model engine's service where others are patient.
void SetUrgent(const RouteTable& table, DeclaredService& service) {
  const std::vector<const Route*> streams = StreamsOf(table, service.id);
  if (!service.is_engine || streams.empty()) {
    return;
  }
  const Route& first =
      **std::min_element(streams.begin(), streams.end(), [](const Route* left, const Route* right) {
        return std::pair(left->rank, left->latency_target) <
               std::pair(right->rank, right->latency_target);
      });
  service.urgent = UrgentRequests{first.rank, first.latency_target};
  const bool has_patient = std::any_of(streams.begin(), streams.end(), [&](const Route* route) {
    return service.IsPatient(*route);
  });
  if (!has_patient) {
    service.urgent.reset();
  }
}

}  // namespace

void IndexRoutes(RouteTable& table) {
  for (auto& [id, service] : table.services) {
    service.urgent.reset();
    SetUrgent(table, service);
  }
  table.routes_by_host.clear();
  for (const auto& [id, route] : table.routes) {
    table.routes_by_host[NormalizedHost(route.host)].emplace(route.path_prefix, id);
  }
}

}  // namespace masticrill::gateway
