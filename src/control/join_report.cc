#include "control/join_report.h"

#include <algorithm>

namespace masticrill::control {
namespace {

constexpr std::size_t kMaxListed = 8;
constexpr std::size_t kMaxNodeLength = 48;
constexpr std::size_t kMaxMessageLength = 200;
constexpr Duration kMinInterval = seconds(1);
constexpr Duration kRepeatInterval = seconds(10);

}  // namespace

std::string_view ToString(JoinResult result) {
  switch (result) {
    case JoinResult::kAccepted:
      return "accepted";
    case JoinResult::kNotLeader:
      return "not_leader";
    case JoinResult::kNoQuorum:
      return "no_quorum";
    case JoinResult::kRetired:
      return "retired";
    case JoinResult::kConflict:
      return "conflict";
    case JoinResult::kUnreachable:
      return "unreachable";
    case JoinResult::kTimeout:
      return "timeout";
    case JoinResult::kOther:
      return "other";
  }
  return "other";
}

JoinResult JoinResultOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNotLeader:
      return JoinResult::kNotLeader;
    case ErrorKind::kNoQuorum:
      return JoinResult::kNoQuorum;
    case ErrorKind::kRetired:
      return JoinResult::kRetired;
    case ErrorKind::kConflict:
      return JoinResult::kConflict;
    case ErrorKind::kUnavailable:
      return JoinResult::kUnreachable;
    case ErrorKind::kTimeout:
      return JoinResult::kTimeout;
    default:
      return JoinResult::kOther;
  }
}

void JoinReport::Accept() {
  this->counts.Add(JoinResult::kAccepted);
  this->round.clear();
  this->told.reset();
}

void JoinReport::Refuse(const NodeId& asked, const Error& error) {
  const JoinResult result = JoinResultOf(error.kind);
  this->counts.Add(result);
  this->round.insert_or_assign(asked, Refusal{result, error.message});
}

std::optional<std::string> JoinReport::EndRound(TimePoint now) {
  std::set<JoinResult> causes;
  for (const auto& [asked, refusal] : this->round) {
    causes.insert(refusal.result);
  }
  const Duration interval = this->told == causes ? kRepeatInterval : kMinInterval;
  std::optional<std::string> line;
  if (!this->told || now - this->told_at >= interval) {
    line = this->Describe();
    this->told = std::move(causes);
    this->told_at = now;
  }
  this->round.clear();
  return line;
}

std::string JoinReport::Describe() const {
  if (this->round.empty()) {
    return "No other control host is known.";
  }
  std::string text;
  std::size_t listed = 0;
  const Refusal* most_telling = &this->round.begin()->second;
  for (const auto& [asked, refusal] : this->round) {
    if (listed < kMaxListed) {
      text += (listed == 0 ? "" : ", ") + asked.Value().substr(0, kMaxNodeLength) + ": " +
              std::string(ToString(refusal.result));
      ++listed;
    }
    if (most_telling->result == JoinResult::kNotLeader) {
      most_telling = &refusal;
    }
  }
  if (this->round.size() > listed) {
    text += " and " + std::to_string(this->round.size() - listed) + " more";
  }
  return text + ". " + most_telling->message.substr(0, kMaxMessageLength);
}

}  // namespace masticrill::control
