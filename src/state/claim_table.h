#ifndef MASTICRILL_STATE_CLAIM_TABLE_H_
#define MASTICRILL_STATE_CLAIM_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/state/commands.h"
#include "masticrill/state/replicated_state.h"
#include "masticrill/state/results.h"
#include "state/expiring_table.h"

namespace masticrill::state {

/// The claims on requests that must run at most once. Not thread-safe.
///
/// An open claim whose window ends becomes kOutcomeUnknown for one more window, so that its key is
/// not free at once when the holder did not report.
class ClaimTable {
 public:
  ClaimResult Apply(const OpenClaim& command, const Limits& limits, WallTimeMs now);
  ClaimResult Apply(const ReassignClaim& command, const Limits& limits, WallTimeMs now);
  ClaimResult Apply(const ResolveClaim& command, const Limits& limits, WallTimeMs now);
  void Expire(const Limits& limits, WallTimeMs now);

  std::optional<ClaimResult> Find(const ClaimKey& key) const;
  /// Returns the claims that the request holds, as human-readable lines.
  std::vector<std::string> Explain(const RequestId& request) const;
  std::size_t Size() const { return this->claims.Size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->claims, this->answer_bytes);
  }

 private:
  enum class ClaimState : std::uint8_t { kOpen, kAnswered, kReleased, kOutcomeUnknown };

  struct ClaimRecord {
    ClaimState state = ClaimState::kOpen;
    std::string body_hash;
    ClaimHolder holder;
    RecordedAnswer answer;
    WallTimeMs expires_at = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(this->state, this->body_hash, this->holder, this->answer, this->expires_at);
    }
  };

  static ClaimResult ResultOf(const ClaimRecord& record);
  /// Returns the result for a command of `attempt`: kGranted if the attempt holds the open claim.
  static ClaimResult ResultFor(const AttemptId& attempt, const ClaimRecord& record);
  /// Returns the answer, without its body if that exceeds a limit, and counts the stored bytes.
  RecordedAnswer BoundAnswer(const RecordedAnswer& answer, const Limits& limits);

  ExpiringTable<ClaimKey, ClaimRecord> claims;
  std::uint64_t answer_bytes = 0;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CLAIM_TABLE_H_
