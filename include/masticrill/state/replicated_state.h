#ifndef MASTICRILL_STATE_REPLICATED_STATE_H_
#define MASTICRILL_STATE_REPLICATED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/result.h"
#include "masticrill/config/configuration.h"
#include "masticrill/config/delta.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/records.h"
#include "masticrill/state/results.h"

namespace masticrill::state {

/// Limits of the replicated state. They affect the results of commands, so they must be equal on
/// all replicas; a snapshot made under other limits is refused.
struct Limits {
  /// How long claims, closed incarnations, pins and patch results are kept, in the state's time.
  std::int64_t claim_window_ms = 24LL * 3600 * 1000;
  std::int64_t pin_window_ms = 24LL * 3600 * 1000;
  std::int64_t patch_window_ms = 24LL * 3600 * 1000;
  /// How long after its receipt a request can be billed. Repeated charges are recognized for at
  /// least as long.
  std::int64_t charge_window_ms = 2LL * 3600 * 1000;
  std::uint64_t max_claims = 200'000;
  std::uint64_t max_pins = 500'000;
  std::uint64_t max_charges = 2'000'000;
  /// The maximum number of accepted changes within the patch window. All their results are kept;
  /// further changes are refused.
  std::uint64_t max_patch_results = 16'384;
  /// Refused changes whose results are kept; the oldest is dropped first.
  std::uint64_t max_refused_patch_results = 1024;
  /// Earlier configurations that are kept for rollbacks and for deltas to nodes.
  std::uint64_t max_history = 1000;
  std::uint64_t max_history_bytes = std::uint64_t{8} << 20;
  /// Records of the outcome log kept in memory. Older records are in the files of the control
  /// hosts.
  std::uint64_t max_retained_records = 65'536;
  std::uint64_t max_incarnations = 8192;
  /// Bytes of a recorded answer's body. Larger bodies are not recorded.
  std::uint64_t max_answer_bytes = std::uint64_t{64} << 10;
  /// Bytes of all recorded answers' bodies together. Further bodies are not recorded.
  std::uint64_t max_total_answer_bytes = std::uint64_t{256} << 20;
  std::uint64_t max_trace_steps = 32;
  /// Bytes of an identifier in a command.
  std::uint64_t max_identifier_bytes = 256;
  /// The maximum by which one command advances the time of the state.
  std::int64_t max_clock_step_ms = 60'000;

  friend bool operator==(const Limits&, const Limits&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->claim_window_ms, this->pin_window_ms, this->patch_window_ms,
            this->charge_window_ms, this->max_claims, this->max_pins, this->max_charges,
            this->max_patch_results, this->max_refused_patch_results, this->max_history,
            this->max_history_bytes, this->max_retained_records, this->max_incarnations,
            this->max_answer_bytes, this->max_total_answer_bytes, this->max_trace_steps,
            this->max_identifier_bytes, this->max_clock_step_ms);
  }
};

enum class ChangeKind : std::uint8_t { kPatch, kRollback, kDeclaration };

/// One accepted change of the configuration.
struct HistoryEntry {
  config::Number number = 0;
  ChangeKind kind = ChangeKind::kPatch;
  PatchId patch_id;
  OperatorId author;
  std::string reason;
  WallTimeMs at = 0;
  /// The merge patch from the previous document to this one, and the reverse patch.
  std::string patch;
  std::string reverse_patch;

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->kind, this->patch_id, this->author, this->reason, this->at,
            this->patch, this->reverse_patch);
  }
};

/// Requests of one team and class: received = answered + refused + failed + open.
struct RequestBalance {
  std::uint64_t received = 0;
  OutcomeCounts ended;
  std::uint64_t open = 0;

  friend bool operator==(const RequestBalance&, const RequestBalance&) = default;
};

/// The totals of the ledger, and the counts of charges that were not billed.
struct LedgerTotals {
  std::map<TeamClass, RequestBalance> requests;
  std::map<BillingKey, BillingTotals> billing;
  std::uint64_t repeated_charges = 0;
  std::uint64_t charge_discrepancies = 0;
  std::uint64_t late_charges = 0;

  friend bool operator==(const LedgerTotals&, const LedgerTotals&) = default;
};

/// What a node lacks of the current configuration.
struct ConfigurationUpdate {
  config::ConfigurationDelta document;
  /// Its digest is empty, and nothing is needed, where the text stands in the document.
  config::TextUpdate text;
};

/// The number of records in each table.
struct StateSizes {
  std::size_t claims = 0;
  std::size_t pins = 0;
  std::size_t charges = 0;
  std::size_t patch_results = 0;
  std::size_t history = 0;
  std::size_t incarnations = 0;
  std::size_t retained_records = 0;
};

/// The state machine that the control replicas replicate. The same commands in the same order give
/// equal snapshots on every replica.
///
/// Apply, Restore and Snapshot are called by one thread at a time. The other functions may be
/// called by any thread: configuration, claims, pins and ledger are shards, each under its own
/// lock.
class ReplicatedState {
 public:
  explicit ReplicatedState(const Limits& limits = {});
  ~ReplicatedState();
  ReplicatedState(const ReplicatedState&) = delete;
  ReplicatedState& operator=(const ReplicatedState&) = delete;

  /// Applies an encoded command and returns the encoded result. Applying the last index again
  /// returns its result; an earlier index is rejected. Neither changes the state.
  std::string Apply(std::uint64_t index, std::string_view command);

  std::string Snapshot() const;
  /// Replaces the state. An error leaves the state unchanged.
  Result<void> TryRestore(std::string_view snapshot);
  /// Like TryRestore, but aborts the process on an error, because a replica must not continue with
  /// a state that differs from that of its peers.
  void Restore(std::string_view snapshot);

  std::uint64_t LastIndex() const;

  config::ConfigurationPtr Configuration() const;
  config::NumberedDocument Document() const;
  /// The accepted changes that are still kept, oldest first.
  std::vector<HistoryEntry> History() const;
  /// Returns the patches, or the full document, that bring a node from the configuration `known`
  /// to the current one.
  config::ConfigurationDelta DeltaFrom(config::Number known) const;
  /// Whether the text of the declaration is kept apart from the document, and changed by
  /// ChangeDeclaration only.
  bool KeepsTextApart() const;
  /// The whole current document with the text of the declaration in it.
  Result<config::ConfigurationDelta> WholeDelta() const;
  /// What brings a node from the configuration `known`, and from the text of the declaration with
  /// that digest, to the current ones.
  ConfigurationUpdate UpdateFrom(config::Number known, const std::string& known_digest) const;

  /// Returns the state of a claim; kInProgress when the claim is open.
  std::optional<ClaimResult> FindClaim(const ClaimKey& key) const;
  std::optional<PinResult> FindPin(const PinKey& key) const;
  std::optional<ChargeLine> FindCharge(const RequestId& request) const;

  LedgerTotals Totals() const;
  /// The position of the last record of the outcome log.
  ChainPoint ChainHead() const;
  /// Returns the retained records after `sequence`, oldest first, at most `limit`. Control hosts
  /// append these records to the files of the outcome log.
  std::vector<ChainedRecord> RecordsAfter(std::uint64_t sequence, std::size_t limit) const;
  /// Verifies the retained part of the chain, its totals, and the open requests of the entries.
  ChainVerdict VerifyLedger() const;
  /// Returns the claims, the charge and the outcomes of a request as human-readable lines.
  std::vector<std::string> Explain(const RequestId& request) const;

  StateSizes Sizes() const;

 private:
  struct Shards;
  std::unique_ptr<Shards> shards;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_REPLICATED_STATE_H_
