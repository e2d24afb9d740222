#ifndef MASTICRILL_GATEWAY_GATEWAY_SETTINGS_H_
#define MASTICRILL_GATEWAY_GATEWAY_SETTINGS_H_

#include <array>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/gateway/upstream_choice.h"
#include "masticrill/routing/service_rollout.h"

namespace masticrill::gateway {

/// Times and limits of requests at a gateway.
struct CallSettings {
  /// A connection to an upstream takes a round trip of a few milliseconds; one that takes longer is
  /// tried elsewhere, since nothing was handed over yet.
  milliseconds connect_timeout{300};
  /// An upstream that sends nothing on any connection for this long, while requests wait there, is
  /// taken as lost by requests that may go on elsewhere. Engines send a token every few
  /// milliseconds as long as they work at all.
  milliseconds upstream_silence{1200};
  /// Before its first event an upstream may be silent for this many latency targets, if that is
  /// longer.
  double slow_start_factor = 0.75;
  /// How often a waiting request looks for that.
  milliseconds silence_check{200};
  /// A repeatable request without events waits this many times its latency target for an answer
  /// before it goes elsewhere.
  double slow_answer_factor = 2;
  /// Connections that may fail before a request is refused.
  std::uint32_t max_connect_failures = 6;
  /// The longest header of an upstream's answer, and the longest answer that is kept whole.
  std::size_t max_answer_head_bytes = std::size_t{64} << 10U;
  std::size_t max_answer_bytes = std::size_t{32} << 20U;
  /// The part of its latency target that a request may wait for a cold upstream to have room.
  double cold_wait_share = 0.5;
  /// When a caller that was refused for want of room comes back.
  milliseconds retry_after{400};
  /// When a caller comes back after a refusal for want of a lease or of a configuration.
  milliseconds retry_after_no_lease{600};
  /// When a caller comes back, at another node, that a stopping node refused.
  milliseconds retry_after_stopping{20};
  /// How long a request waits for the first lease after the start of this process, as a share of
  /// the time that its caller has, and at most.
  double lease_wait_share = 0.25;
  milliseconds longest_lease_wait{1200};
  /// Attempts beyond the first that one request pays for, and the most that are saved up.
  double retries_per_request = 0.8;
  double retry_balance = 5;
  /// What a token of a shared prompt part that is read again costs, against the time of a token of
  /// the strongest model.
  double reread_price = 0.5;
  /// An answer whose model is less sure than this, from 0 to 1, is dropped for a stronger one: by
  /// the rank of the request's route, the last for all further ranks. What matters most is worth
  /// the price of a strong model at a smaller doubt.
  std::array<double, 3> confidence_targets = {0.65, 0.55, 0.5};
};

/// What a gateway is started with.
struct GatewayOptions {
  NodeId node;
  FailureDomainId failure_domain;
  /// IP:PORT for callers.
  std::string caller_address;
  /// IP:PORT for the readiness check and the metrics.
  std::string status_address;
  /// IP:PORT of control hosts, for RPC.
  std::vector<std::string> control_addresses;
  /// The own address that control hosts show; need not be reachable.
  std::string advertised_address;
  /// IP:PORT for load notices of other gateways over UDP; empty for none.
  std::string load_address;
  std::string shared_secret;
  /// How often the list of upstreams is read.
  Duration list_interval = milliseconds(700);
  /// How often the lease is renewed.
  Duration renew_interval = milliseconds(500);
  /// After its start a process is expected to get its first lease within this time.
  Duration first_lease_within = seconds(4);
  int max_connections = 1500;
  /// After the order to stop: how long new connections are still served, until the balancer in
  /// front has noticed that this node is not ready; and when the process ends at the latest.
  Duration stop_accepting_after = milliseconds(2200);
  Duration stop_within = milliseconds(7200);
  CallSettings call;
  routing::RolloutPlan rollout;
  ChoiceSettings choice;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_SETTINGS_H_
