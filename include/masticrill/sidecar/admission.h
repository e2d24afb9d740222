#ifndef MASTICRILL_SIDECAR_ADMISSION_H_
#define MASTICRILL_SIDECAR_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/metrics.h"
#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"
#include "masticrill/sidecar/attempt.h"
#include "masticrill/sidecar/attempt_registry.h"
#include "masticrill/sidecar/cold_start_ramp.h"
#include "masticrill/sidecar/concurrency_control.h"
#include "masticrill/sidecar/concurrency_limit.h"
#include "masticrill/sidecar/dispatch_gate.h"
#include "masticrill/sidecar/fair_queue.h"
#include "masticrill/sidecar/latency_baseline.h"
#include "masticrill/sidecar/receipts.h"
#include "masticrill/sidecar/wait_estimator.h"

namespace masticrill::sidecar {

struct AdmissionOptions {
  RegistryOptions registry;
  ReceiptOptions receipts;
  RampOptions ramp;
  QueueOptions queue;
  LatencyBaseline::Options baseline;
  /// Retry-After of attempts refused for lack of a valid lease or a current configuration.
  milliseconds lease_retry{1000};
  /// Retry-After of attempts refused while the process is draining and about to be replaced.
  milliseconds stopping_retry{2000};
  /// How often the queue is scanned for attempts that can no longer meet their deadline.
  milliseconds scan_period{100};

  friend bool operator==(const AdmissionOptions&, const AdmissionOptions&) = default;
};

/// Load and state of the sidecar's upstream, as reported to the entries.
struct LoadReport {
  std::uint32_t in_flight = 0;
  std::array<std::uint32_t, kRequestClassCount> queued{};
  /// The current limit of attempts in flight: the minimum of the learned limit, the ramp and the
  /// configured maximum.
  std::uint32_t limit = 0;
  bool cold = true;
  bool draining = false;
  std::optional<WallTimeMs> engine_start;
  /// The incarnation that claims must name. It changes even without a restart: see AttemptRegistry.
  IncarnationId incarnation;
  config::Number config_number = 0;
  /// Increases with each report of this process.
  std::uint64_t sequence = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// The answer to a fence request, and the effects on queued attempts.
struct FenceDecision {
  FenceResult result;
  Effects effects;

  friend bool operator==(const FenceDecision&, const FenceDecision&) = default;
};

/// Decides which attempts run on the sidecar's upstream, and when.
///
/// Each submitted attempt ends exactly once: refused by Submit, refused or cancelled while queued,
/// or started and then refused by ConfirmStart or ended by OnFinished or OnCancel. Event times must
/// not decrease, except that calls of several threads may arrive out of order; a forward jump, as
/// after a suspended process resumes, is safe. Does no I/O and reads no clock. Safe for use by
/// several threads: one lock, held for microseconds.
template <PermissionCheck Check, LimitPolicy Policy>
class BasicAdmission {
 public:
  BasicAdmission(IncarnationId process, const AdmissionOptions& options, TimePoint now,
                 const Check& check = {}, const Policy& policy = {});

  Decision Submit(const AttemptSpec& spec, TimePoint now);

  /// Re-checks a started attempt right before it is sent to the upstream, in case the process was
  /// suspended since the start. After kRefuse the start is withdrawn and the attempt must not be
  /// sent.
  Decision ConfirmStart(const AttemptId& attempt, TimePoint now);

  void OnFirstToken(const AttemptId& attempt, TimePoint now);
  Effects OnFinished(const AttemptId& attempt, const Completion& completion, TimePoint now);

  /// Cancels an attempt whose caller disconnected. Frees its queue position or slot, except that a
  /// running at-most-once attempt continues, so that its answer is recorded. `tokens` is the number
  /// of tokens generated so far.
  Effects OnCancel(const AttemptId& attempt, std::uint64_t tokens, TimePoint now);

  /// Call it at least every AdmissionOptions::scan_period, and after the process was suspended.
  Effects OnTick(TimePoint now);

  /// Ignores a configuration that is not newer than the one in force.
  Effects OnConfiguration(config::ConfigurationPtr configuration, const UpstreamId& self,
                          TimePoint now);

  /// Allows starts until valid_until, the end of a lease that began when its request was sent.
  Effects OnLease(TimePoint valid_until, TimePoint now);

  /// Records the start time that the upstream reported.
  Effects OnEngineStart(WallTimeMs start, TimePoint now);

  /// Refuses all queued and new attempts. Running attempts finish.
  Effects BeginDrain(TimePoint now);
  /// Whether the process is draining and no attempt is running.
  bool Drained() const;

  FenceDecision Fence(const FenceRequest& request, TimePoint now);

  std::vector<Receipt> TakeDueReceipts(std::size_t limit, TimePoint now);
  void AcknowledgeReceipt(const AttemptId& attempt);
  std::size_t HeldReceipts() const;

  LoadReport Load(TimePoint now);

  /// Refusals so far by reason, including cancelled queued attempts.
  const EnumCounter<RefuseReason, kAllRefuseReasons.size()>& Refusals() const {
    return this->refusals;
  }

 private:
  // The functions below are called with the lock held.

  /// Returns the latest event time so far, since threads may report events out of order.
  TimePoint Advance(TimePoint now);
  /// Starts the queued attempts that may start now and refuses those that can no longer run.
  Effects ProcessQueue(TimePoint now);
  void StartQueued(TimePoint now, Effects& effects);
  void RefuseExpired(TimePoint now, Effects& effects);
  template <typename Reason>
  void RefuseQueued(const Reason& reason_of, TimePoint now, Effects& effects);

  Decision Enqueue(const AttemptSpec& spec, TimePoint now);
  Decision RefuseNow(const AttemptSpec& spec, RefuseReason reason, TimePoint now, Effects effects);
  RefusedAttempt Refuse(const AttemptSpec& spec, RefuseReason reason, TimePoint now);
  std::optional<RefuseReason> QueueRefusalReason(const AttemptSpec& spec, TimePoint now) const;
  std::optional<RefuseReason> StartRefusalReason(const AttemptSpec& spec, TimePoint now) const;
  bool MissesDeadline(const AttemptSpec& spec, TimePoint now) const;
  Duration ExpectedWait(const AttemptSpec& spec, TimePoint now) const;
  std::optional<milliseconds> RetryAfter(const AttemptSpec& spec, RefuseReason reason,
                                         TimePoint now) const;

  bool HasFreeSlot() const { return this->running.size() < this->control.EffectiveLimit(); }
  void Start(const AttemptSpec& spec, TimePoint now);
  void End(const AttemptId& attempt, const Completion& completion, TimePoint now);

  AdmissionOptions options;
  mutable std::mutex mutex;
  DispatchGate<Check> gate;
  AttemptRegistry registry;
  Receipts receipts;
  FairQueue queue;
  ConcurrencyControl<Policy> control;
  WaitEstimator estimator;
  std::unordered_map<AttemptId, RunningAttempt> running;
  std::uint64_t load_sequence = 0;
  TimePoint last_event;
  TimePoint last_scan;
  EnumCounter<RefuseReason, kAllRefuseReasons.size()> refusals{kAllRefuseReasons};
};

using Admission = BasicAdmission<ConfigurationPermission, AimdPolicy>;

extern template class BasicAdmission<ConfigurationPermission, GradientPolicy>;
extern template class BasicAdmission<ConfigurationPermission, AimdPolicy>;

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ADMISSION_H_
