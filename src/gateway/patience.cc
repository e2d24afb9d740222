#include "masticrill/gateway/patience.h"

#include <algorithm>

namespace masticrill::gateway {
namespace {

/// Second steps of less urgent requests are left out before urgent requests begin late, those of
/// urgent ones only when they would come late themselves.
constexpr double kUrgentFactor = 0.7;
constexpr double kLessUrgentFactor = 2.5;
/// From this lateness on patient requests are held back: urgent ones then still begin in time, and
/// have time for a second step.
constexpr double kHoldLateness = 0.25;
/// The share of its latency target that a patient request may be held back; the rest is left for
/// its own prompt.
constexpr double kHoldShare = 0.6;
/// For how long after answers began late requests go by turns: the time in which those that were
/// let go show in the lateness.
constexpr Duration kTurnsAfterHold = seconds(1);
/// Turns that are saved up.
constexpr int kMaxTurns = 3;

}  // namespace

double LatenessForSecondStep(Urgency urgency, double lateness) {
  switch (urgency) {
    case Urgency::kAlike:
      return lateness;
    case Urgency::kUrgent:
      return kUrgentFactor * lateness;
    case Urgency::kOrdinary:
    case Urgency::kPatient:
      break;
  }
  return kLessUrgentFactor * lateness;
}

bool PatienceGate::MayStart(const ServiceId& service, TimePoint arrived_at,
                            milliseconds latency_target, double lateness, TimePoint now) {
  const std::chrono::duration<double> target = latency_target;
  if (now >= arrived_at + duration_cast<Duration>(target * kHoldShare)) {
    return true;
  }
  const std::scoped_lock lock(this->mutex);
  Queue& queue = this->queues[service];
  if (lateness > kHoldLateness) {
    queue.turns_until = now + kTurnsAfterHold;
    return false;
  }
  if (now >= queue.turns_until) {
    return true;
  }
  if (queue.turns == 0) {
    return false;
  }
  --queue.turns;
  return true;
}

void PatienceGate::OnAnswerStart(const ServiceId& service) {
  const std::scoped_lock lock(this->mutex);
  Queue& queue = this->queues[service];
  queue.turns = std::min(queue.turns + 1, kMaxTurns);
}

}  // namespace masticrill::gateway
