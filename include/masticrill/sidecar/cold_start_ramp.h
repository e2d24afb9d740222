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
  /// Attempts that an upstream is given at once right after a cold start.
  std::uint32_t initial_bound = 1;
  /// The most that it is given while its warm latency is not known yet.
  std::uint32_t no_baseline_bound = 4;
  /// Good answers, and time, after which an upstream without a known warm latency may get more.
  std::uint32_t no_baseline_answers = 24;
  Duration no_baseline_period = seconds(20);
  /// First-token latency over the expected one from which an answer shows a cold upstream.
  double cold_ratio = 4;
  /// First-token latency over the expected one up to which an answer shows a warm upstream.
  double warm_ratio = 2;

  friend bool operator==(const RampOptions&, const RampOptions&) = default;
};

/// Bounds the attempts in flight while the upstream is cold: after the start of this process, when
/// the upstream's start time changes, and when its answers show it. The bound starts low, grows
/// with answers as fast as those of the warm upstream and falls back on bad ones. Not thread-safe.
class ColdStartRamp {
 public:
  static constexpr std::uint32_t kUnbounded = std::numeric_limits<std::uint32_t>::max();

  ColdStartRamp(const RampOptions& options, TimePoint now) : options(options) {
    this->Restart(now);
  }

  /// The most attempts in flight; kUnbounded when warm.
  std::uint32_t Bound() const { return this->cold ? this->bound : kUnbounded; }
  bool Cold() const { return this->cold; }
  /// Changes with each cold start. An answer counts only in the epoch in which it was started.
  std::uint64_t Epoch() const { return this->epoch; }
  std::optional<WallTimeMs> EngineStart() const { return this->engine_start; }

  /// The upstream reported when it started. A changed time is a cold start.
  void OnEngineStart(WallTimeMs start, TimePoint now);

  /// A first token arrived. The ratio is its latency over the expected one, absent when that is not
  /// known. The ramp ends when its bound reaches the limit.
  void OnFirstToken(std::uint64_t sample_epoch, std::optional<double> ratio, std::uint32_t limit,
                    TimePoint now);

  /// An attempt has waited for its first token so long that it counts as slow.
  void OnSlow(std::uint64_t sample_epoch, TimePoint now);

  /// An attempt ended without an answer.
  void OnFailure(std::uint64_t sample_epoch, EngineOutcome outcome, TimePoint now);

 private:
  static constexpr std::size_t kHistory = 6;

  void Restart(TimePoint now);
  void Note(std::uint32_t evidence, TimePoint now);
  void Grow(bool warm_latency_known, std::uint32_t limit, TimePoint now);

  RampOptions options;
  bool cold = true;
  std::uint64_t epoch = 0;
  std::uint32_t bound = 1;
  TimePoint cold_since;
  std::uint32_t good_answers = 0;
  std::uint32_t good_in_round = 0;
  std::optional<WallTimeMs> engine_start;
  std::array<std::uint32_t, kHistory> history{};
  std::size_t history_next = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_COLD_START_RAMP_H_
