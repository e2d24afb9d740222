#ifndef MASTICRILL_SIDECAR_ATTEMPT_RUNNER_H_
#define MASTICRILL_SIDECAR_ATTEMPT_RUNNER_H_

#include <functional>
#include <optional>
#include <string>

#include "masticrill/common/clock.h"
#include "masticrill/kernel/upstream_plugin.h"
#include "masticrill/sidecar/attempt.h"
#include "sidecar/live_attempts.h"

namespace masticrill::sidecar {

/// How one attempt ended at the upstream.
struct AttemptReport {
  Completion completion;
  net::AttemptEnd end;
  /// The start time that the upstream reported, in milliseconds since the Unix epoch.
  std::optional<WallTimeMs> engine_start;
};

/// Sends an attempt to the upstream and relays its answer to the entry in chunks. Blocks until the
/// answer has ended. `on_first_token` is called when the first content is received.
AttemptReport RunAttempt(LiveAttempt& attempt, const kernel::UpstreamCaller& upstream,
                         milliseconds read_timeout, const std::function<void()>& on_first_token);

/// The name of the header field in which an engine reports its start time.
inline constexpr std::string_view kEngineStartHeader = "X-Engine-Start-Ms";
/// The name of the header field with the number of tokens after which an engine is to resume.
inline constexpr std::string_view kResumeOffsetHeader = "X-Resume-Token-Offset";

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ATTEMPT_RUNNER_H_
