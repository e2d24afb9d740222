#ifndef MASTICRILL_GATEWAY_ROUTE_TABLE_H_
#define MASTICRILL_GATEWAY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

using RouteId = Name<struct RouteTag>;

/// What may be repeated on a route.
enum class RouteKind {
  kIdempotent,  // May run more than once.
  kAtMostOnce,  // May run once for each request of a caller.
  kStream,      // Events; may run again only behind the last event, where the route is resumable.
};

/// A service that a route sends to, and its share.
struct RouteTarget {
  ServiceId service;
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// Requests of one host and path prefix, and how they are served.
struct Route {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// The longest time for which a request may be held.
  milliseconds timeout{0};
  /// The time within which an answer, or a stream's first event, is on time.
  milliseconds latency_target{0};
  /// The longest pause between two events of a stream that is on time; 0 for none.
  milliseconds gap_target{0};
  /// 0 goes first.
  std::uint32_t rank = 0;
  std::vector<RouteTarget> targets;
  /// Upstreams that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Served without a key.
  bool is_public = false;
  /// Requests share prompt parts, which upstreams cache.
  bool sticky = false;
  /// A stream may go on at another upstream behind its last event.
  bool resumable = false;
  /// The models among which the gateway chooses, from cheap to strong; empty where the caller names
  /// the model.
  std::vector<ModelId> models;

  /// Whether a request may run at a second upstream after it may have run at a first one.
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

/// How an upstream that has just started is protected.
struct ColdStartLimit {
  milliseconds duration{0};
  /// Requests that one cold upstream bears in a second; 0 for no limit.
  double requests_per_second = 0;

  friend bool operator==(const ColdStartLimit&, const ColdStartLimit&) = default;
};

/// A service's upstreams as far as operators describe them.
struct DeclaredService {
  ServiceId id;
  /// Connections that one upstream accepts from all callers together; 0 for no limit.
  std::uint32_t max_connections = 0;
  ColdStartLimit cold_start;
  /// Whether its upstreams are model engines.
  bool is_engine = false;
  /// Tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
  /// The cost of a token of each model, in any unit that all share.
  std::map<ModelId, double> model_costs;

  /// The cost of a model against the dearest one, above 0 and at most 1; 1 where it is not known.
  double RelativeCost(const ModelId& model) const;

  friend bool operator==(const DeclaredService&, const DeclaredService&) = default;
};

/// What callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{4} << 20U;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// The holder of a key.
struct KeyOwner {
  TeamId team;
  /// Goes before the route's rank where it is set; 0 goes first.
  std::optional<std::uint32_t> rank;

  friend bool operator==(const KeyOwner&, const KeyOwner&) = default;
};

/// What operators declared, ready for look-ups. A value never changes after it was made.
struct RouteTable {
  std::uint64_t revision = 0;
  std::map<RouteId, Route> routes;
  std::map<ServiceId, DeclaredService> services;
  CallerLimits limits;
  /// Whether callers need a key on routes that are not public.
  bool requires_keys = false;
  std::map<std::string, KeyOwner, std::less<>> key_owners;
  /// The routes of each host, longest prefix first. Filled by IndexRoutes.
  std::map<std::string, std::vector<RouteId>, std::less<>> routes_by_host;

  /// The route with the longest prefix that begins the path; null when none does. The host may
  /// carry a port.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Null when nobody holds the key.
  const KeyOwner* FindKey(std::string_view key) const;
  const DeclaredService* FindService(const ServiceId& service) const;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// Fills the index of a table whose routes are complete.
void IndexRoutes(RouteTable& table);

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ROUTE_TABLE_H_
