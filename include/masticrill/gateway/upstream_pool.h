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
#include "masticrill/gateway/request_limit.h"
#include "masticrill/gateway/route_table.h"
#include "masticrill/gateway/upstream_choice.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/gateway/upstream_speed.h"
#include "masticrill/routing/health.h"
#include "masticrill/routing/service_rollout.h"

namespace masticrill::gateway {

/// The operators' settings that restrict the choice of an upstream.
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
  /// How long an upstream's own report of waiting requests is used.
  Duration report_lifetime = milliseconds(500);
  /// How long another host's notice of its work is used: several intervals between notices.
  Duration peer_work_lifetime = milliseconds(800);
  /// How long an upstream is avoided after another one has answered at its address, while the list
  /// still shows it there: lists lag, and show lost upstreams for some seconds.
  Duration taken_address_lifetime = seconds(5);
  /// The longest pause that an upstream is granted.
  Duration max_pause = std::chrono::minutes(5);
  /// After a pause, each entry waits for a random part of this share of it, up to the limit, as
  /// other entries were asked for the same pause.
  double return_spread = 0.2;
  Duration max_return_spread = seconds(1);
  /// After a pause, an upstream gets one request in this time until it has answered one.
  Duration return_interval = seconds(1);
  /// How long an upstream that is no longer listed is known, in case that it comes back.
  Duration unlisted_lifetime = seconds(60);
  /// How long the news of a stated limit is passed on to other entries.
  Duration limit_news_lifetime = seconds(2);
  /// The work that a running request counts as at a model engine, since it slows other requests.
  double running_work = 60;
};

/// The properties of a request that determine its upstream.
struct UpstreamQuery {
  ServiceId service;
  /// Upstreams that the request has already tried.
  std::set<UpstreamId> excluded;
  /// Requests with equal keys prefer the same upstream; empty for none.
  std::string affinity_key;
  WorkEstimate work;
  /// Requests with equal keys move to a new version at the same time; empty for none.
  std::string session_key;
};

/// Whether an upstream was found, or why not.
enum class PickStatus {
  kFound,
  kNoUpstream,  // The service has no upstream that may take work.
  kAllTried,    // Every usable upstream has already been tried for this request.
  kRateLimit,   // The remaining upstreams are cold or state a limit, and have reached it.
  kPaused,      // The remaining upstreams have asked for a pause.
};

struct UpstreamPick {
  PickStatus status = PickStatus::kNoUpstream;
  ListedUpstream upstream = {};
  ChoiceReason reason = ChoiceReason::kNone;
  /// The work that was counted as waiting at the upstream, to be passed to OnAnswerStarted.
  double work = 0;
  /// The load of the upstream before this request.
  double load = 0;
  /// Whether nothing was known against the upstream: it was neither ejected nor a probe.
  bool was_healthy = true;
  /// With kRateLimit: when to look for capacity again. With kPaused: until the first pause ends.
  Duration retry_after{0};
};

/// A short hash of an upstream's name for load notices, which are sent often. A collision only
/// distorts the load estimates of the two upstreams.
std::uint32_t ShortKey(const UpstreamId& upstream);

/// The work that one host has in progress at one upstream.
struct UpstreamWork {
  /// ShortKey of the upstream.
  std::uint32_t upstream = 0;
  /// The work of requests whose answers have not begun.
  std::uint32_t waiting = 0;
  /// Requests whose answers have begun.
  std::uint16_t running = 0;

  friend bool operator==(const UpstreamWork&, const UpstreamWork&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->waiting, this->running);
  }
};

/// What an entry knows of the limit that an upstream states.
struct StatedLimit {
  /// A short hash of the upstream's name and start.
  std::uint32_t upstream = 0;
  /// The requests a second that it takes from all entries together; negative when it states no
  /// limit any more.
  float per_second = 0;
  /// Since it said so.
  std::uint32_t age_ms = 0;

  friend bool operator==(const StatedLimit&, const StatedLimit&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->per_second, this->age_ms);
  }
};

/// The position of this entry among the entries that share the upstreams' limits.
struct EntryPosition {
  /// Starts at 0 and is different for each entry.
  std::uint32_t rank = 0;
  std::uint32_t count = 1;

  friend bool operator==(const EntryPosition&, const EntryPosition&) = default;
};

/// What the end of an attempt says about the health of its upstream.
enum class AttemptVerdict {
  kSuccess,
  kFailure,
  kNeutral,
  kConnectionRefused,
  kNoConnection,  // The connection was not answered in time.
};

/// Tracks the upstreams of all services and chooses one for each request. Knows which upstreams are
/// listed and, for each, its requests in flight from this host, its reported load, its health and
/// its version. Thread-safe.
class UpstreamPool {
 public:
  UpstreamPool(PoolSettings settings, Random random);

  /// Replaces the list. Upstreams that are no longer listed stay known while requests are in flight
  /// there, but get no new ones.
  void SetList(const UpstreamList& list, TimePoint now);
  void SetRules(PoolRules rules);
  void SetEntryPosition(EntryPosition position);
  /// Sets the entries that share the limits that upstreams state.
  void SetRequestTurns(RequestTurns turns);

  /// Finds an upstream and counts the request as in flight there until Release.
  UpstreamPick Pick(const UpstreamQuery& query, TimePoint now, WallTimeMs wall_now);
  /// Moves a request from waiting to running when its answer begins: the work that Pick counted is
  /// done.
  void OnAnswerStarted(const UpstreamId& upstream, double work);
  /// Ends a request that Pick counted as in flight. `work` is the part of its work that was not
  /// passed to OnAnswerStarted.
  void Release(const UpstreamId& upstream, double work, AttemptVerdict verdict, TimePoint now);

  /// This host's work at each upstream where it has requests in flight.
  std::vector<UpstreamWork> OwnWork() const;
  /// Replaces the work that another host has reported.
  void SetPeerWork(const NodeId& host, std::vector<UpstreamWork> work, TimePoint now);

  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report, TimePoint now);
  void OnColdReport(const UpstreamId& upstream, milliseconds cold_left, TimePoint now);
  /// Records the limit that an answer states, or that it states none.
  void OnLimitReport(const UpstreamId& upstream, std::optional<double> per_second, TimePoint now);
  /// The limits that this entry has read recently; with `forwards`, also those that it was told.
  std::vector<StatedLimit> RecentLimits(bool forwards, TimePoint now) const;
  /// Takes over what another entry knows, where that is newer.
  void OnPeerLimits(const std::vector<StatedLimit>& limits, TimePoint now);
  /// Upstreams that state a limit now.
  std::size_t LimitedCount() const;
  /// Records that the upstream says it is leaving. It gets nothing new from this entry, whatever
  /// the list says, unless it starts again.
  void OnLeaving(const UpstreamId& upstream);
  /// Records that the upstream, which turned a request away, wants no more for so long. It gets
  /// none from this entry until the end, whatever the list says, unless it starts again; then few
  /// until it has answered one. A shorter pause does not end a longer one.
  void OnPause(const UpstreamId& upstream, Duration pause, TimePoint now);
  /// Logs, once for each start of the upstream, that the pause it asks for cannot be read.
  void OnUnreadablePause(const UpstreamId& upstream);
  /// Whether a request for which the upstream was chosen may still be sent there.
  bool MayStillSend(const UpstreamId& upstream, TimePoint now) const;
  /// Listed upstreams that have told this entry that they are leaving.
  std::size_t LeavingCount() const;
  /// Upstreams that have asked this entry for a pause which has not ended.
  std::size_t PausedCount(TimePoint now) const;
  /// Records that another upstream answers at this upstream's address. Until the list shows a new
  /// address or start time, or `taken_address_lifetime` has passed, the upstream is chosen only if
  /// no other one is left.
  void OnAddressTaken(const UpstreamId& upstream, TimePoint now);
  /// Records that bytes have arrived from the upstream.
  void OnBytesReceived(const UpstreamId& upstream, TimePoint now);
  /// How long the upstream has sent nothing on any connection while requests were in flight; the
  /// maximum for an unknown upstream.
  Duration SilenceDuration(const UpstreamId& upstream, TimePoint now) const;

  std::size_t UpstreamCount() const;
  /// Whether a list was ever set.
  bool HasList() const;

 private:
  struct Member {
    ListedUpstream listed;
    bool present = true;
    std::uint32_t in_flight = 0;
    /// The requests in flight whose answers have begun.
    std::uint32_t running = 0;
    double waiting_work = 0;
    /// The waiting and running work of all other hosts together.
    double peer_work = 0;
    routing::UpstreamHealth health;
    LoadReport report;
    TimePoint reported_at;
    UpstreamSpeed speed;
    TimePoint cold_until;
    /// The last turn that this entry has used while the upstream was cold; -1 for none.
    std::int64_t last_cold_turn = -1;
    /// The rate of the turns; absent while the upstream states no limit.
    std::optional<double> turn_rate;
    double stated_rate = 0;
    TimePoint limit_known_at;
    bool limit_is_own_news = false;
    /// The last turn that this entry has used under a stated limit; -1 for none.
    std::int64_t last_limit_turn = -1;
    /// The upstream has said that it is leaving.
    bool says_leaving = false;
    /// Until then the upstream wants no request from this entry.
    TimePoint paused_until;
    /// After a pause, until the upstream has answered a request.
    bool is_returning = false;
    /// When it last got a request while it was returning.
    TimePoint tried_at;
    bool pause_was_unreadable = false;
    TimePoint last_listed_at;
    TimePoint last_received_at;
    /// Until then the address is considered to belong to another upstream.
    TimePoint address_taken_until;
  };

  void OnRestart(Member& member, TimePoint now);
  bool MayTakeWork(const Member& member, const UpstreamQuery& query) const;
  double EstimatedLoad(const Member& member, TimePoint now) const;
  double RunningWork(const ServiceId& service) const;
  /// Adds work that another host has reported, or subtracts it with the sign -1.
  void AddPeerWork(const std::vector<UpstreamWork>& work, double sign);
  void ExpirePeerWork(TimePoint now);
  /// Recomputes the work of other hosts after upstreams or rules have changed.
  void RecomputePeerWork();
  /// The number of this entry's current turn at a cold upstream; absent while another entry has the
  /// turn.
  std::optional<std::int64_t> ColdTurn(const ColdStartLimit& limit, WallTimeMs wall_now) const;
  bool MayUseLimited(const Member& member, WallTimeMs wall_now) const;
  void SetLimit(Member& member, std::optional<double> per_second, TimePoint at);
  /// When one of the upstreams may take a request again.
  Duration UntilCapacity(const std::vector<Member*>& full, TimePoint now,
                         WallTimeMs wall_now) const;
  bool MayUseCold(const Member& member, TimePoint now, WallTimeMs wall_now) const;
  std::vector<Member*> FilterByVersion(std::vector<Member*> members, const UpstreamQuery& query,
                                       WallTimeMs wall_now);
  bool MayReturn(const Member& member, TimePoint now) const;
  static std::vector<Member*> ReachableOrAll(const std::vector<Member*>& members, TimePoint now);
  /// The members that are healthy or, with `may_probe`, whose state a request may find out; all
  /// members where there are none.
  std::vector<Member*> HealthyOrAll(const std::vector<Member*>& members, bool may_probe,
                                    TimePoint now) const;

  PoolSettings settings;
  mutable std::mutex mutex;
  Random random;
  PoolRules rules;
  EntryPosition entry_position;
  RequestTurns request_turns;
  bool has_list = false;
  std::map<UpstreamId, Member> members;
  /// The members by ShortKey.
  std::unordered_map<std::uint32_t, Member*> members_by_key;
  /// The members by their keys in StatedLimit.
  std::unordered_map<std::uint32_t, Member*> members_by_limit_key;
  struct PeerWork {
    std::vector<UpstreamWork> work;
    TimePoint received_at;
  };
  std::map<NodeId, PeerWork> peer_work_by_host;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_POOL_H_
