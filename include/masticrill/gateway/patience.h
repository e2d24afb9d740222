#ifndef MASTICRILL_GATEWAY_PATIENCE_H_
#define MASTICRILL_GATEWAY_PATIENCE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// How urgent a request is, compared with the others at its service.
enum class Urgency {
  kAlike,   // The service's requests are not told apart.
  kUrgent,  // Among the most urgent ones.
  kOrdinary,
  kPatient,  // Gives way to the urgent ones: its callers wait for much longer.
};

/// The lateness that counts for the second step of a request's cascade. A second step takes many
/// times the work of a first one, so those of less urgent requests are left out before urgent
/// requests begin late. Pure; `lateness` as AnswerLateness measures it.
double LatenessForSecondStep(Urgency urgency, double lateness);

/// Holds patient requests back at the entry while the answers of a service begin late. An engine
/// processes the prompts of all its requests one after the other, whatever their priority; so a
/// long prompt that comes first delays the urgent request behind it. Patient requests fill what the
/// urgent ones leave over, and none is held back for longer than a share of its own latency target.
///
/// Load that it answers: a burst of long prompts, or a loss of upstreams, beside short urgent
/// requests. Each entry decides by its own answers. Thread-safe.
class PatienceGate {
 public:
  /// Records that an answer has begun.
  void OnAnswerStart(const ServiceId& service);

  /// Whether a patient request that arrived at a time may be handed over now. After requests were
  /// held back, each answer that begins lets one of them go, so that they come at the rate of the
  /// upstreams.
  bool MayStart(const ServiceId& service, TimePoint arrived_at, milliseconds latency_target,
                double lateness, TimePoint now);
  /// How many requests were held back.
  std::uint64_t HeldBackCount() const { return this->held_back; }
  void CountHeldBack() { ++this->held_back; }

 private:
  struct Queue {
    /// Until then requests go by turns.
    TimePoint turns_until;
    int turns = 0;
  };

  std::mutex mutex;
  std::map<ServiceId, Queue> queues;
  std::atomic<std::uint64_t> held_back = 0;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_PATIENCE_H_
