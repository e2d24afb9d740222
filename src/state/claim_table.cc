#include "state/claim_table.h"

namespace masticrill::state {
namespace {

std::string_view ToString(ClaimStatus status) {
  switch (status) {
    case ClaimStatus::kGranted:
      return "granted";
    case ClaimStatus::kInProgress:
      return "in_progress";
    case ClaimStatus::kAnswered:
      return "answered";
    case ClaimStatus::kConflict:
      return "conflict";
    case ClaimStatus::kOutcomeUnknown:
      return "outcome_unknown";
    case ClaimStatus::kReleased:
      return "released";
    case ClaimStatus::kNotFound:
      return "not_found";
    case ClaimStatus::kFull:
      return "full";
  }
  return "not_found";
}

}  // namespace

ClaimResult ClaimTable::ResultOf(const ClaimRecord& record) {
  switch (record.state) {
    case ClaimState::kOpen:
      return {ClaimStatus::kInProgress, record.holder, {}};
    case ClaimState::kAnswered:
      return {ClaimStatus::kAnswered, record.holder, record.answer};
    case ClaimState::kReleased:
      return {ClaimStatus::kReleased, record.holder, {}};
    case ClaimState::kOutcomeUnknown:
      return {ClaimStatus::kOutcomeUnknown, record.holder, {}};
  }
  return {ClaimStatus::kOutcomeUnknown, record.holder, {}};
}

ClaimResult ClaimTable::ResultFor(const AttemptId& attempt, const ClaimRecord& record) {
  ClaimResult result = ResultOf(record);
  if (record.state == ClaimState::kOpen && record.holder.attempt == attempt) {
    result.status = ClaimStatus::kGranted;
  }
  return result;
}

ClaimResult ClaimTable::Apply(const OpenClaim& command, const Limits& limits, WallTimeMs now) {
  ClaimRecord* record = this->claims.Find(command.claim);
  if (record == nullptr) {
    if (this->claims.Size() >= limits.max_claims) {
      return {ClaimStatus::kFull, {}, {}};
    }
    const ClaimRecord opened{
        ClaimState::kOpen, command.body_hash, command.holder, {}, now + limits.claim_window_ms};
    return ResultFor(command.holder.attempt, this->claims.Insert(command.claim, opened));
  }
  if (record->state == ClaimState::kReleased) {
    // A duplicated command of the released attempt must not reopen the claim.
    if (record->holder.attempt == command.holder.attempt) {
      return ResultOf(*record);
    }
    record->state = ClaimState::kOpen;
    record->body_hash = command.body_hash;
    record->holder = command.holder;
    record->expires_at = now + limits.claim_window_ms;
    return ResultFor(command.holder.attempt, *record);
  }
  if (record->body_hash != command.body_hash) {
    return {ClaimStatus::kConflict, {}, {}};
  }
  return ResultFor(command.holder.attempt, *record);
}

ClaimResult ClaimTable::Apply(const ReassignClaim& command, const Limits& limits, WallTimeMs now) {
  ClaimRecord* record = this->claims.Find(command.claim);
  if (record == nullptr) {
    return {ClaimStatus::kNotFound, {}, {}};
  }
  const bool may_reassign = record->state == ClaimState::kOpen &&
                            record->holder.attempt == command.fenced_attempt &&
                            command.holder.attempt != command.fenced_attempt;
  if (may_reassign) {
    record->holder = command.holder;
    record->expires_at = now + limits.claim_window_ms;
  }
  return ResultFor(command.holder.attempt, *record);
}

ClaimResult ClaimTable::Apply(const ResolveClaim& command, const Limits& limits, WallTimeMs now) {
  ClaimRecord* record = this->claims.Find(command.claim);
  if (record == nullptr) {
    return {ClaimStatus::kNotFound, {}, {}};
  }
  if (record->state != ClaimState::kOpen || record->holder.attempt != command.attempt) {
    return ResultOf(*record);
  }
  record->expires_at = now + limits.claim_window_ms;
  switch (command.resolution) {
    case ClaimResolution::kAnswered:
      record->state = ClaimState::kAnswered;
      record->answer = this->BoundAnswer(command.answer, limits);
      break;
    case ClaimResolution::kReleased:
      record->state = ClaimState::kReleased;
      break;
    case ClaimResolution::kOutcomeUnknown:
      record->state = ClaimState::kOutcomeUnknown;
      break;
  }
  return ResultOf(*record);
}

RecordedAnswer ClaimTable::BoundAnswer(const RecordedAnswer& answer, const Limits& limits) {
  RecordedAnswer bounded = answer;
  const std::uint64_t size = answer.body.size();
  if (size > limits.max_answer_bytes || this->answer_bytes + size > limits.max_total_answer_bytes) {
    bounded.body.clear();
    bounded.body_kept = false;
  }
  this->answer_bytes += bounded.body.size();
  return bounded;
}

void ClaimTable::Expire(const Limits& limits, WallTimeMs now) {
  this->claims.Expire(now, [&](ClaimRecord& record) {
    if (record.state == ClaimState::kOpen) {
      record.state = ClaimState::kOutcomeUnknown;
      record.expires_at = now + limits.claim_window_ms;
      return;
    }
    this->answer_bytes -= record.answer.body.size();
  });
}

std::optional<ClaimResult> ClaimTable::Find(const ClaimKey& key) const {
  const ClaimRecord* record = this->claims.Find(key);
  return record == nullptr ? std::nullopt : std::optional<ClaimResult>(ResultOf(*record));
}

std::vector<std::string> ClaimTable::Explain(const RequestId& request) const {
  std::vector<std::string> lines;
  this->claims.ForEach([&](const ClaimKey& key, const ClaimRecord& record) {
    if (record.holder.request != request) {
      return;
    }
    lines.push_back("claim request=" + request.Value() + " team=" + key.team.Value() + " key=" +
                    key.key.Value() + " state=" + std::string(ToString(ResultOf(record).status)) +
                    " attempt=" + record.holder.attempt.Value() +
                    " upstream=" + record.holder.upstream.Value() +
                    " sidecar_incarnation=" + record.holder.sidecar_incarnation.Value());
  });
  return lines;
}

}  // namespace masticrill::state
