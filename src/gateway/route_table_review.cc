#include "masticrill/gateway/route_table_review.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace masticrill::gateway {
namespace {

/// Ranks beyond it are passed to upstreams as this one.
constexpr std::uint32_t kLastRank = 9;

std::string Ms(milliseconds duration) { return std::to_string(duration.count()) + " ms"; }

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string KindText(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kAtMostOnce:
      return "at most once";
    case RouteKind::kStream:
      return "stream";
  }
  return "at most once";
}

/// Collects findings on one entry.
class Reviewer {
 public:
  Reviewer(std::vector<Finding>& findings, std::string place)
      : findings(findings), place(std::move(place)) {}

  void Check(bool is_wrong, const std::string& message) {
    if (is_wrong) {
      this->findings.push_back({this->place, message});
    }
  }

 private:
  std::vector<Finding>& findings;
  std::string place;
};

void ReviewRoute(const RouteTable& table, const Route& route, std::vector<Finding>& findings) {
  Reviewer reviewer(findings, "route " + route.id.Value());
  const bool is_stream = route.kind == RouteKind::kStream;
  reviewer.Check(route.latency_target > route.timeout,
                 "The latency target (" + Ms(route.latency_target) + ") is over the timeout (" +
                     Ms(route.timeout) + "): no answer can be late and still arrive.");
  reviewer.Check(route.gap_target > route.timeout,
                 "The target for pauses (" + Ms(route.gap_target) + ") is over the timeout.");
  reviewer.Check(route.gap_target.count() > 0 && !is_stream,
                 "It has a target for pauses, but its answers are no streams.");
  reviewer.Check(route.resumable && !is_stream, "It is resumable, but its answers are no streams.");
  reviewer.Check(route.max_attempts > 1 && !route.Repeatable(),
                 "It allows several attempts, but its requests run at most once.");
  reviewer.Check(route.rank > kLastRank, "Its rank counts as 9 at upstreams.");
  std::map<ServiceId, int> times;
  for (const RouteTarget& target : route.targets) {
    const std::string service = target.service.Value();
    reviewer.Check(target.weight == 0,
                   "Service " + service + " has the weight 0: it never matches.");
    reviewer.Check(++times[target.service] == 2, "Service " + service + " stands twice.");
    const DeclaredService* declared = table.FindService(target.service);
    if (declared == nullptr || route.models.empty()) {
      continue;
    }
    reviewer.Check(!declared->is_engine,
                   "It names models, but service " + service + " has no model engines.");
    for (const ModelId& model : route.models) {
      reviewer.Check(declared->is_engine && !declared->model_costs.contains(model),
                     "Service " + service + " states no cost of the model " + model.Value() +
                         ": it counts as the dearest.");
    }
  }
}

void ReviewServices(const RouteTable& table, std::vector<Finding>& findings) {
  std::set<ServiceId> reached;
  for (const auto& [id, route] : table.routes) {
    for (const RouteTarget& target : route.targets) {
      if (target.weight > 0) {
        reached.insert(target.service);
      }
    }
  }
  for (const auto& [id, service] : table.services) {
    Reviewer reviewer(findings, "service " + id.Value());
    reviewer.Check(!reached.contains(id), "No route leads to it.");
    reviewer.Check(
        service.cold_start.duration.count() > 0 && service.cold_start.requests_per_second <= 0,
        "It has a cold start without a rate: nothing is bounded.");
    reviewer.Check(
        service.cold_start.duration.count() == 0 && service.cold_start.requests_per_second > 0,
        "It has a rate of a cold start that lasts no time.");
  }
}

void ReviewLimits(const RouteTable& table, const HostRoom& room, std::vector<Finding>& findings) {
  const CallerLimits& limits = table.limits;
  Reviewer reviewer(findings, "limits");
  reviewer.Check(limits.max_header_bytes == 0, "No header is allowed: every request is refused.");
  reviewer.Check(limits.header_timeout.count() == 0,
                 "A header has no time to arrive: every request may be refused.");
  reviewer.Check(limits.header_timeout > limits.idle_timeout,
                 "A header may take longer (" + Ms(limits.header_timeout) +
                     ") than a connection may be idle (" + Ms(limits.idle_timeout) + ").");
  if (!room.buffer_bytes) {
    return;
  }
  // One team holds three quarters of the buffers at most.
  const std::size_t most = *room.buffer_bytes / 4 * 3;
  reviewer.Check(limits.max_body_bytes > most,
                 "A body may be larger (" + std::to_string(limits.max_body_bytes) +
                     " bytes) than what a host can hold for one team (" + std::to_string(most) +
                     "): it is always refused.");
}

void ReviewTeams(const RouteTable& table, std::vector<Finding>& findings) {
  const bool needs_keys =
      table.requires_keys && std::any_of(table.routes.begin(), table.routes.end(),
                                         [](const auto& entry) { return !entry.second.is_public; });
  Reviewer reviewer(findings, "teams");
  reviewer.Check(needs_keys && table.key_owners.empty(),
                 "Routes need keys, and no team has one: their requests are all refused.");
}

using Fields = std::map<std::string, std::string>;

Fields FieldsOf(const Route& route) {
  Fields fields = {{"host", route.host},
                   {"path prefix", route.path_prefix},
                   {"kind", KindText(route.kind)},
                   {"timeout", Ms(route.timeout)},
                   {"latency target", Ms(route.latency_target)},
                   {"target for pauses", Ms(route.gap_target)},
                   {"rank", std::to_string(route.rank)},
                   {"attempts", std::to_string(route.max_attempts)},
                   {"public", YesNo(route.is_public)},
                   {"sticky", YesNo(route.sticky)},
                   {"resumable", YesNo(route.resumable)}};
  for (const RouteTarget& target : route.targets) {
    fields["weight of " + target.service.Value()] = std::to_string(target.weight);
  }
  std::string& models = fields["models"];
  for (const ModelId& model : route.models) {
    models += (models.empty() ? "" : ", ") + model.Value();
  }
  return fields;
}

Fields FieldsOf(const DeclaredService& service) {
  Fields fields = {{"connections", std::to_string(service.max_connections)},
                   {"cold start", Ms(service.cold_start.duration)},
                   {"rate of a cold start", std::to_string(service.cold_start.requests_per_second)},
                   {"model engines", YesNo(service.is_engine)},
                   {"tokens of an event", std::to_string(service.tokens_per_event)}};
  for (const auto& [model, cost] : service.model_costs) {
    fields["cost of " + model.Value()] = std::to_string(cost);
  }
  return fields;
}

Fields FieldsOf(const CallerLimits& limits) {
  return {{"header bytes", std::to_string(limits.max_header_bytes)},
          {"body bytes", std::to_string(limits.max_body_bytes)},
          {"header timeout", Ms(limits.header_timeout)},
          {"idle timeout", Ms(limits.idle_timeout)}};
}

/// The fields of all entries by their places. An entry that is there has a field without a name.
std::map<std::string, Fields> EntriesOf(const RouteTable& table) {
  std::map<std::string, Fields> entries;
  for (const auto& [id, route] : table.routes) {
    entries.emplace("route " + id.Value(), FieldsOf(route));
  }
  for (const auto& [id, service] : table.services) {
    entries.emplace("service " + id.Value(), FieldsOf(service));
  }
  std::map<TeamId, int> keys;
  for (const auto& [key, owner] : table.key_owners) {
    ++keys[owner.team];
    entries["team " + owner.team.Value()]["rank"] =
        owner.rank ? std::to_string(*owner.rank) : "that of the route";
  }
  for (const auto& [team, count] : keys) {
    entries["team " + team.Value()]["keys"] = std::to_string(count);
  }
  for (auto& [place, fields] : entries) {
    fields[""] = "there";
  }
  entries.emplace("limits", FieldsOf(table.limits));
  return entries;
}

/// The keys of each team.
std::map<TeamId, std::set<std::string>> KeysOf(const RouteTable& table) {
  std::map<TeamId, std::set<std::string>> keys;
  for (const auto& [key, owner] : table.key_owners) {
    keys[owner.team].insert(key);
  }
  return keys;
}

/// Teams that have as many keys as before, but others.
void CompareKeys(const RouteTable& in_force, const RouteTable& next,
                 std::vector<TableChange>& changes) {
  const std::map<TeamId, std::set<std::string>> before = KeysOf(in_force);
  for (const auto& [team, keys] : KeysOf(next)) {
    const auto found = before.find(team);
    if (found != before.end() && found->second.size() == keys.size() && found->second != keys) {
      const std::string count = std::to_string(keys.size());
      changes.push_back({"team " + team.Value() + ", keys", count, count + ", some replaced"});
    }
  }
}

std::string ValueOf(const Fields& fields, const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

}  // namespace

std::vector<Finding> ReviewTable(const RouteTable& table, const HostRoom& room) {
  std::vector<Finding> findings;
  for (const auto& [id, route] : table.routes) {
    ReviewRoute(table, route, findings);
  }
  ReviewServices(table, findings);
  ReviewTeams(table, findings);
  ReviewLimits(table, room, findings);
  return findings;
}

std::vector<TableChange> CompareTables(const RouteTable& in_force, const RouteTable& next) {
  const std::map<std::string, Fields> before = EntriesOf(in_force);
  const std::map<std::string, Fields> after = EntriesOf(next);
  std::set<std::string> places;
  for (const auto* entries : {&before, &after}) {
    for (const auto& [place, fields] : *entries) {
      places.insert(place);
    }
  }
  std::vector<TableChange> changes;
  for (const std::string& place : places) {
    const auto old_entry = before.find(place);
    const auto new_entry = after.find(place);
    if (old_entry == before.end() || new_entry == after.end()) {
      changes.push_back({place, old_entry == before.end() ? "" : "there",
                         new_entry == after.end() ? "" : "there"});
      continue;
    }
    Fields names = old_entry->second;
    names.insert(new_entry->second.begin(), new_entry->second.end());
    for (const auto& [name, unused] : names) {
      const std::string old_value = ValueOf(old_entry->second, name);
      const std::string new_value = ValueOf(new_entry->second, name);
      if (old_value != new_value) {
        changes.push_back({place + ", " + name, old_value, new_value});
      }
    }
  }
  CompareKeys(in_force, next, changes);
  return changes;
}

}  // namespace masticrill::gateway
