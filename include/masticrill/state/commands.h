#ifndef MASTICRILL_STATE_COMMANDS_H_
#define MASTICRILL_STATE_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/error.h"
#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"
#include "masticrill/config/configuration.h"
#include "masticrill/config/text_delta.h"
#include "masticrill/state/records.h"

/// The commands of the replicated state. Each carries `at`, the wall time at which the leader
/// proposed it; the state never reads a clock.
namespace masticrill::state {

/// The Idempotency-Key that an operator sends with a change of the configuration.
using PatchId = Name<struct PatchTag>;

/// Patches the configuration if `expected_number` is still its number.
struct PatchConfiguration {
  PatchId patch_id;
  config::Number expected_number = 0;
  /// A JSON Merge Patch (RFC 7396).
  std::string merge_patch;
  OperatorId author;
  std::string reason;
  WallTimeMs at = 0;

  friend bool operator==(const PatchConfiguration&, const PatchConfiguration&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->patch_id, this->expected_number, this->merge_patch, this->author, this->reason,
            this->at);
  }
};

/// Restores the document of the earlier configuration `to_number` under a new number.
struct RollbackConfiguration {
  PatchId patch_id;
  config::Number expected_number = 0;
  config::Number to_number = 0;
  OperatorId author;
  std::string reason;
  WallTimeMs at = 0;

  friend bool operator==(const RollbackConfiguration&, const RollbackConfiguration&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->patch_id, this->expected_number, this->to_number, this->author, this->reason,
            this->at);
  }
};

/// The attempt that may run a request that must run at most once, bound to one incarnation of one
/// sidecar.
struct ClaimHolder {
  RequestId request;
  AttemptId attempt;
  UpstreamId upstream;
  IncarnationId sidecar_incarnation;

  friend bool operator==(const ClaimHolder&, const ClaimHolder&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->request, this->attempt, this->upstream, this->sidecar_incarnation);
  }
};

/// An idempotency key within its team.
struct ClaimKey {
  TeamId team;
  IdempotencyKey key;

  friend auto operator<=>(const ClaimKey&,
                          const ClaimKey&) = default;  // NOLINT(modernize-use-nullptr)
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->team, this->key);
  }
};

/// Claims a key for an attempt, before the attempt is handed over.
struct OpenClaim {
  ClaimKey claim;
  /// SHA-256 of the method, the path and the body.
  std::string body_hash;
  ClaimHolder holder;
  WallTimeMs at = 0;

  friend bool operator==(const OpenClaim&, const OpenClaim&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->body_hash, this->holder, this->at);
  }
};

/// Moves an open claim to a new attempt. Sent only after the sidecar named by the claim fenced the
/// old attempt and reported that it never started.
struct ReassignClaim {
  ClaimKey claim;
  AttemptId fenced_attempt;
  ClaimHolder holder;
  WallTimeMs at = 0;

  friend bool operator==(const ReassignClaim&, const ReassignClaim&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->fenced_attempt, this->holder, this->at);
  }
};

/// The answer to a request, stored for resends with the same key.
struct RecordedAnswer {
  std::uint32_t http_status = 0;
  std::string content_type;
  std::string body;
  /// False when the body exceeded a limit and was not stored.
  bool body_kept = true;

  friend bool operator==(const RecordedAnswer&, const RecordedAnswer&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->http_status, this->content_type, this->body, this->body_kept);
  }
};

enum class ClaimResolution : std::uint8_t {
  kAnswered,
  kReleased,        // Not run: never handed over, or fenced before it started.
  kOutcomeUnknown,  // Handed over, and the sidecar no longer knows whether it ran.
};

/// Ends a claim. Only the first resolution by the attempt that holds the claim takes effect.
struct ResolveClaim {
  ClaimKey claim;
  AttemptId attempt;
  ClaimResolution resolution = ClaimResolution::kOutcomeUnknown;
  /// Set for kAnswered only.
  RecordedAnswer answer;
  WallTimeMs at = 0;

  friend bool operator==(const ResolveClaim&, const ResolveClaim&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->attempt, this->resolution, this->answer, this->at);
  }
};

/// Identifies a pin: the use of one model by one session of a team.
struct PinKey {
  TeamId team;
  SessionId session;
  ModelId model;

  friend auto operator<=>(const PinKey&, const PinKey&) = default;  // NOLINT(modernize-use-nullptr)
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->team, this->session, this->model);
  }
};

/// Pins a session to a version, or extends its pin. A pinned session keeps its version.
struct PinSession {
  PinKey pin;
  VersionId version;
  WallTimeMs at = 0;

  friend bool operator==(const PinSession&, const PinSession&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->pin, this->version, this->at);
  }
};

/// Moves a pin from a withdrawn version to another one. Allowed once for each pin.
struct RepinSession {
  PinKey pin;
  VersionId from;
  VersionId to;
  WallTimeMs at = 0;

  friend bool operator==(const RepinSession&, const RepinSession&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->pin, this->from, this->to, this->at);
  }
};

/// Bills a request.
struct Charge {
  ChargeLine line;
  WallTimeMs at = 0;

  friend bool operator==(const Charge&, const Charge&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->line, this->at);
  }
};

/// The number of requests of one team and class that an entry received since it started.
struct ReceivedCount {
  TeamClass team_class;
  std::uint64_t received = 0;

  friend bool operator==(const ReceivedCount&, const ReceivedCount&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->team_class, this->received);
  }
};

/// A report of an entry: how many requests it received, and the outcomes since its last report.
/// Reports of one incarnation are numbered from 1 without gaps; a resend has the same number and
/// the same content.
struct RecordOutcomes {
  NodeId entry;
  IncarnationId incarnation;
  std::uint64_t report = 0;
  std::vector<ReceivedCount> received;
  std::vector<Outcome> outcomes;
  WallTimeMs at = 0;

  friend bool operator==(const RecordOutcomes&, const RecordOutcomes&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->entry, this->incarnation, this->report, this->received, this->outcomes, this->at);
  }
};

/// Closes an incarnation of an entry that was stopped or lost. Its open requests are recorded as
/// failed, once.
struct CloseIncarnation {
  NodeId entry;
  IncarnationId incarnation;
  WallTimeMs at = 0;

  friend bool operator==(const CloseIncarnation&, const CloseIncarnation&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->entry, this->incarnation, this->at);
  }
};

/// Several encoded commands in one log entry, applied in order. A batch must not contain a batch.
struct Batch {
  std::vector<std::string> commands;

  friend bool operator==(const Batch&, const Batch&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->commands);
  }
};

/// Changes the text of the declaration if it is still the one that the change was made from, and
/// its revision is lower. Other changes of the configuration do not interfere. From the first such
/// command on, the text is kept apart from the document.
struct ChangeDeclaration {
  PatchId patch_id;
  std::uint64_t revision = 0;
  config::TextDelta change;
  OperatorId author;
  std::string reason;
  WallTimeMs at = 0;

  friend bool operator==(const ChangeDeclaration&, const ChangeDeclaration&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->patch_id, this->revision, this->change, this->author, this->reason, this->at);
  }
};

/// New kinds are appended, because the position in this list is the kind's number in the log.
using Command = std::variant<PatchConfiguration, RollbackConfiguration, OpenClaim, ReassignClaim,
                             ResolveClaim, PinSession, RepinSession, Charge, RecordOutcomes,
                             CloseIncarnation, Batch, ChangeDeclaration>;

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_COMMANDS_H_
