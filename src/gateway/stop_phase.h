#ifndef MASTICRILL_GATEWAY_STOP_PHASE_H_
#define MASTICRILL_GATEWAY_STOP_PHASE_H_

#include <array>
#include <string_view>

namespace masticrill::gateway {

/// The phase of a planned stop of this process.
enum class StopPhase {
  kServing,
  kStopping,  // Requests are still served; each connection is closed after its request.
  kClosing,   // Idle connections are closed too.
};

inline constexpr std::array kAllStopPhases = {StopPhase::kServing, StopPhase::kStopping,
                                              StopPhase::kClosing};

inline std::string_view ToString(StopPhase phase) {
  switch (phase) {
    case StopPhase::kServing:
      return "serving";
    case StopPhase::kStopping:
      return "stopping";
    case StopPhase::kClosing:
      return "closing";
  }
  return "serving";
}

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_STOP_PHASE_H_
