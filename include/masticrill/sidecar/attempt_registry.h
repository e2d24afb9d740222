#ifndef MASTICRILL_SIDECAR_ATTEMPT_REGISTRY_H_
#define MASTICRILL_SIDECAR_ATTEMPT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

struct RegistryOptions {
  /// Minimum retention of the outcome of an at-most-once attempt, and lifetime of an incarnation.
  Duration window = std::chrono::minutes(30);
  /// Maximum number of protected entries: at-most-once attempts and fences.
  std::size_t max_protected_entries = 20'000;
  /// The part of max_protected_entries that only fences may use.
  std::size_t fence_reserve = 2'000;
  /// The longest answer that is recorded. With a longer one the attempt is reported as done without
  /// its answer.
  std::size_t max_answer_bytes = std::size_t{16} << 10U;
  /// Bytes of all recorded answers, with max_answer_bytes reserved for each open at-most-once
  /// attempt.
  std::size_t max_total_answer_bytes = std::size_t{8} << 20U;
  /// Maximum number of ended repeatable attempts (not at-most-once); the oldest is evicted first.
  std::size_t max_repeatable_entries = 20'000;

  friend bool operator==(const RegistryOptions&, const RegistryOptions&) = default;
};

/// Asks for the state of an attempt whose end the sender did not receive, and forbids its start.
struct FenceRequest {
  AttemptId attempt;
  /// The incarnation that the attempt was sent to.
  IncarnationId incarnation;
  bool at_most_once = false;

  friend bool operator==(const FenceRequest&, const FenceRequest&) = default;
};

enum class FenceState {
  kNeverStartedNowFenced,  // The attempt has not run here and never will.
  kRunning,                // The attempt was started and has not ended. Ask again.
  kDone,                   // The attempt ended with the given outcome.
  kOutcomeUnknown,         // The state of the attempt is no longer known here.
  kTryLater,               // No room to record the fence; nothing was changed.
};

std::string_view ToString(FenceState state);

struct FenceResult {
  FenceState state = FenceState::kOutcomeUnknown;
  /// Set when done.
  std::optional<EngineOutcome> outcome;
  /// The recorded answer; absent when it was too long or the attempt is repeatable.
  std::optional<std::string> answer;

  friend bool operator==(const FenceResult&, const FenceResult&) = default;
};

/// Records the state of every attempt that this process has received.
///
/// The incarnation changes with each start of the process and, within one process, once per
/// window. Claims of at-most-once requests name it. The current and the previous incarnation are
/// retained, and an at-most-once attempt, or a fence that came before its attempt, is removed only
/// when its incarnation is no longer retained. So a removed attempt is never mistaken for one that
/// never arrived, without comparing clocks of hosts. A change of incarnation does not prove a
/// restart: query the process with a fence request.
///
/// Not thread-safe.
class AttemptRegistry {
 public:
  enum class State { kQueued, kRunning, kDone, kFenced };

  AttemptRegistry(IncarnationId process, const RegistryOptions& options, TimePoint now);

  /// The incarnation to name in new claims.
  const IncarnationId& Incarnation() const { return this->current; }

  /// Starts a new incarnation when the window has passed and removes entries that are no longer
  /// retained.
  void Advance(TimePoint now);

  /// Records a new attempt as queued, or returns why it must not run.
  std::optional<RefuseReason> Admit(const AttemptSpec& spec);

  void MarkRunning(const AttemptId& attempt);
  /// Records that the attempt was refused or cancelled before its start and will never run.
  void MarkNeverStarted(const AttemptId& attempt);
  void MarkDone(const AttemptId& attempt, const Completion& completion);

  /// Fences the attempt if it has not started. The caller must then remove a queued attempt from
  /// the queue.
  FenceResult Fence(const FenceRequest& request);

  std::optional<State> Find(const AttemptId& attempt) const;
  /// When the next incarnation begins, and with it room for new at-most-once attempts.
  TimePoint NextGenerationStart() const { return this->generation_start + this->options.window; }
  std::size_t ProtectedEntries() const { return this->protected_count; }
  std::size_t RepeatableEntries() const { return this->repeatable_count; }
  std::size_t AnswerBytes() const { return this->answer_bytes; }

 private:
  struct Entry {
    State state = State::kQueued;
    bool at_most_once = false;
    std::uint64_t generation = 0;
    EngineOutcome outcome = EngineOutcome::kOk;
    std::optional<std::string> answer;
    std::size_t reserved_bytes = 0;
  };

  IncarnationId IncarnationOf(std::uint64_t generation) const;
  bool Retains(const IncarnationId& incarnation) const;
  bool IsOverflowed(const IncarnationId& incarnation) const;
  void Release(Entry& entry, std::size_t kept_bytes);
  void RecordRepeatableEnd(const AttemptId& attempt);
  FenceResult FenceUnknown(const FenceRequest& request);

  IncarnationId process;
  RegistryOptions options;
  std::uint64_t generation = 1;
  IncarnationId current;
  IncarnationId previous;
  TimePoint generation_start;
  std::unordered_map<AttemptId, Entry> entries;
  std::deque<AttemptId> ended_repeatable;
  bool repeatable_forgotten = false;
  /// The latest generation in which an at-most-once attempt was refused for lack of room. The
  /// refusal could not be recorded, so no at-most-once attempt of this generation or an earlier one
  /// is admitted any more.
  std::uint64_t overflowed_generation = 0;
  std::size_t protected_count = 0;
  std::size_t repeatable_count = 0;
  std::size_t answer_bytes = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ATTEMPT_REGISTRY_H_
