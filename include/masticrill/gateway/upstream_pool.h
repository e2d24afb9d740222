#ifndef MASTICRILL_GATEWAY_UPSTREAM_POOL_H_
#define MASTICRILL_GATEWAY_UPSTREAM_POOL_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/random.h"
#include "masticrill/config/configuration.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/route_table.h"
#include "masticrill/gateway/upstream_choice.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/routing/health.h"
#include "masticrill/routing/service_rollout.h"

namespace masticrill::gateway {

/// What operators have ordered, as far as it binds the choice of an upstream.
struct PoolRules {
  RouteTablePtr table;
  /// Failure domains that take no new work.
  std::set<FailureDomainId> closed_domains;
  std::map<ServiceId, config::ServiceRollout> rollouts;
};

struct PoolSettings {
  FailureDomainId own_domain = {};
  ChoiceSettings choice = {};
  routing::RolloutPlan rollout = {};
  routing::HealthSettings health = {};
  /// How long an upstream's own report of waiting requests is believed.
  Duration report_lifetime = milliseconds(500);
  /// How long another host's work is believed: a few of its notices.
  Duration peer_work_lifetime = milliseconds(800);
  /// How long an upstream is passed over whose address another one has taken over, while the list
  /// goes on showing it: lists lag, and keep lost upstreams for some seconds.
  Duration taken_address_lifetime = seconds(5);
  /// What a running stream slows an upstream down by, as work.
  double running_work = 60;
};

/// For which request an upstream is sought.
struct UpstreamQuery {
  ServiceId service;
  /// Upstreams that were tried.
  std::set<UpstreamId> excluded;
  /// Requests with equal keys prefer the same upstream; empty for none.
  std::string affinity_key;
  WorkEstimate work;
  /// Requests with equal keys move to a new version at the same time; empty for none.
  std::string session_key;
};

/// Why no upstream was found, or that one was.
enum class PickStatus {
  kFound,
  kNoUpstream,  // The service has no upstream that may take work.
  kAllTried,    // Every one was tried for this request.
  kColdLimit,   // Those left are cold and have had what they bear.
};

struct UpstreamPick {
  PickStatus status = PickStatus::kNoUpstream;
  ListedUpstream upstream;
  ChoiceReason reason = ChoiceReason::kNone;
  /// What was counted as waiting there, for OnStarted.
  double work = 0;
  /// The work that stood before it.
  double load = 0;
  /// When there is room at a cold upstream again, with kColdLimit.
  Duration retry_after{0};
};

/// A short stand-in for an upstream's name in notices that are sent often. Two upstreams with equal
/// keys would only be taken to be as busy as each other.
std::uint32_t ShortKey(const UpstreamId& upstream);

/// The work of one host at one upstream.
struct UpstreamWork {
  /// ShortKey of the upstream.
  std::uint32_t upstream = 0;
  /// Work that has not begun to answer.
  std::uint32_t waiting = 0;
  /// Requests whose answers have begun.
  std::uint16_t running = 0;

  friend bool operator==(const UpstreamWork&, const UpstreamWork&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->waiting, this->running);
  }
};

/// The place of this entry among those that share the upstreams' limits.
struct EntryPosition {
  /// From 0; all entries have different ones.
  std::uint32_t rank = 0;
  std::uint32_t count = 1;

  friend bool operator==(const EntryPosition&, const EntryPosition&) = default;
};

/// How an attempt at an upstream ended, as far as its health is concerned.
enum class AttemptVerdict { kSuccess, kFailure, kNeutral };

/// The upstreams of all services: who is there, what each has in flight from this host, what it
/// reports, how healthy it is, and which version of its service it runs. Thread-safe.
class UpstreamPool {
 public:
  UpstreamPool(PoolSettings settings, Random random);

  /// Replaces the list.
  void SetList(const UpstreamList& list, TimePoint now);
  void SetRules(PoolRules rules);
  void SetEntryPosition(EntryPosition position);

  /// Finds an upstream and counts the request as in flight there until Release.
  UpstreamPick Pick(const UpstreamQuery& query, TimePoint now, WallTimeMs wall_now);
  /// The answer has begun: the work that Pick counted is done.
  void OnAnswerStarted(const UpstreamId& upstream, double work);
  /// Ends what Pick began; `work` is what OnStarted was not called for.
  void Release(const UpstreamId& upstream, double work, AttemptVerdict verdict, TimePoint now);

  /// This host's work at all upstreams where it has any.
  std::vector<UpstreamWork> OwnWork() const;
  /// Another host's work, which replaces what it told before.
  void SetPeerWork(const NodeId& host, std::vector<UpstreamWork> work, TimePoint now);

  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report, TimePoint now);
  void OnColdReport(const UpstreamId& upstream, milliseconds cold_left, TimePoint now);
  /// Another upstream answers at the address. It is chosen only if nothing else is left, until the
  /// list shows a new address or a new start.
  void OnAddressTaken(const UpstreamId& upstream, TimePoint now);
  /// Bytes came from the upstream.
  void OnBytesReceived(const UpstreamId& upstream, TimePoint now);
  /// How long nothing has come from the upstream on any connection, while requests were in flight.
  Duration SilenceDuration(const UpstreamId& upstream, TimePoint now) const;

  std::size_t UpstreamCount() const;
  /// Whether a list was ever set.
  bool HasList() const;

 private:
  struct Member {
    ListedUpstream listed;
    bool present = true;
    std::uint32_t in_flight = 0;
    /// Of those, requests whose answers have begun.
    std::uint32_t running = 0;
    double waiting_work = 0;
    /// The same of all other hosts together.
    double peer_work = 0;
    routing::UpstreamHealth health;
    LoadReport report;
    TimePoint reported_at;
    TimePoint cold_until;
    /// The last turn at the cold upstream that was used.
    std::int64_t last_cold_turn = -1;
    TimePoint last_received_at;
    /// Until then another upstream is taken to answer at the address.
    TimePoint address_taken_until;
  };

  void OnRestart(Member& member, TimePoint now);
  bool MayTakeWork(const Member& member, const UpstreamQuery& query) const;
  double EstimatedLoad(const Member& member, TimePoint now) const;
  double RunningWork(const ServiceId& service) const;
  /// Adds the work that a host told, or takes it away again with the sign -1.
  void AddPeerWork(const std::vector<UpstreamWork>& work, double sign);
  void ExpirePeerWork(TimePoint now);
  /// Sums up anew after upstreams or rules have changed.
  void RecomputePeerWork();
  /// The turn of this entry at a cold upstream; nothing while it is another one's.
  std::optional<std::int64_t> ColdTurn(const ColdStartLimit& limit, WallTimeMs wall_now) const;
  bool MayUseCold(const Member& member, TimePoint now, WallTimeMs wall_now) const;
  std::vector<Member*> FilterByVersion(std::vector<Member*> members, const UpstreamQuery& query,
                                       WallTimeMs wall_now);
  static std::vector<Member*> ReachableOrAll(const std::vector<Member*>& members, TimePoint now);
  std::vector<Member*> HealthyOrAll(const std::vector<Member*>& members, TimePoint now) const;

  PoolSettings settings;
  mutable std::mutex mutex;
  Random random;
  PoolRules rules;
  EntryPosition entry_position;
  bool has_list = false;
  std::map<UpstreamId, Member> members;
  /// The members by ShortKey.
  std::unordered_map<std::uint32_t, Member*> members_by_key;
  struct PeerWork {
    std::vector<UpstreamWork> work;
    TimePoint received_at;
  };
  std::map<NodeId, PeerWork> peer_work_by_host;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_POOL_H_
