// What comes back from the sidecars: frames, their order, and the relay to the caller.

#include <utility>

#include "entry/request_runner.h"

namespace masticrill::entry {
namespace {

constexpr std::string_view kDoneMark = "[DONE]";
constexpr std::size_t kMaxKeptBytes = std::size_t{16} << 20;

routing::AttemptRefusal ToAttemptRefusal(net::AttemptRefusalCode code) {
  switch (code) {
    case net::AttemptRefusalCode::kFull:
      return routing::AttemptRefusal::kFull;
    case net::AttemptRefusalCode::kNotAllowed:
      return routing::AttemptRefusal::kNotAllowed;
    case net::AttemptRefusalCode::kWithdrawn:
      return routing::AttemptRefusal::kWithdrawn;
    case net::AttemptRefusalCode::kNoLease:
      return routing::AttemptRefusal::kNoLease;
    case net::AttemptRefusalCode::kDeadline:
      return routing::AttemptRefusal::kDeadline;
    case net::AttemptRefusalCode::kStopping:
    case net::AttemptRefusalCode::kOutOfService:
    case net::AttemptRefusalCode::kCancelled:
    case net::AttemptRefusalCode::kDuplicate:
    case net::AttemptRefusalCode::kMalformed:
      break;
  }
  return routing::AttemptRefusal::kStopping;
}

}  // namespace

void RequestRunner::OnFrame(AttemptAnswer& attempt, const net::Frame& frame) {
  const bool understood = HandleErrors(
      [&]() -> Result<bool> {
        switch (frame.type) {
          case net::MessageType::kAttemptStarted:
            return true;
          case net::MessageType::kAttemptChunk: {
            BOOST_LEAF_AUTO(chunk, net::DecodePayload<net::AttemptChunk>(frame.payload));
            this->OnChunk(attempt, chunk);
            return true;
          }
          case net::MessageType::kAttemptEnd: {
            BOOST_LEAF_AUTO(end, net::DecodePayload<net::AttemptEnd>(frame.payload));
            this->services.links->OnLoad(end.load);
            this->OnEnd(attempt, end);
            return true;
          }
          case net::MessageType::kAttemptRefused: {
            BOOST_LEAF_AUTO(refused, net::DecodePayload<net::AttemptRefused>(frame.payload));
            this->services.links->OnLoad(refused.load);
            this->OnRefused(attempt, refused);
            return true;
          }
          default:
            return false;
        }
      },
      [](const Error&) { return false; });
  if (!understood) {
    this->OnLost(attempt);
  }
}

void RequestRunner::OnChunk(AttemptAnswer& attempt, const net::AttemptChunk& chunk) {
  if (chunk.attempt != attempt.id) {
    return;
  }
  const AttemptNumber number = attempt.Order().attempt;
  switch (attempt.Take(chunk)) {
    case AttemptAnswer::ChunkVerdict::kRepeated:
      return;
    case AttemptAnswer::ChunkVerdict::kGap:
      attempt.client->Send(*attempt.exchange, net::CancelAttempt{attempt.id});
      this->OnLost(attempt);
      return;
    case AttemptAnswer::ChunkVerdict::kNext:
      break;
  }
  if (!chunk.data.empty()) {
    if (!this->first_token_after) {
      this->first_token_after = this->services.clock.Now() - this->request.traits.received;
      this->services.metrics.first_token.Record(*this->first_token_after);
    }
    this->Raise(routing::FirstTokenReceived{number});
  }
  if (!this->Relay(attempt, chunk.data)) {
    this->caller_left = true;
  }
}

/// Sends a part of a streamed answer on, or keeps it. The last event is always kept: it goes out
/// when the request has been billed. Returns false when the caller is gone.
bool RequestRunner::Relay(AttemptAnswer& attempt, const std::string& data) {
  const bool streams = this->request.stream && attempt.Order().stream_to_caller &&
                       attempt.IsEventStream() && attempt.HttpStatus() == 200;
  const bool last = data.find(kDoneMark) != std::string::npos;
  if (!streams || last) {
    if (attempt.kept.size() + data.size() <= kMaxKeptBytes) {
      attempt.kept += data;
    }
    return true;
  }
  if (!this->responder.Begun()) {
    this->labels.version = attempt.Order().version;
    std::vector<net::HeaderField> headers = LabelHeaders(this->labels);
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Cache-Control", "no-cache"});
    if (!this->responder.BeginStream(attempt.HttpStatus(), headers)) {
      return false;
    }
  }
  ++attempt.events;
  if (attempt.Order().at_most_once && attempt.given.size() <= kMaxKeptBytes) {
    attempt.given += data;
  }
  return this->responder.Write(data);
}

void RequestRunner::OnEnd(AttemptAnswer& attempt, const net::AttemptEnd& end) {
  if (end.attempt != attempt.id) {
    return;
  }
  const AttemptNumber number = attempt.Order().attempt;
  attempt.prompt_tokens = end.prompt_tokens;
  attempt.generated_tokens = end.generated_tokens;
  attempt.client->Finish(*attempt.exchange);
  switch (end.outcome) {
    case net::AttemptOutcome::kAnswered:
      if (attempt.Complete(end)) {
        this->Raise(
            routing::AttemptFinished{number, static_cast<std::uint32_t>(end.generated_tokens)});
      } else {
        this->OnLost(attempt);
      }
      return;
    case net::AttemptOutcome::kUpstreamError:
    case net::AttemptOutcome::kUpstreamOverloaded:
      this->Raise(routing::AttemptFailed{number, routing::AttemptOutcome::kFailed, true});
      return;
    case net::AttemptOutcome::kTimeout:
      this->Raise(routing::AttemptFailed{number, routing::AttemptOutcome::kTimedOut, false});
      return;
    case net::AttemptOutcome::kConnectFailed:
      this->Raise(routing::AttemptFailed{number, routing::AttemptOutcome::kUnreachable, false});
      return;
    case net::AttemptOutcome::kReset:
    case net::AttemptOutcome::kCancelled:
      this->OnLost(attempt);
      return;
  }
}

void RequestRunner::OnRefused(const AttemptAnswer& attempt, const net::AttemptRefused& refused) {
  if (refused.attempt != attempt.id) {
    return;
  }
  const AttemptNumber number = attempt.Order().attempt;
  attempt.client->Finish(*attempt.exchange);
  if (refused.code == net::AttemptRefusalCode::kDuplicate) {
    this->Raise(routing::AttemptFailed{number, routing::AttemptOutcome::kBroken, false});
    return;
  }
  std::optional<milliseconds> retry_after;
  if (refused.retry_after_ms > 0) {
    retry_after = milliseconds(refused.retry_after_ms);
  }
  this->Raise(routing::AttemptRefused{number, ToAttemptRefusal(refused.code), retry_after});
}

/// The connection or the stream broke: how far the attempt came is not known here.
void RequestRunner::OnLost(AttemptAnswer& attempt) {
  attempt.client->Finish(*attempt.exchange);
  const AttemptNumber number = attempt.Order().attempt;
  if (attempt.events > 0) {
    const std::uint32_t offset = attempt.Order().resume_offset + attempt.events;
    this->Raise(routing::StreamBroken{number, offset});
  } else {
    this->Raise(routing::AttemptFailed{number, routing::AttemptOutcome::kBroken, false});
  }
}

}  // namespace masticrill::entry
