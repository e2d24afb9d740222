#ifndef MASTICRILL_SIDECAR_COLD_START_RAMP_H_
#define MASTICRILL_SIDECAR_COLD_START_RAMP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "masticrill/common/clock.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

struct RampOptions {
  /// The bound on attempts in flight right after a cold start.
  std::uint32_t initial_bound = 1;
  /// The highest bound while the upstream's warm latency is unknown.
  std::uint32_t no_baseline_bound = 4;
  /// Number of good answers, and time since the cold start, after which the bound may exceed
  /// no_baseline_bound while the warm latency is unknown.
  std::uint32_t no_baseline_answers = 24;
  Duration no_baseline_period = seconds(20);
  /// An answer indicates a cold upstream above this ratio of first-token latency to the expected.
  double cold_ratio = 4;
  /// An answer indicates a warm upstream up to this ratio of first-token latency to the expected.
  double warm_ratio = 2;

  friend bool operator==(const RampOptions&, const RampOptions&) = default;
};

/// Bounds the attempts in flight while the upstream is cold: after the start of this process, when
/// the upstream's start time changes, and when slow or failed answers indicate a cold start. The
/// bound starts low, grows with answers about as fast as the warm upstream's and shrinks when an
/// answer is slow or missing, or reports overload. Not thread-safe.
class ColdStartRamp {
 public:
  static constexpr std::uint32_t kUnbounded = std::numeric_limits<std::uint32_t>::max();

  ColdStartRamp(const RampOptions& options, TimePoint now) : options(options) {
    this->Restart(now);
  }

  /// Maximum number of attempts in flight; kUnbounded when warm.
  std::uint32_t Bound() const { return this->cold ? this->bound : kUnbounded; }
  bool Cold() const { return this->cold; }
  /// Increases with each cold start. An answer counts only in the epoch in which its attempt
  /// started.
  std::uint64_t Epoch() const { return this->epoch; }
  std::optional<WallTimeMs> EngineStart() const { return this->engine_start; }

  /// Records the start time that the upstream reported. A changed time is a cold start.
  void OnEngineStart(WallTimeMs start, TimePoint now);

  /// Records a first token. `ratio` is its latency divided by the expected one, absent while that
  /// is unknown. The ramp ends when the upstream is proven warm and the bound has reached `limit`.
  void OnFirstToken(std::uint64_t sample_epoch, std::optional<double> ratio, std::uint32_t limit,
                    TimePoint now);

  /// Records that an attempt has waited so long for its first token that it counts as slow.
  void OnSlowFirstToken(std::uint64_t sample_epoch, TimePoint now);

  /// Records an attempt that ended without a good answer.
  void OnFailure(std::uint64_t sample_epoch, EngineOutcome outcome, TimePoint now);

 private:
  static constexpr std::size_t kHistorySize = 6;

  void Restart(TimePoint now);
  void RecordEvidence(std::uint32_t evidence, TimePoint now);
  void Grow(bool warm_latency_known, std::uint32_t limit, TimePoint now);

  RampOptions options;
  bool cold = true;
  std::uint64_t epoch = 0;
  std::uint32_t bound = 1;
  TimePoint cold_since;
  std::uint32_t good_answers = 0;
  std::uint32_t good_in_round = 0;
  std::optional<WallTimeMs> engine_start;
  std::array<std::uint32_t, kHistorySize> history{};
  std::size_t history_next = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_COLD_START_RAMP_H_
