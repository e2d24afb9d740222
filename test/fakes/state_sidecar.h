#ifndef MASTICRILL_FAKES_STATE_SIDECAR_H_
#define MASTICRILL_FAKES_STATE_SIDECAR_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "masticrill/state/claim_protocol.h"

namespace masticrill::fakes {

/// Faults that a sidecar must not have; each is a broken variant for a test to find.
enum class SidecarDefect {
  kNone,
  kForgetsFences,        // Starts an attempt that it was told to fence.
  kIgnoresIncarnation,   // Starts an attempt whose claim names an earlier incarnation.
  kStartsTwice,          // Runs an attempt again when its hand-over is doubled.
  kGuessesNeverStarted,  // Says "never started" for attempts of an earlier incarnation.
};

/// A sidecar's token table in front of a booking service that counts what it ran.
class FakeSidecar {
 public:
  explicit FakeSidecar(SidecarDefect defect = SidecarDefect::kNone) : defect(defect) {}

  IncarnationId Incarnation() const {
    return IncarnationId("incarnation-" + std::to_string(this->restarts));
  }

  /// Starts the attempt unless it was fenced, started before, or claimed from another incarnation.
  bool HandOver(const state::ClaimHolder& holder) {
    if (this->defect != SidecarDefect::kIgnoresIncarnation &&
        holder.sidecar_incarnation != this->Incarnation()) {
      return false;
    }
    const auto [token, added] = this->tokens.emplace(holder.attempt, Token::kRunning);
    const bool may_start =
        added ||
        (token->second == Token::kFenced && this->defect == SidecarDefect::kForgetsFences) ||
        (token->second != Token::kFenced && this->defect == SidecarDefect::kStartsTwice);
    if (may_start) {
      token->second = Token::kRunning;
      ++this->runs;
      this->started.insert(holder.request);
    }
    return may_start;
  }

  /// Ends a running attempt. The answer carries the number of the run.
  void Finish(const AttemptId& attempt) {
    const auto token = this->tokens.find(attempt);
    if (token != this->tokens.end() && token->second == Token::kRunning) {
      token->second = Token::kDone;
    }
  }

  void FinishAll() {
    for (auto& [attempt, token] : this->tokens) {
      token = token == Token::kRunning ? Token::kDone : token;
    }
  }

  /// What a lost or late reply would have brought.
  std::optional<state::RecordedAnswer> AnswerOf(const AttemptId& attempt) const {
    const auto token = this->tokens.find(attempt);
    if (token == this->tokens.end() || token->second != Token::kDone) {
      return std::nullopt;
    }
    return state::RecordedAnswer{201, "text/plain", "booked by " + attempt.Value(), true};
  }

  state::FenceReply Fence(const state::ClaimHolder& holder) {
    const bool same = holder.sidecar_incarnation == this->Incarnation();
    if (!same && this->defect != SidecarDefect::kGuessesNeverStarted) {
      return {state::FenceStatus::kOtherIncarnation, {}};
    }
    const auto [token, added] = this->tokens.emplace(holder.attempt, Token::kFenced);
    switch (token->second) {
      case Token::kFenced:
        return {state::FenceStatus::kNeverStarted, {}};
      case Token::kRunning:
        return {state::FenceStatus::kRunning, {}};
      case Token::kDone:
        return {state::FenceStatus::kAnswered, *this->AnswerOf(holder.attempt)};
    }
    return {state::FenceStatus::kUnreachable, {}};
  }

  /// Restarts under a new incarnation with an empty table. The service goes on.
  void Restart() {
    ++this->restarts;
    this->tokens.clear();
  }

  /// Whether any attempt of the request ever started, at any incarnation.
  bool EverStarted(const RequestId& request) const { return this->started.contains(request); }
  int Restarts() const { return this->restarts; }
  int Runs() const { return this->runs; }

 private:
  enum class Token { kFenced, kRunning, kDone };

  SidecarDefect defect;
  std::map<AttemptId, Token> tokens;
  std::set<RequestId> started;
  int restarts = 0;
  int runs = 0;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_STATE_SIDECAR_H_
