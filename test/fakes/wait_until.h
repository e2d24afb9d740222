#ifndef MASTICRILL_FAKES_WAIT_UNTIL_H_
#define MASTICRILL_FAKES_WAIT_UNTIL_H_

#include <functional>
#include <thread>

#include "masticrill/common/clock.h"

namespace masticrill::fakes {

/// A time limit for what takes milliseconds on an idle machine, so that load does not fail a test.
inline constexpr seconds kGenerous{60};

/// Yields until the condition holds, at most for a generous time. Returns whether it held.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + kGenerous;
  while (clock.Now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::yield();
  }
  return condition();
}

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_WAIT_UNTIL_H_
