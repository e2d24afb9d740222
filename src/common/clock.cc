#include "masticrill/common/clock.h"

#include <ctime>

namespace masticrill {

TimePoint SystemClock::Now() const {
  // The boot clock goes on while the host is suspended, so that a lease also ends there.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(seconds(now.tv_sec) + Duration(now.tv_nsec));
}

WallTimeMs SystemClock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(since_epoch).count();
}

}  // namespace masticrill
