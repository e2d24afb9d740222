#ifndef MASTICRILL_GATEWAY_GATEWAY_METRICS_H_
#define MASTICRILL_GATEWAY_GATEWAY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "gateway/stop_phase.h"
#include "masticrill/common/metrics.h"
#include "masticrill/common/refusal.h"
#include "masticrill/routing/retry.h"

namespace masticrill::gateway {

/// Counters and latencies of one gateway. Thread-safe.
struct GatewayMetrics {
  std::atomic<std::uint64_t> received = 0;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> escalated = 0;
  std::atomic<std::uint64_t> resumed = 0;
  /// Attempts whose upstream ended the connection before their answer began or shortly afterwards.
  std::atomic<std::uint64_t> early_breaks = 0;
  /// Answers that state how many requests a second their upstream takes.
  std::atomic<std::uint64_t> limited_answers = 0;
  /// Refusals of upstreams that ask for a pause.
  std::atomic<std::uint64_t> pauses = 0;
  std::atomic<std::int64_t> in_flight = 0;
  std::atomic<std::int64_t> connections = 0;
  EnumCounter<RefusalKind, kAllRefusalKinds.size()> refusals{kAllRefusalKinds};
  EnumCounter<routing::RetryReason, routing::kAllRetryReasons.size()> retries{
      routing::kAllRetryReasons};
  /// Requests whose connection was closed without a complete answer while their caller was there.
  EnumCounter<StopPhase, kAllStopPhases.size()> cut{kAllStopPhases};
  /// From the arrival of a request to the head of its answer.
  LatencySummary first_byte;
  LatencySummary whole;

  /// The metrics in the Prometheus text format.
  std::string Text() const;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_GATEWAY_METRICS_H_
