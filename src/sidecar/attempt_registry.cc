#include "masticrill/sidecar/attempt_registry.h"

#include <utility>

namespace masticrill::sidecar {

std::string_view ToString(FenceState state) {
  switch (state) {
    case FenceState::kNeverStartedNowFenced:
      return "never_started_now_fenced";
    case FenceState::kRunning:
      return "running";
    case FenceState::kDone:
      return "done";
    case FenceState::kOutcomeUnknown:
      return "outcome_unknown";
    case FenceState::kTryLater:
      return "try_later";
  }
  return "unknown";
}

AttemptRegistry::AttemptRegistry(IncarnationId process, const RegistryOptions& options,
                                 TimePoint now)
    : process(std::move(process)),
      options(options),
      current(this->IncarnationOf(1)),
      generation_start(now) {}

IncarnationId AttemptRegistry::IncarnationOf(std::uint64_t number) const {
  return IncarnationId(this->process.Value() + "." + std::to_string(number));
}

bool AttemptRegistry::Retains(const IncarnationId& incarnation) const {
  return !incarnation.Empty() && (incarnation == this->current || incarnation == this->previous);
}

bool AttemptRegistry::IsOverflowed(const IncarnationId& incarnation) const {
  const std::uint64_t named =
      incarnation == this->current ? this->generation : this->generation - 1;
  return named <= this->overflowed_generation;
}

void AttemptRegistry::Advance(TimePoint now) {
  if (now - this->generation_start < this->options.window) {
    return;
  }
  this->generation_start = now;
  this->generation += 1;
  this->previous = std::exchange(this->current, this->IncarnationOf(this->generation));
  // Entries from before the previous generation belong to incarnations that are not retained.
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    const bool ended = entry.state == State::kDone || entry.state == State::kFenced;
    if (!ended || !entry.at_most_once || entry.generation + 1 >= this->generation) {
      ++it;
      continue;
    }
    this->protected_count -= 1;
    this->answer_bytes -= entry.reserved_bytes;
    it = this->entries.erase(it);
  }
}

std::optional<RefuseReason> AttemptRegistry::Admit(const AttemptSpec& spec) {
  if (const auto it = this->entries.find(spec.attempt); it != this->entries.end()) {
    return it->second.state == State::kFenced ? RefuseReason::kFenced : RefuseReason::kDuplicate;
  }
  // A fence is removed with its incarnation, so an attempt of an older one may have been fenced.
  if (!this->Retains(spec.incarnation) && (spec.at_most_once || !spec.incarnation.Empty())) {
    return RefuseReason::kStaleIncarnation;
  }
  Entry entry;
  entry.at_most_once = spec.at_most_once;
  entry.generation = this->generation;
  if (!spec.at_most_once) {
    this->entries.emplace(spec.attempt, std::move(entry));
    this->repeatable_count += 1;
    return std::nullopt;
  }
  const bool entries_full =
      this->protected_count + this->options.fence_reserve >= this->options.max_protected_entries;
  const bool bytes_full =
      this->answer_bytes + this->options.max_answer_bytes > this->options.max_total_answer_bytes;
  if (entries_full || bytes_full) {
    this->overflowed_generation = this->generation;
  }
  // A refused attempt that cannot be recorded must stay refused when it arrives again.
  if (this->IsOverflowed(spec.incarnation)) {
    return RefuseReason::kRegistryFull;
  }
  entry.reserved_bytes = this->options.max_answer_bytes;
  this->answer_bytes += entry.reserved_bytes;
  this->entries.emplace(spec.attempt, std::move(entry));
  this->protected_count += 1;
  return std::nullopt;
}

void AttemptRegistry::MarkRunning(const AttemptId& attempt) {
  if (const auto it = this->entries.find(attempt);
      it != this->entries.end() && it->second.state == State::kQueued) {
    it->second.state = State::kRunning;
  }
}

void AttemptRegistry::MarkNeverStarted(const AttemptId& attempt) {
  const auto it = this->entries.find(attempt);
  if (it == this->entries.end() || it->second.state == State::kDone ||
      it->second.state == State::kFenced) {
    return;
  }
  Entry& entry = it->second;
  entry.state = State::kFenced;
  entry.generation = this->generation;
  this->Release(entry, 0);
  if (!entry.at_most_once) {
    this->RecordRepeatableEnd(attempt);
  }
}

void AttemptRegistry::MarkDone(const AttemptId& attempt, const Completion& completion) {
  const auto it = this->entries.find(attempt);
  if (it == this->entries.end() || it->second.state != State::kRunning) {
    return;
  }
  Entry& entry = it->second;
  entry.state = State::kDone;
  entry.outcome = completion.outcome;
  // The outcome is retained for a whole window, however long the attempt ran.
  entry.generation = this->generation;
  if (!entry.at_most_once) {
    this->RecordRepeatableEnd(attempt);
    return;
  }
  if (completion.answer.size() > this->options.max_answer_bytes) {
    this->Release(entry, 0);
    return;
  }
  entry.answer = completion.answer;
  this->Release(entry, completion.answer.size());
}

void AttemptRegistry::Release(Entry& entry, std::size_t kept_bytes) {
  this->answer_bytes -= entry.reserved_bytes;
  this->answer_bytes += kept_bytes;
  entry.reserved_bytes = kept_bytes;
}

void AttemptRegistry::RecordRepeatableEnd(const AttemptId& attempt) {
  this->ended_repeatable.push_back(attempt);
  if (this->ended_repeatable.size() <= this->options.max_repeatable_entries) {
    return;
  }
  this->entries.erase(this->ended_repeatable.front());
  this->ended_repeatable.pop_front();
  this->repeatable_count -= 1;
  this->repeatable_forgotten = true;
}

FenceResult AttemptRegistry::Fence(const FenceRequest& request) {
  const auto it = this->entries.find(request.attempt);
  if (it == this->entries.end()) {
    return this->FenceUnknown(request);
  }
  switch (it->second.state) {
    case State::kQueued:
      this->MarkNeverStarted(request.attempt);
      return {FenceState::kNeverStartedNowFenced, std::nullopt, std::nullopt};
    case State::kFenced:
      return {FenceState::kNeverStartedNowFenced, std::nullopt, std::nullopt};
    case State::kRunning:
      return {FenceState::kRunning, std::nullopt, std::nullopt};
    case State::kDone:
      return {FenceState::kDone, it->second.outcome, it->second.answer};
  }
  return {};
}

FenceResult AttemptRegistry::FenceUnknown(const FenceRequest& request) {
  if (!this->Retains(request.incarnation)) {
    return {FenceState::kOutcomeUnknown, std::nullopt, std::nullopt};
  }
  if (!request.at_most_once && this->repeatable_forgotten) {
    return {FenceState::kOutcomeUnknown, std::nullopt, std::nullopt};
  }
  if (this->protected_count >= this->options.max_protected_entries) {
    return {FenceState::kTryLater, std::nullopt, std::nullopt};
  }
  // Recorded like an at-most-once attempt, since the fenced attempt may still arrive.
  Entry entry;
  entry.state = State::kFenced;
  entry.at_most_once = true;
  entry.generation = this->generation;
  this->entries.emplace(request.attempt, std::move(entry));
  this->protected_count += 1;
  return {FenceState::kNeverStartedNowFenced, std::nullopt, std::nullopt};
}

std::optional<AttemptRegistry::State> AttemptRegistry::Find(const AttemptId& attempt) const {
  if (const auto it = this->entries.find(attempt); it != this->entries.end()) {
    return it->second.state;
  }
  return std::nullopt;
}

}  // namespace masticrill::sidecar
