#ifndef MASTICRILL_GATEWAY_CALL_STATUS_H_
#define MASTICRILL_GATEWAY_CALL_STATUS_H_

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

#include "masticrill/common/clock.h"

namespace masticrill::gateway {

/// Time after the request's deadline in which the final answer may still be written to the caller.
inline constexpr Duration kFinalAnswerGrace = milliseconds(250);

/// Whether callers may conclude from the status that their request has not run.
inline bool ImpliesNotRun(int status) {
  constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

/// The value of Retry-After, in seconds.
inline std::string RetryAfterText(milliseconds delay) {
  std::array<char, 32> text{};
  const std::chrono::duration<double> in_seconds = delay;
  const int size = std::snprintf(text.data(), text.size(), "%.2f", in_seconds.count());
  return {text.data(), static_cast<std::size_t>(size)};
}

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALL_STATUS_H_
