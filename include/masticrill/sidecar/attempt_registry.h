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
  /// The shortest time for which the end of an attempt that may run at most once is remembered.
  Duration window = std::chrono::minutes(30);
  /// Attempts that may run at most once and fences that are remembered at once.
  std::size_t max_protected_entries = 20'000;
  /// Of these, the number that only fences may use.
  std::size_t fence_reserve = 2'000;
  /// The longest answer that is recorded. A longer one is reported as done without its answer.
  std::size_t max_answer_bytes = std::size_t{16} << 10U;
  /// All recorded answers together, with max_answer_bytes reserved for each open attempt.
  std::size_t max_total_answer_bytes = std::size_t{8} << 20U;
  /// Ended attempts that may be repeated; the oldest is forgotten first.
  std::size_t max_repeatable_entries = 20'000;

  friend bool operator==(const RegistryOptions&, const RegistryOptions&) = default;
};

/// A question about an attempt whose end its sender did not see.
struct FenceRequest {
  AttemptId attempt;
  /// The incarnation that the attempt was sent to.
  IncarnationId incarnation;
  bool at_most_once = false;

  friend bool operator==(const FenceRequest&, const FenceRequest&) = default;
};

enum class FenceState {
  kNeverStartedNowFenced,  // It has not run here and never will.
  kRunning,                // It was handed over and has not ended. Ask again.
  kDone,                   // It ended with the outcome given.
  kOutcomeUnknown,         // This incarnation cannot vouch for the token.
  kTryLater,               // No room to remember the fence; nothing was changed.
};

std::string_view ToString(FenceState state);

struct FenceResult {
  FenceState state = FenceState::kOutcomeUnknown;
  /// Set when done.
  std::optional<EngineOutcome> outcome;
  /// The recorded answer; absent when it was too long or the attempt may be repeated.
  std::optional<std::string> answer;

  friend bool operator==(const FenceResult&, const FenceResult&) = default;
};

/// The state of every attempt that this process has seen.
///
/// The incarnation changes with each start of the process and, within one process, once per
/// window: claims name it, the current and the previous one are vouched for, and a token is
/// forgotten only when its incarnation no longer is. So a forgotten token is never mistaken for one
/// that never arrived, without comparing clocks of hosts. A change of incarnation is therefore no
/// proof of a restart: ask the process with a fence request.
///
/// Not thread-safe.
class AttemptRegistry {
 public:
  enum class State { kQueued, kRunning, kDone, kFenced };

  AttemptRegistry(IncarnationId process, const RegistryOptions& options, TimePoint now);

  /// The incarnation to name in new claims.
  const IncarnationId& Incarnation() const { return this->current; }

  /// Starts a new incarnation when the window has passed and forgets what is no longer vouched for.
  void Advance(TimePoint now);

  /// Records a new attempt as queued, or says why it must not run.
  std::optional<RefuseReason> Admit(const AttemptSpec& spec);

  void MarkRunning(const AttemptId& attempt);
  /// The attempt was refused or cancelled before its start and will never run.
  void MarkNeverStarted(const AttemptId& attempt);
  void MarkDone(const AttemptId& attempt, const Completion& completion);

  /// Forbids the attempt if it has not started. A queued attempt must then leave the queue.
  FenceResult Fence(const FenceRequest& request);

  std::optional<State> Find(const AttemptId& attempt) const;
  /// When the next incarnation begins, and with it room for new attempts.
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
  /// Generations up to this one had an attempt refused for want of room, which could not be
  /// remembered. No attempt that names one of them is admitted any more.
  std::uint64_t overflowed_generation = 0;
  std::size_t protected_count = 0;
  std::size_t repeatable_count = 0;
  std::size_t answer_bytes = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ATTEMPT_REGISTRY_H_
