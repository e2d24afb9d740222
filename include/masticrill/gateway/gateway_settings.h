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
  /// After this time without a connection, which usually takes a round trip of a few milliseconds,
  /// the request is tried at another upstream; that is safe since nothing was handed over yet.
  milliseconds connect_timeout{300};
  /// An upstream with requests in flight that sends nothing on any connection for this long is
  /// considered lost by requests that may be retried elsewhere. A working engine sends a token
  /// every few milliseconds.
  milliseconds upstream_silence{1200};
  /// Before the answer begins, the upstream may be silent for this multiple of the latency target
  /// if that is longer than `upstream_silence`.
  double slow_start_factor = 0.75;
  /// How often a waiting request checks whether its upstream is silent or slow.
  milliseconds silence_check{200};
  /// A repeatable request that is not a stream is retried elsewhere when no answer has begun within
  /// this multiple of its latency target.
  double slow_answer_factor = 2;
  /// Failed connections to upstreams that one request tolerates before it is refused.
  std::uint32_t max_connect_failures = 6;
  /// How often a request that must go on elsewhere looks for an upstream again, while none can take
  /// it over.
  milliseconds resume_check{100};
  /// The longest header of an upstream's answer, and the longest body that is buffered.
  std::size_t max_answer_head_bytes = std::size_t{64} << 10U;
  std::size_t max_answer_bytes = std::size_t{8} << 20U;
  /// All that is buffered for callers and upstreams at the same time, see BufferBudget.
  std::size_t max_buffered_bytes = std::size_t{32} << 20U;
  /// The share of its latency target that a request may wait for capacity at a cold upstream.
  double cold_wait_share = 0.5;
  /// The Retry-After of a request that was refused for lack of capacity, time or reachable
  /// upstreams.
  milliseconds retry_after{400};
  /// The Retry-After of a request that was refused without a lease, a configuration or an upstream.
  milliseconds retry_after_no_lease{600};
  /// The Retry-After of a request with a blocked part of its prompt. A block lasts until an
  /// operator lifts it.
  milliseconds retry_after_blocked{60'000};
  /// The Retry-After of a request that a stopping node refused; the caller then reaches another
  /// one.
  milliseconds retry_after_stopping{20};
  /// How long before the end of a planned stop the requests in progress get their end, so that it
  /// still reaches their callers.
  milliseconds stop_margin{150};
  /// How often a waiting request checks whether a planned stop has begun, unless it wakes more
  /// often.
  milliseconds stop_check{1000};
  /// How long a request waits for the first lease after the start of this process: a share of the
  /// time that its caller waits, and the upper limit.
  double lease_wait_share = 0.25;
  milliseconds max_lease_wait{1200};
  /// Retries that each request adds to its service's retry budget, and the largest balance.
  double retries_per_request = 0.8;
  double retry_balance = 5;
  /// The extra cost of a token of a shared prompt part that an upstream has to process again, as a
  /// multiple of the work of one prompt token of the strongest model.
  double recompute_price = 0.5;
  /// The extra cost of an upstream in another failure domain: a share of the request's work, and
  /// for each kilobyte of the request and its expected answer as much as so many prompt tokens of
  /// the strongest model.
  double remote_penalty = 0.05;
  double remote_tokens_per_kilobyte = 25;
  /// The least work of a prompt token relative to the strongest model's: engines process prompts
  /// for cheap models less than proportionally faster.
  double min_prompt_weight = 0.33;
  /// An answer whose confidence, from 0 to 1, is lower is discarded for a stronger model's. Indexed
  /// by the rank of the request's route; the last value holds for all further ranks. The targets
  /// are higher for important routes, whose answers justify the cost of a strong model more often.
  std::array<double, 3> confidence_targets = {0.65, 0.55, 0.5};
};

/// The start parameters of a gateway.
struct GatewayOptions {
  NodeId node;
  FailureDomainId failure_domain;
  /// IP:PORT for callers.
  std::string caller_address;
  /// IP:PORT for the readiness check and the metrics.
  std::string status_address;
  /// IP:PORT of control hosts, for RPC.
  std::vector<std::string> control_addresses;
  /// The address under which control hosts list this node; need not be reachable.
  std::string advertised_address;
  /// IP:PORT on which load notices of other gateways arrive over UDP; empty to exchange none.
  std::string load_address;
  std::string shared_secret;
  /// How often the list of upstreams is read.
  Duration list_interval = milliseconds(700);
  /// How often the lease is renewed.
  Duration renew_interval = milliseconds(500);
  /// Requests wait for the first lease only within this time after the start of the process.
  Duration first_lease_within = seconds(4);
  /// Callers' connections that are served at a time, and accepted ones that may wait for a thread.
  int max_connections = 1500;
  std::size_t max_waiting_connections = 512;
  /// After a stop was requested: how long new connections are still accepted, so that the load
  /// balancer can notice that this node is not ready; and when the process ends at the latest.
  Duration stop_accepting_after = milliseconds(2200);
  Duration stop_within = milliseconds(7200);
  CallSettings call;
  routing::RolloutPlan rollout;
  ChoiceSettings choice;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_SETTINGS_H_
