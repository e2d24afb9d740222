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

/// Bounds of the replicated state. They decide results, so they are equal on all replicas; a
/// snapshot made under other limits is refused.
struct Limits {
  /// How long a key, a pin and a patch id are remembered, by the times of the commands.
  std::int64_t claim_window_ms = 24LL * 3600 * 1000;
  std::int64_t pin_window_ms = 24LL * 3600 * 1000;
  std::int64_t patch_window_ms = 24LL * 3600 * 1000;
  /// How long after its receipt a request can be billed. Repeats are told for at least as long.
  std::int64_t charge_window_ms = 2LL * 3600 * 1000;
  std::uint64_t max_claims = 200'000;
  std::uint64_t max_pins = 500'000;
  std::uint64_t max_charges = 2'000'000;
  /// Accepted changes whose results are kept inside the window.
  std::uint64_t max_patch_results = 16'384;
  /// Refused changes whose results are kept; the oldest goes first.
  std::uint64_t max_refused_patch_results = 1024;
  /// Configurations that can be rolled back to and sent as patches.
  std::uint64_t max_history = 1000;
  std::uint64_t max_history_bytes = std::uint64_t{8} << 20;
  /// Records of the outcome log kept in memory. Older ones are in the files of the control hosts.
  std::uint64_t max_retained_records = 65'536;
  std::uint64_t max_incarnations = 8192;
  /// Bytes of a recorded answer's body.
  std::uint64_t max_answer_bytes = std::uint64_t{64} << 10;
  /// Bytes of all recorded answers' bodies together. Beyond it only the status is recorded.
  std::uint64_t max_total_answer_bytes = std::uint64_t{256} << 20;
  std::uint64_t max_trace_steps = 32;
  /// Bytes of an identifier in a command.
  std::uint64_t max_identifier_bytes = 256;
  /// The most that one command moves the state's time forward.
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

enum class ChangeKind : std::uint8_t { kPatch, kRollback };

/// One accepted change of the configuration.
struct HistoryEntry {
  config::Number number = 0;
  ChangeKind kind = ChangeKind::kPatch;
  PatchId patch_id;
  OperatorId author;
  std::string reason;
  WallTimeMs at = 0;
  /// The merge patch from the number before, and the one back to it.
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

/// Sums of the ledger, and what was not billed as reported.
struct LedgerTotals {
  std::map<TeamClass, RequestBalance> requests;
  std::map<BillingKey, BillingTotals> billing;
  std::uint64_t repeated_charges = 0;
  std::uint64_t charge_discrepancies = 0;
  std::uint64_t late_charges = 0;

  friend bool operator==(const LedgerTotals&, const LedgerTotals&) = default;
};

/// How many records each table holds.
struct StateSizes {
  std::size_t claims = 0;
  std::size_t pins = 0;
  std::size_t charges = 0;
  std::size_t patch_results = 0;
  std::size_t history = 0;
  std::size_t incarnations = 0;
  std::size_t retained_records = 0;
};

/// Everything that the control replicas agree on. The same commands in the same order give equal
/// snapshots on every replica.
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
  /// returns its result; an earlier index is rejected. Neither changes anything.
  std::string Apply(std::uint64_t index, std::string_view command);

  std::string Snapshot() const;
  /// Replaces the state. A snapshot that cannot be read leaves the state as it was.
  Result<void> TryRestore(std::string_view snapshot);
  /// As TryRestore, but stops the process when the snapshot cannot be read: a replica must not go
  /// on with another state than its peers'.
  void Restore(std::string_view snapshot);

  std::uint64_t LastIndex() const;

  config::ConfigurationPtr Configuration() const;
  config::NumberedDocument Document() const;
  /// The accepted changes that are still kept, oldest first.
  std::vector<HistoryEntry> History() const;
  /// What a node at that number needs to get to the current one.
  config::ConfigurationDelta DeltaFrom(config::Number known) const;

  /// The state of a claim: kInProgress when open.
  std::optional<ClaimResult> FindClaim(const ClaimKey& key) const;
  std::optional<PinResult> FindPin(const PinKey& key) const;
  std::optional<ChargeLine> FindCharge(const RequestId& request) const;

  LedgerTotals Totals() const;
  /// The last record of the outcome log.
  ChainPoint ChainHead() const;
  /// Kept records after that sequence, oldest first, at most `limit`. A control host's writer calls
  /// it to append the log to files.
  std::vector<ChainedRecord> RecordsAfter(std::uint64_t sequence, std::size_t limit) const;
  /// Verifies the kept part of the chain, and that the totals equal the sums of the records.
  ChainVerdict VerifyLedger() const;
  /// What is known of a request, as lines for people: its claim, charge and outcomes.
  std::vector<std::string> Explain(const RequestId& request) const;

  StateSizes Sizes() const;

 private:
  struct Shards;
  std::unique_ptr<Shards> shards;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_REPLICATED_STATE_H_
