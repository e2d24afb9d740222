#ifndef MASTICRILL_ROUTING_LOAD_H_
#define MASTICRILL_ROUTING_LOAD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"

namespace masticrill::routing {

/// The load of one upstream as its sidecar reports it. Reports may be late, lost, doubled,
/// reordered or wrong.
struct LoadReport {
  UpstreamId upstream = {};
  /// The sidecar's incarnation, as a number that grows with each start.
  std::uint64_t incarnation = 0;
  /// Grows with each report of one incarnation.
  std::uint64_t sequence = 0;
  /// The sidecar's wall clock; kept for readers, never compared.
  WallTimeMs sent_at = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// The requests that the sidecar runs at once at present.
  std::uint32_t limit = 0;
  /// The upstream is in its cold-start ramp.
  bool cold = false;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->incarnation, this->sequence, this->sent_at, this->in_flight,
            this->queued, this->limit, this->cold);
  }
};

/// A notice that an upstream has, or no longer has, a prompt prefix in its cache.
struct CacheHint {
  UpstreamId upstream = {};
  std::uint64_t prefix_hash = 0;
  bool present = true;

  friend bool operator==(const CacheHint&, const CacheHint&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->prefix_hash, this->present);
  }
};

/// How one attempt at an upstream ended.
enum class AttemptOutcome {
  kAnswered,      // A whole answer.
  kRefusedFull,   // The sidecar had no room; nothing ran.
  kRefusedOther,  // The sidecar refused for another reason; nothing ran.
  kUnreachable,   // No connection; nothing was handed over.
  kFailed,        // The upstream answered with an error.
  kTimedOut,      // No answer within the attempt's time.
  kBroken,        // The connection or the stream broke after the hand-over.
  kCancelled,     // The caller left, or another attempt won.
};

inline constexpr std::array kAllAttemptOutcomes = {
    AttemptOutcome::kAnswered,    AttemptOutcome::kRefusedFull, AttemptOutcome::kRefusedOther,
    AttemptOutcome::kUnreachable, AttemptOutcome::kFailed,      AttemptOutcome::kTimedOut,
    AttemptOutcome::kBroken,      AttemptOutcome::kCancelled,
};

std::string_view ToString(AttemptOutcome outcome);

/// The measurements of one ended attempt.
struct AttemptResult {
  /// The version that the attempt asked for; empty for a plain service.
  ModelVersion version = {};
  RequestClass request_class = RequestClass::kTag;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  std::optional<Duration> first_token = {};
  Duration total{0};
  std::uint32_t tokens = 0;
  /// With a refusal: when the sidecar expects to have room.
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_LOAD_H_
