#ifndef MASTICRILL_COMMON_CLOCK_H_
#define MASTICRILL_COMMON_CLOCK_H_

#include <chrono>
#include <concepts>
#include <cstdint>

namespace masticrill {

using Duration = std::chrono::nanoseconds;

/// A point on a clock that never goes back and that counts while the host is suspended. It has no
/// meaning in another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch, for records that people read. Decisions never compare it.
using WallTimeMs = std::int64_t;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename C>
concept Clock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
  { clock.WallNow() } -> std::same_as<WallTimeMs>;
};

/// The host's clock.
class SystemClock {
 public:
  TimePoint Now() const;
  WallTimeMs WallNow() const;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_CLOCK_H_
