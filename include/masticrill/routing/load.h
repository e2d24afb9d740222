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

/// The load of one upstream as reported by its sidecar. Reports may be late, lost, duplicated,
/// reordered or wrong.
struct LoadReport {
  UpstreamId upstream = {};
  /// The incarnation of the sidecar; it grows with each start.
  std::uint64_t incarnation = 0;
  /// Grows with each report of the same incarnation.
  std::uint64_t sequence = 0;
  /// The wall clock of the sidecar, for information only: it is never compared with local time.
  WallTimeMs sent_at = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// The current concurrency limit of the sidecar, in requests.
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

/// Announces that an upstream has, or no longer has, a prompt prefix in its cache.
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
  kAnswered,      // The complete answer was received.
  kRefusedFull,   // The sidecar had no room, or none in time; nothing ran.
  kRefusedOther,  // The sidecar refused for another reason; nothing ran.
  kUnreachable,   // No connection; nothing was sent.
  kFailed,        // The upstream answered with an error.
  kTimedOut,      // No answer within the attempt's time.
  kBroken,        // The connection or the stream broke after the hand-over.
  kCancelled,     // The caller disconnected, or another attempt answered first.
};

inline constexpr std::array kAllAttemptOutcomes = {
    AttemptOutcome::kAnswered,    AttemptOutcome::kRefusedFull, AttemptOutcome::kRefusedOther,
    AttemptOutcome::kUnreachable, AttemptOutcome::kFailed,      AttemptOutcome::kTimedOut,
    AttemptOutcome::kBroken,      AttemptOutcome::kCancelled,
};

std::string_view ToString(AttemptOutcome outcome);

/// The measurements of one attempt that ended.
struct AttemptResult {
  /// The requested version; empty for a plain service.
  ModelVersion version = {};
  RequestClass request_class = RequestClass::kTag;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  std::optional<Duration> first_token = {};
  Duration total{0};
  std::uint32_t tokens = 0;
  /// For a refusal: the time after which the sidecar expects to have room.
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_LOAD_H_
