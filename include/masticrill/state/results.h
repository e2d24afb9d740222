#ifndef MASTICRILL_STATE_RESULTS_H_
#define MASTICRILL_STATE_RESULTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "masticrill/common/error.h"
#include "masticrill/config/configuration.h"
#include "masticrill/state/commands.h"

/// The results of the commands of the replicated state.
namespace masticrill::state {

/// The result of a command that had no effect, because it was malformed, exceeded a limit, or had
/// a log index that was applied before.
struct RejectedCommand {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;

  friend bool operator==(const RejectedCommand&, const RejectedCommand&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->message);
  }
};

enum class PatchStatus : std::uint8_t {
  kAccepted,
  kStale,       // The expected number is not the current one.
  kInvalid,     // The document would be invalid.
  kIdConflict,  // The patch id was used with another change.
  kFull,        // Too many changes were accepted within the window; retry later.
};

/// The result of a change of configuration. A resend within the window gets the first result.
struct PatchResult {
  PatchStatus status = PatchStatus::kInvalid;
  /// The new number when accepted, else the current one.
  config::Number number = 0;
  /// JSON path, fault and remedy; empty when accepted.
  std::string message;

  friend bool operator==(const PatchResult&, const PatchResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->number, this->message);
  }
};

enum class ClaimStatus : std::uint8_t {
  kGranted,         // The attempt of the command holds the claim and may be handed over.
  kInProgress,      // Another attempt holds the claim; see `holder`.
  kAnswered,        // The request was answered; see `answer`.
  kConflict,        // The key was used with another request.
  kOutcomeUnknown,  // The request may have run. It is never run again under this key.
  kReleased,        // The request did not run, and the released attempt must never run.
  kNotFound,        // The claim was never opened, or its window has expired.
  kFull,            // The table is full; nothing was claimed.
};

/// The state of a claim after a command.
struct ClaimResult {
  ClaimStatus status = ClaimStatus::kNotFound;
  ClaimHolder holder;
  RecordedAnswer answer;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->holder, this->answer);
  }
};

enum class PinStatus : std::uint8_t {
  kPinned,           // The session's version is `version`.
  kWithdrawn,        // The session's version, or the requested one, takes no new requests.
  kRepinNotAllowed,  // The team's setting forbids the move, or the pin was moved before.
  kNotPinned,        // The session has no pin to move.
  kFull,             // The table is full; nothing was pinned.
};

struct PinResult {
  PinStatus status = PinStatus::kNotPinned;
  /// The version that the session is pinned to, also when that version was withdrawn. Without a
  /// pin, kWithdrawn names the requested version.
  VersionId version;

  friend bool operator==(const PinResult&, const PinResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->version);
  }
};

enum class ChargeStatus : std::uint8_t {
  kCharged,      // Billed by this command.
  kRepeated,     // Billed before with the same content. The sender drops the line.
  kDiscrepancy,  // Billed before with other content, which is kept. The sender drops the line.
  kTooLate,      // Not billed: received outside the window in which repeats are recognized.
  kFull,         // Not billed, a table is full. The sender keeps the line and resends it.
};

struct ChargeResult {
  ChargeStatus status = ChargeStatus::kFull;

  friend bool operator==(const ChargeResult&, const ChargeResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status);
  }
};

enum class ReportStatus : std::uint8_t {
  kRecorded,
  kRepeated,      // Recorded before.
  kGap,           // An earlier report is missing; see `next_report`.
  kClosed,        // The incarnation was closed; its open requests were recorded as failed.
  kInconsistent,  // Counts went down, or more requests ended than were received. Nothing recorded.
  kTooLarge,      // A text or list is too long, or an enumerator is unknown. Nothing recorded.
  kFull,          // Too many incarnations.
};

struct ReportResult {
  ReportStatus status = ReportStatus::kInconsistent;
  /// The number that the next report must have.
  std::uint64_t next_report = 1;
  /// Requests recorded as failed when an incarnation was closed.
  std::uint64_t failed = 0;

  friend bool operator==(const ReportResult&, const ReportResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->next_report, this->failed);
  }
};

/// The encoded results of a batch, in its order.
struct BatchResult {
  std::vector<std::string> results;

  friend bool operator==(const BatchResult&, const BatchResult&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->results);
  }
};

/// New kinds are appended, because the position in this list is the kind's number on the wire.
using CommandResult = std::variant<RejectedCommand, PatchResult, ClaimResult, PinResult,
                                   ChargeResult, ReportResult, BatchResult>;

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_RESULTS_H_
