#ifndef MASTICRILL_ENTRY_ATTEMPT_ANSWER_H_
#define MASTICRILL_ENTRY_ATTEMPT_ANSWER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/messages.h"
#include "masticrill/net/rpc_client.h"
#include "masticrill/routing/request_events.h"

namespace masticrill::entry {

/// What has come of the answer of one attempt.
class AttemptAnswer {
 public:
  explicit AttemptAnswer(const routing::Dispatch& dispatch) : dispatch(dispatch) {}

  enum class ChunkVerdict { kNext, kRepeated, kGap };

  /// Checks the place of a chunk and takes its head.
  ChunkVerdict Take(const net::AttemptChunk& chunk);
  /// Whether all chunks came that the end counts.
  bool Complete(const net::AttemptEnd& end) const { return end.chunk_count == this->next_sequence; }

  /// Takes the whole answer from the sidecar's record; what has gone to the caller is left out.
  void TakeRecorded(const net::FenceReply& reply);

  const routing::Dispatch& Order() const { return this->dispatch; }
  int HttpStatus() const { return this->http_status; }
  const std::vector<net::HeaderField>& Headers() const { return this->headers; }
  std::string ContentType() const;
  bool IsEventStream() const;

  /// Data kept for the end of the request.
  std::string kept;
  /// Data that has gone to the caller, of a request that may run at most once: resends get it too.
  std::string given;
  /// Events of the answer that have come.
  std::uint32_t events = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  AttemptId id;
  IncarnationId incarnation;
  std::shared_ptr<net::RpcClient> client;
  std::shared_ptr<net::Exchange> exchange;
  std::optional<TimePoint> hedge_due;
  std::optional<TimePoint> fence_due;

 private:
  routing::Dispatch dispatch;
  std::uint64_t next_sequence = 0;
  int http_status = 0;
  std::vector<net::HeaderField> headers;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_ATTEMPT_ANSWER_H_
