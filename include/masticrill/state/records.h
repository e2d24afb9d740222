#ifndef MASTICRILL_STATE_RECORDS_H_
#define MASTICRILL_STATE_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/refusal.h"
#include "masticrill/common/request_class.h"

namespace masticrill::state {

/// A token such as "least_loaded" that names the reason for a routing decision.
using DecisionReason = Name<struct DecisionReasonTag>;

/// One routing decision for a request.
struct TraceStep {
  DecisionReason reason;
  /// The upstream that the decision concerns; empty when it concerns none.
  UpstreamId upstream;
  /// The cascade step, from 0.
  std::uint32_t step = 0;

  friend bool operator==(const TraceStep&, const TraceStep&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->reason, this->upstream, this->step);
  }
};

enum class OutcomeKind : std::uint8_t { kAnswered, kRefused, kFailed };

/// How one request ended. A request is `refused` when it ended before any hand-over or was fenced,
/// and `failed` when it ended without its answer after a hand-over.
struct Outcome {
  RequestId request;
  TeamId team;
  RequestClass request_class = RequestClass::kCaption;
  /// The version that answered, or was tried last; empty for services and early refusals.
  ModelVersion model_version;
  OutcomeKind kind = OutcomeKind::kAnswered;
  /// The reason when the request was refused or failed; ignored for kAnswered.
  RefusalKind refusal = RefusalKind::kInternal;
  Execution execution = Execution::kRan;
  std::uint32_t attempts = 0;
  std::vector<TraceStep> trace;
  WallTimeMs at = 0;

  friend bool operator==(const Outcome&, const Outcome&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->team, this->request_class, this->model_version, this->kind,
            this->refusal, this->execution, this->attempts, this->trace, this->at);
  }
};

enum class ChargeReporter : std::uint8_t { kEntry, kSidecar };

/// The billing line of a request. A request has at most one.
struct ChargeLine {
  RequestId request;
  TeamId team;
  ModelVersion model_version;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  /// In micro-units of the billing currency.
  std::uint64_t cost = 0;
  ChargeReporter reporter = ChargeReporter::kEntry;
  /// When the entry received the request.
  WallTimeMs received_at = 0;

  friend bool operator==(const ChargeLine&, const ChargeLine&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->team, this->model_version, this->prompt_tokens,
            this->generated_tokens, this->cost, this->reporter, this->received_at);
  }
};

/// Open requests of one team and class that failed because their entry was lost.
struct EntryLoss {
  NodeId entry;
  IncarnationId incarnation;
  TeamId team;
  RequestClass request_class = RequestClass::kCaption;
  std::uint64_t requests = 0;
  WallTimeMs at = 0;

  friend bool operator==(const EntryLoss&, const EntryLoss&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->entry, this->incarnation, this->team, this->request_class, this->requests,
            this->at);
  }
};

using Record = std::variant<Outcome, ChargeLine, EntryLoss>;

/// A record of the outcome log with its position in the hash chain.
struct ChainedRecord {
  /// Counted from 1, without gaps.
  std::uint64_t sequence = 0;
  Record record;
  /// SHA-256, in hexadecimal, over the previous record's hash, the sequence and the record.
  std::string hash;

  friend bool operator==(const ChainedRecord&, const ChainedRecord&) = default;
};

/// A position in the chain: the sequence and the hash of a record.
struct ChainPoint {
  std::uint64_t sequence = 0;
  std::string hash;

  friend bool operator==(const ChainPoint&, const ChainPoint&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sequence, this->hash);
  }
};

/// Returns the point that precedes the first record of every chain.
ChainPoint ChainStart();

/// Returns the hash of a record that directly follows `previous` in the chain.
std::string ChainHash(const ChainPoint& previous, const Record& record);

/// The result of verifying a chain.
struct ChainVerdict {
  bool intact = true;
  /// The sequence of the first record that is missing or wrong.
  std::uint64_t first_bad_sequence = 0;
  /// The fault and the remedy; empty when intact.
  std::string message;

  friend bool operator==(const ChainVerdict&, const ChainVerdict&) = default;
};

/// Verifies that the records directly follow `start`, are complete, unmodified and in order, and
/// end at `head`, which comes from the replicated state.
ChainVerdict VerifyChain(const ChainPoint& start, const std::vector<ChainedRecord>& records,
                         const ChainPoint& head);

/// Formats a record as one human-readable line.
std::string ToLine(const ChainedRecord& record);

/// The ended requests of one team and class, counted by outcome.
struct OutcomeCounts {
  std::uint64_t answered = 0;
  /// Refused and failed requests, counted by reason.
  std::map<RefusalKind, std::uint64_t> refused;
  std::map<RefusalKind, std::uint64_t> failed;
  std::uint64_t failed_entry_lost = 0;

  std::uint64_t TotalEnded() const;
  friend bool operator==(const OutcomeCounts&, const OutcomeCounts&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->answered, this->refused, this->failed, this->failed_entry_lost);
  }
};

/// A team and a class of its requests.
struct TeamClass {
  TeamId team;
  RequestClass request_class = RequestClass::kCaption;

  friend auto operator<=>(const TeamClass&,
                          const TeamClass&) = default;  // NOLINT(modernize-use-nullptr)
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->team, this->request_class);
  }
};

/// A team and a model version that the team was billed for.
struct BillingKey {
  TeamId team;
  ModelVersion model_version;

  friend auto operator<=>(const BillingKey&,
                          const BillingKey&) = default;  // NOLINT(modernize-use-nullptr)
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->team, this->model_version);
  }
};

/// Sums of billing lines.
struct BillingTotals {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  std::uint64_t cost = 0;

  friend bool operator==(const BillingTotals&, const BillingTotals&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->requests, this->prompt_tokens, this->generated_tokens, this->cost);
  }
};

/// Sums over the records of a chain.
struct ChainTotals {
  std::map<TeamClass, OutcomeCounts> outcomes;
  std::map<BillingKey, BillingTotals> billing;

  void Add(const Record& record);
  friend bool operator==(const ChainTotals&, const ChainTotals&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->outcomes, this->billing);
  }
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_RECORDS_H_
