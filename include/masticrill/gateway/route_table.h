#ifndef MASTICRILL_GATEWAY_ROUTE_TABLE_H_
#define MASTICRILL_GATEWAY_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

using RouteId = Name<struct RouteTag>;

/// Whether and how a request of a route may be retried after an upstream may have run it.
enum class RouteKind {
  kIdempotent,  // May run more than once.
  kAtMostOnce,  // Must not run more than once.
  kStream,      // Event stream; may run again only to resume after the last event received.
};

/// A service to which a route sends requests, and its weight among the route's targets.
struct RouteTarget {
  ServiceId service;
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// How requests of one host name and path prefix are served.
struct Route {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// The longest time for which a request may be held.
  milliseconds timeout{0};
  /// The time within which an answer, or the first event of a stream, should begin.
  milliseconds latency_target{0};
  /// The longest time that should pass between two events of a stream; 0 for no target.
  milliseconds gap_target{0};
  /// 0 is the highest priority.
  std::uint32_t rank = 0;
  std::vector<RouteTarget> targets;
  /// The largest number of upstreams to which one request may be sent.
  std::uint32_t max_attempts = 1;
  /// Served without a key.
  bool is_public = false;
  /// Requests with equal shared prompt parts prefer the upstreams that have these parts cached.
  bool sticky = false;
  /// A stream may resume at another upstream after its last event.
  bool resumable = false;
  /// The models among which the gateway chooses, from the cheapest to the strongest; empty where
  /// the caller names the model.
  std::vector<ModelId> models;

  /// Whether a request may run at a second upstream after it may have run at a first one.
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

/// The limit for requests to an upstream that has recently started.
struct ColdStartLimit {
  milliseconds duration{0};
  /// Requests per second that one cold upstream can handle; 0 for no limit.
  double requests_per_second = 0;

  friend bool operator==(const ColdStartLimit&, const ColdStartLimit&) = default;
};

/// The most urgent requests of a service, where others can wait for much longer.
struct UrgentRequests {
  std::uint32_t rank = 0;
  milliseconds latency_target{0};

  friend bool operator==(const UrgentRequests&, const UrgentRequests&) = default;
};

/// What operators declare about the upstreams of a service.
struct DeclaredService {
  ServiceId id;
  /// Connections that one upstream accepts from all callers together; 0 for no limit.
  std::uint32_t max_connections = 0;
  ColdStartLimit cold_start;
  /// Whether its upstreams are model engines.
  bool is_engine = false;
  /// The number of tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
  /// The cost per token of each model; the unit is arbitrary but the same for all.
  std::map<ModelId, double> model_costs;
  /// Set by IndexRoutes; absent where no requests are more urgent and others patient.
  std::optional<UrgentRequests> urgent = {};

  /// The cost of a model divided by that of the most expensive one: above 0 and at most 1; 1 for a
  /// model without a known cost.
  double RelativeCost(const ModelId& model) const;
  /// Whether requests of the route are among the most urgent ones.
  bool IsUrgent(const Route& route) const;
  /// Whether requests of the route give way to the most urgent ones, whose callers expect an answer
  /// in half of the time or less, and seconds earlier.
  bool IsPatient(const Route& route) const;

  friend bool operator==(const DeclaredService&, const DeclaredService&) = default;
};

/// Size and time limits for requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// The team to which an API key belongs.
struct KeyOwner {
  TeamId team;
  /// Overrides the rank of the route where it is set; 0 is the highest priority.
  std::optional<std::uint32_t> rank;

  friend bool operator==(const KeyOwner&, const KeyOwner&) = default;
};

/// Hashes strings and views of strings alike.
struct TextHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming): named by the library.
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

using RoutesByPrefix = std::unordered_map<std::string, RouteId, TextHash, std::equal_to<>>;

/// The operators' declaration, indexed for look-ups. Not changed once it is in use.
struct RouteTable {
  std::uint64_t revision = 0;
  std::map<RouteId, Route> routes;
  std::map<ServiceId, DeclaredService> services;
  CallerLimits limits;
  /// Whether callers need a key on routes that are not public.
  bool requires_keys = false;
  std::map<std::string, KeyOwner, std::less<>> key_owners;
  /// The routes of each host by their prefixes. Filled by IndexRoutes.
  std::map<std::string, RoutesByPrefix, std::less<>> routes_by_host;

  /// The route of the host with the longest prefix of the path; null when there is none. `host` may
  /// include a port. Takes a look-up for each slash of the path, whatever the number of routes.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Null when the key is unknown.
  const KeyOwner* FindKey(std::string_view key) const;
  const DeclaredService* FindService(const ServiceId& service) const;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// Fills the index of a table whose routes are complete.
void IndexRoutes(RouteTable& table);

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ROUTE_TABLE_H_
