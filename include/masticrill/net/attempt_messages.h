#ifndef MASTICRILL_NET_ATTEMPT_MESSAGES_H_
#define MASTICRILL_NET_ATTEMPT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"
#include "masticrill/net/header_field.h"
#include "masticrill/net/message_type.h"

namespace masticrill::net {

/// Entry to sidecar: run this attempt. The frames of the answer carry the same correlation number.
struct AttemptRequest {
  static constexpr MessageType kType = MessageType::kAttemptRequest;
  AttemptId attempt;
  RequestId request;
  TeamId team;
  RequestClass request_class = RequestClass::kTag;
  /// Set for a model engine.
  std::optional<ModelVersion> model_version;
  /// Set for a plain service.
  std::optional<ServiceId> service;
  bool at_most_once = false;
  /// The sidecar's incarnation that the claim names; set with at_most_once.
  IncarnationId incarnation;
  bool stream = false;
  /// Time left until the request's deadline when the entry sent this, in milliseconds.
  std::int64_t deadline_left_ms = 0;
  std::uint64_t configuration_number = 0;
  std::uint32_t expected_tokens = 0;
  /// Tokens that the caller has already received; the upstream goes on behind them.
  std::uint64_t resume_offset = 0;
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->request, this->team, this->request_class, this->model_version,
            this->service, this->at_most_once, this->incarnation, this->stream,
            this->deadline_left_ms, this->configuration_number, this->expected_tokens,
            this->resume_offset, this->method, this->path, this->headers, this->body);
  }
};

/// Sidecar to entry: the attempt was handed to the upstream.
struct AttemptStarted {
  static constexpr MessageType kType = MessageType::kAttemptStarted;
  AttemptId attempt;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt);
  }
};

/// Sidecar to entry: a part of the answer. Sequence numbers count from 0 without gaps.
struct AttemptChunk {
  static constexpr MessageType kType = MessageType::kAttemptChunk;
  AttemptId attempt;
  std::uint64_t sequence = 0;
  /// Status code and header fields of the upstream's answer, in chunk 0 only.
  int http_status = 0;
  std::vector<HeaderField> headers;
  std::string data;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->sequence, this->http_status, this->headers, this->data);
  }
};

/// How busy an upstream is, as its sidecar sees it.
struct LoadReport {
  UpstreamId upstream;
  /// The incarnation to name in new claims.
  IncarnationId incarnation;
  /// When the process started, in milliseconds since the Unix epoch: grows with each start.
  std::uint64_t started_at_ms = 0;
  std::uint64_t sequence = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  bool cold = false;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->upstream, this->incarnation, this->started_at_ms, this->sequence, this->in_flight,
            this->queued, this->limit, this->cold);
  }
};

/// How an attempt that was handed over ended at the upstream.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,
  kUpstreamError,
  kUpstreamOverloaded,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
};

/// Sidecar to entry: the attempt ended after it was handed over.
struct AttemptEnd {
  static constexpr MessageType kType = MessageType::kAttemptEnd;
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  /// How many chunks went before; a smaller count received means a gap.
  std::uint64_t chunk_count = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  std::string message;
  LoadReport load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->outcome, this->chunk_count, this->prompt_tokens,
            this->generated_tokens, this->message, this->load);
  }
};

/// Why a sidecar did not start an attempt, as far as the entry acts on it.
enum class AttemptRefusalCode : std::uint8_t {
  kFull,
  kStopping,
  kOutOfService,
  kNotAllowed,
  kWithdrawn,
  kNoLease,
  kDeadline,
  kCancelled,
  /// The attempt was sent before. Its state is told by a fence request only.
  kDuplicate,
  kMalformed,
};

/// Sidecar to entry: the attempt was not started and, but for kDuplicate, never will be.
struct AttemptRefused {
  static constexpr MessageType kType = MessageType::kAttemptRefused;
  AttemptId attempt;
  AttemptRefusalCode code = AttemptRefusalCode::kFull;
  /// The sidecar's reason by name, for logs.
  std::string reason;
  /// 0 when waiting does not help.
  std::int64_t retry_after_ms = 0;
  LoadReport load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->code, this->reason, this->retry_after_ms, this->load);
  }
};

/// Entry to sidecar: nobody waits for this attempt any more.
struct CancelAttempt {
  static constexpr MessageType kType = MessageType::kCancelAttempt;
  AttemptId attempt;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt);
  }
};

/// Entry to sidecar: if this attempt has not started, never start it. Say what became of it.
struct FenceRequest {
  static constexpr MessageType kType = MessageType::kFenceRequest;
  AttemptId attempt;
  /// The incarnation that the attempt was sent to.
  IncarnationId incarnation;
  bool at_most_once = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->incarnation, this->at_most_once);
  }
};

enum class FenceStatus : std::uint8_t { kNeverStarted, kRunning, kDone, kUnknownIncarnation };

struct FenceReply {
  static constexpr MessageType kType = MessageType::kFenceReply;
  FenceStatus status = FenceStatus::kUnknownIncarnation;
  /// With kDone: how it ended, and the answer where it was kept.
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  bool answer_kept = false;
  int http_status = 0;
  std::string content_type;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->outcome, this->answer_kept, this->http_status, this->content_type,
            this->body);
  }
};

/// Entry to sidecar: the ledger has the charge of these attempts' request, or there is none.
struct AcknowledgeReceipts {
  static constexpr MessageType kType = MessageType::kAcknowledgeReceipts;
  std::vector<AttemptId> attempts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->attempts);
  }
};

/// Entry to sidecar: subscribe to load reports; the first comes at once.
struct LoadRequest {
  static constexpr MessageType kType = MessageType::kLoadRequest;
  NodeId node;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node);
  }
};

struct LoadReply {
  static constexpr MessageType kType = MessageType::kLoadReply;
  LoadReport load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->load);
  }
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_ATTEMPT_MESSAGES_H_
