#include "gateway/upstream_attempt.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/result.h"

namespace masticrill::gateway {
namespace {

AttemptEnd ToAttemptEnd(net::IoEnd end) {
  switch (end) {
    case net::IoEnd::kWatchedLeft:
      return AttemptEnd::kCallerDisconnected;
    case net::IoEnd::kTimeout:
      return AttemptEnd::kTimeout;
    case net::IoEnd::kDone:
    case net::IoEnd::kReadable:
      return AttemptEnd::kAnswered;
    case net::IoEnd::kClosed:
    case net::IoEnd::kReset:
      break;
  }
  return AttemptEnd::kBroken;
}

constexpr int kFirstFinalStatus = 200;
constexpr std::size_t kMaxCopiedBodyBytes = 16'384;

bool IsSuccess(int status) {
  constexpr int kFirstRedirect = 300;
  return status >= kFirstFinalStatus && status < kFirstRedirect;
}

}  // namespace

std::string_view ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFinished:
      return "finished";
    case AttemptEnd::kNotConnected:
      return "not_connected";
    case AttemptEnd::kWithheld:
      return "withheld";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kSilent:
      return "silent";
    case AttemptEnd::kSlow:
      return "slow";
    case AttemptEnd::kTimeout:
      return "timeout";
    case AttemptEnd::kStopping:
      return "stopping";
    case AttemptEnd::kCallerDisconnected:
      return "caller_left";
  }
  return "broken";
}

UpstreamAttempt::UpstreamAttempt(const UpstreamPick& pick, const EdgeProtocol& protocol,
                                 UpstreamPool& pool, BufferBudget& buffers,
                                 const CallSettings& settings)
    : upstream(pick.upstream),
      waiting_work(pick.work),
      protocol(protocol),
      buffers(buffers),
      pool(pool),
      settings(settings) {}

UpstreamAttempt::~UpstreamAttempt() {
  if (this->stream != nullptr) {
    this->stream->Close();
  }
  this->pool.Release(this->upstream.id, this->waiting_work, this->verdict, this->clock.Now());
}

AttemptEnd UpstreamAttempt::Start(const net::RequestHead& request,
                                  const AttemptParameters& parameters, std::string_view body,
                                  const RequestId& id, const net::SocketStream& caller,
                                  const AttemptTimes& times) {
  if (this->stream == nullptr) {
    if (const AttemptEnd end = this->Connect(caller, times.deadline);
        end != AttemptEnd::kAnswered) {
      return end;
    }
  }
  // It may have asked for a pause, or said that it leaves, since it was chosen.
  if (!this->pool.MayStillSend(this->upstream.id, this->clock.Now()) ||
      (times.may_hand_over && !times.may_hand_over())) {
    return AttemptEnd::kWithheld;
  }
  if (const AttemptEnd end = this->HandOver(request, parameters, body, caller, times);
      end != AttemptEnd::kAnswered) {
    return end;
  }
  if (const AttemptEnd end = this->ReadHead(caller, times); end != AttemptEnd::kAnswered) {
    return end;
  }
  return this->CheckHead(id, request.method);
}

AttemptEnd UpstreamAttempt::Connect(const net::SocketStream& caller, TimePoint deadline) {
  const TimePoint connect_by =
      std::min(deadline, this->clock.Now() + Duration(this->settings.connect_timeout));
  net::IoEnd end = net::IoEnd::kDone;
  this->stream = net::SocketStream::Connect(this->upstream.address, connect_by, &caller, end);
  if (end == net::IoEnd::kWatchedLeft) {
    return AttemptEnd::kCallerDisconnected;
  }
  this->connection_refused = end == net::IoEnd::kReset;
  return this->stream == nullptr ? AttemptEnd::kNotConnected : AttemptEnd::kAnswered;
}

AttemptEnd UpstreamAttempt::HandOver(const net::RequestHead& request,
                                     const AttemptParameters& parameters, std::string_view body,
                                     const net::SocketStream& caller, const AttemptTimes& times) {
  net::RequestHead forwarded{request.method, request.target, true,
                             this->protocol.write_attempt(request, parameters)};
  if (!body.empty() || request.Header("Content-Length") || request.Header("Transfer-Encoding")) {
    forwarded.headers.push_back({"Content-Length", std::to_string(body.size())});
  }
  forwarded.headers.push_back({"Connection", "close"});
  std::string bytes = net::WriteRequestHead(forwarded);
  // A small body goes out in one packet with the head; a large one is not copied.
  const bool is_small = body.size() <= kMaxCopiedBodyBytes;
  if (is_small) {
    bytes.append(body);
  }
  this->started_at = this->clock.Now();
  this->last_received_at = this->started_at;
  this->handed_over = true;
  if (times.on_hand_over) {
    times.on_hand_over();
  }
  if (const AttemptEnd end = this->SendPart(bytes, caller, times);
      is_small || end != AttemptEnd::kAnswered || this->stream->Readable()) {
    return end;
  }
  return this->SendPart(body, caller, times);
}

/// Sends a part of the request. Ends early, with kAnswered, when the upstream answers meanwhile.
AttemptEnd UpstreamAttempt::SendPart(std::string_view bytes, const net::SocketStream& caller,
                                     const AttemptTimes& times) {
  std::string_view left = bytes;
  while (true) {
    const std::optional<TimePoint> stop_by = times.stop_by ? times.stop_by() : std::nullopt;
    const TimePoint now = this->clock.Now();
    if (stop_by && now >= *stop_by) {
      return AttemptEnd::kStopping;
    }
    const TimePoint write_until = std::min(
        {times.deadline, now + this->settings.stop_check, stop_by.value_or(TimePoint::max())});
    // An upstream may answer before it has read the whole body.
    const net::IoEnd end = this->stream->WriteFrom(left, write_until, &caller, true);
    if (end != net::IoEnd::kTimeout || this->clock.Now() >= times.deadline) {
      return ToAttemptEnd(end);
    }
  }
}

/// How the wait for an upstream that sends nothing ends now; absent when it goes on.
std::optional<AttemptEnd> UpstreamAttempt::CheckTimeouts(const AttemptTimes& times,
                                                         TimePoint now) const {
  if (now >= times.deadline) {
    return AttemptEnd::kTimeout;
  }
  if (!times.prepare_move) {
    return std::nullopt;
  }
  if (!this->answer_begun && now >= times.answer_by && times.prepare_move()) {
    return AttemptEnd::kSlow;
  }
  if (now - this->last_received_at >= times.max_silence &&
      this->pool.SilenceDuration(this->upstream.id, now) >= times.max_silence &&
      times.prepare_move()) {
    return AttemptEnd::kSilent;
  }
  return std::nullopt;
}

/// Waits for the next bytes, and checks at intervals whether the upstream is silent or slow.
AttemptEnd UpstreamAttempt::FillOnce(const net::SocketStream& caller, const AttemptTimes& times) {
  while (true) {
    // An upstream that never stops sending is not timed out by a wait for its next bytes.
    if (this->clock.Now() >= times.deadline) {
      return AttemptEnd::kTimeout;
    }
    const std::optional<TimePoint> stop_by = times.stop_by ? times.stop_by() : std::nullopt;
    if (stop_by && this->clock.Now() >= *stop_by) {
      return AttemptEnd::kStopping;
    }
    const Duration check =
        times.prepare_move ? this->settings.silence_check : this->settings.stop_check;
    const TimePoint wait_until =
        std::min({times.deadline, this->clock.Now() + check, stop_by.value_or(TimePoint::max())});
    const net::IoEnd end = this->stream->Fill(wait_until, &caller);
    const TimePoint now = this->clock.Now();
    if (end == net::IoEnd::kDone) {
      this->last_received_at = now;
      this->pool.OnBytesReceived(this->upstream.id, now);
      return AttemptEnd::kAnswered;
    }
    if (end != net::IoEnd::kTimeout) {
      this->connection_lost = end == net::IoEnd::kClosed || end == net::IoEnd::kReset;
      return end == net::IoEnd::kClosed ? AttemptEnd::kFinished : ToAttemptEnd(end);
    }
    if (const std::optional<AttemptEnd> expired = this->CheckTimeouts(times, now)) {
      return *expired;
    }
  }
}

AttemptEnd UpstreamAttempt::ReadOneHead(std::string& block, const net::SocketStream& caller,
                                        const AttemptTimes& times) {
  BufferShare held(this->buffers, BufferKind::kAnswerHead,
                   "service " + this->upstream.service.Value());
  while (true) {
    const std::string_view bytes = this->stream->Buffered();
    if (const std::size_t end = net::FindHeadEnd(bytes); end != std::string_view::npos) {
      block = std::string(bytes.substr(0, end));
      this->stream->Consume(end);
      return AttemptEnd::kAnswered;
    }
    if (bytes.size() > this->settings.max_answer_head_bytes || !held.Resize(bytes.size())) {
      return AttemptEnd::kBroken;
    }
    if (const AttemptEnd end = this->FillOnce(caller, times); end != AttemptEnd::kAnswered) {
      return end == AttemptEnd::kFinished ? AttemptEnd::kBroken : end;
    }
  }
}

/// Reads the head of the final answer and skips interim answers (1xx).
AttemptEnd UpstreamAttempt::ReadHead(const net::SocketStream& caller, const AttemptTimes& times) {
  constexpr int kMaxHeads = 16;
  for (int heads = 0; heads < kMaxHeads; ++heads) {
    std::string block;
    if (const AttemptEnd end = this->ReadOneHead(block, caller, times);
        end != AttemptEnd::kAnswered) {
      return end;
    }
    const bool parsed = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_ASSIGN(this->head, net::ParseAnswerHead(block));
          return true;
        },
        [](const Error&) { return false; });
    if (!parsed) {
      return AttemptEnd::kBroken;
    }
    if (this->head.status >= kFirstFinalStatus) {
      this->answered_at = this->clock.Now();
      this->answer_begun = true;
      this->pool.OnAnswerStarted(this->upstream.id, std::exchange(this->waiting_work, 0));
      return AttemptEnd::kAnswered;
    }
  }
  return AttemptEnd::kBroken;
}

/// Checks that the head belongs to a valid answer to this request, and tells the pool what the head
/// states of the upstream.
AttemptEnd UpstreamAttempt::CheckHead(const RequestId& id, const std::string& method) {
  this->metadata = this->protocol.read_answer(this->head);
  if (!this->metadata.request.Empty() && this->metadata.request != id) {
    return AttemptEnd::kBroken;
  }
  const TimePoint now = this->clock.Now();
  if (this->metadata.load) {
    this->pool.OnLoadReport(this->upstream.id, *this->metadata.load, now);
  }
  if (this->metadata.cold_left) {
    this->pool.OnColdReport(this->upstream.id, *this->metadata.cold_left, now);
  }
  if (this->metadata.is_leaving && !this->metadata.other_upstream) {
    this->pool.OnLeaving(this->upstream.id);
  }
  if (this->metadata.pause && !this->metadata.other_upstream) {
    this->pool.OnPause(this->upstream.id, *this->metadata.pause, now);
  }
  if (this->metadata.pause_unreadable) {
    this->pool.OnUnreadablePause(this->upstream.id);
  }
  // A refusal may come from a part of the upstream that states no limits.
  if (!this->metadata.other_upstream &&
      (this->metadata.requests_per_second || !this->metadata.not_run)) {
    this->pool.OnLimitReport(this->upstream.id, this->metadata.requests_per_second, now);
  }
  if (this->metadata.not_run || this->metadata.other_upstream) {
    return AttemptEnd::kNotRun;
  }
  const bool is_encoded = this->head.Header("Content-Encoding").has_value();
  if (IsSuccess(this->head.status) && (!this->metadata.is_signed || is_encoded)) {
    return AttemptEnd::kBroken;
  }
  return HandleErrors(
      [&]() -> Result<AttemptEnd> {
        BOOST_LEAF_ASSIGN(this->decoder, net::AnswerBody(this->head, method));
        return AttemptEnd::kAnswered;
      },
      [](const Error&) { return AttemptEnd::kBroken; });
}

AttemptEnd UpstreamAttempt::ReadPart(std::string& part, const net::SocketStream& caller,
                                     const AttemptTimes& times) {
  while (true) {
    std::string_view bytes = this->stream->Buffered();
    const std::size_t before = bytes.size();
    this->decoder.Feed(bytes, part);
    this->stream->Consume(before - bytes.size());
    if (this->decoder.Malformed()) {
      return AttemptEnd::kBroken;
    }
    if (this->decoder.Done()) {
      return AttemptEnd::kFinished;
    }
    if (!part.empty()) {
      return AttemptEnd::kAnswered;
    }
    const AttemptEnd end = this->FillOnce(caller, times);
    if (end == AttemptEnd::kFinished) {
      return this->decoder.Framing() == net::BodyFraming::kUntilClose ? AttemptEnd::kFinished
                                                                      : AttemptEnd::kBroken;
    }
    if (end != AttemptEnd::kAnswered) {
      return end;
    }
  }
}

}  // namespace masticrill::gateway
