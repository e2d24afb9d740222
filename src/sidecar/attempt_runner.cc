#include "sidecar/attempt_runner.h"

#include <Poco/String.h>

#include <charconv>

#include "masticrill/net/message_codec.h"
#include "sidecar/answer_meter.h"

namespace masticrill::sidecar {
namespace {

using kernel::Field;
using kernel::UpstreamEnd;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;
constexpr std::string_view kEventStream = "text/event-stream";

bool SameHeaderName(std::string_view left, std::string_view right) {
  return Poco::icompare(std::string(left), std::string(right)) == 0;
}

/// Relays one answer from the upstream to the entry.
class AnswerRelay {
 public:
  AnswerRelay(LiveAttempt& attempt, const std::function<void()>& on_first_token)
      : attempt(attempt), on_first_token(on_first_token) {}

  void OnHead(int status, const std::vector<Field>& headers) {
    this->http_status = status;
    for (const Field& field : headers) {
      if (SameHeaderName(field.name, "Content-Type")) {
        this->content_type = field.value;
        this->headers.push_back({field.name, field.value});
      } else if (SameHeaderName(field.name, kEngineStartHeader)) {
        WallTimeMs start = 0;
        const auto [end, error] =
            std::from_chars(field.value.data(), field.value.data() + field.value.size(), start);
        if (error == std::errc()) {
          this->engine_start = start;
        }
      }
    }
    const bool event_stream = this->content_type.starts_with(kEventStream);
    this->meter.emplace(event_stream);
    this->flush_per_event = event_stream;
  }

  bool OnData(std::string_view data) {
    if (this->attempt.cancellation.Cancelled()) {
      return false;
    }
    if (this->UpstreamFailed()) {
      // The body is dropped: the entry decides what the caller receives from a failed upstream.
      return true;
    }
    this->meter->Add(data);
    this->attempt.generated_tokens = this->meter->GeneratedTokens();
    if (!this->first_token_seen && this->meter->ContentSeen()) {
      this->first_token_seen = true;
      this->on_first_token();
    }
    if (this->attempt.request.at_most_once) {
      this->recorded_answer += data;
    }
    this->pending_data += data;
    // The lines of one event are sent together, up to the blank line that ends the event.
    const bool complete =
        !this->flush_per_event || data == "\n" || data == "\r\n" || data.ends_with("\n\n");
    return !complete || this->Flush();
  }

  AttemptReport Finish(UpstreamEnd upstream_end) {
    if (!this->pending_data.empty() && upstream_end == UpstreamEnd::kComplete) {
      this->Flush();
    }
    if (this->chunk_count == 0 && upstream_end == UpstreamEnd::kComplete &&
        !this->UpstreamFailed()) {
      this->Flush();
    }
    AttemptReport report;
    report.engine_start = this->engine_start;
    const EngineOutcome outcome = this->OutcomeOf(upstream_end);
    const std::uint64_t tokens = this->attempt.request.service
                                     ? (outcome == EngineOutcome::kOk ? 1 : 0)
                                 : this->meter ? this->meter->GeneratedTokens()
                                               : 0;
    report.end.attempt = this->attempt.request.attempt;
    report.end.outcome = ToAttemptOutcome(outcome, upstream_end);
    report.end.chunk_count = this->chunk_count;
    report.end.prompt_tokens = this->meter ? this->meter->PromptTokens() : 0;
    report.end.generated_tokens = tokens;
    report.completion.outcome = outcome;
    report.completion.tokens = tokens;
    if (this->attempt.request.at_most_once) {
      const net::FenceReply recorded{
          net::FenceStatus::kDone, report.end.outcome, true,
          this->http_status,       this->content_type, this->recorded_answer};
      report.completion.answer = net::EncodePayload(recorded);
    }
    return report;
  }

 private:
  bool UpstreamFailed() const {
    return this->http_status >= kFirstServerError || this->Overloaded();
  }

  bool Overloaded() const {
    return this->http_status == kTooManyRequests || this->http_status == kServiceUnavailable;
  }

  bool Flush() {
    net::AttemptChunk chunk{this->attempt.request.attempt, this->chunk_count, 0, {}, {}};
    if (this->chunk_count == 0) {
      chunk.http_status = this->http_status;
      chunk.headers = this->headers;
    }
    chunk.data.swap(this->pending_data);
    ++this->chunk_count;
    const bool sent = this->attempt.Send(chunk);
    // An at-most-once attempt continues without its entry, so that its answer is recorded.
    return sent || this->attempt.request.at_most_once;
  }

  EngineOutcome OutcomeOf(UpstreamEnd upstream_end) const {
    switch (upstream_end) {
      case UpstreamEnd::kCancelled:
        return EngineOutcome::kCancelled;
      case UpstreamEnd::kTimeout:
        return EngineOutcome::kTimeout;
      case UpstreamEnd::kConnectFailed:
      case UpstreamEnd::kReset:
        return EngineOutcome::kReset;
      case UpstreamEnd::kComplete:
        break;
    }
    if (this->Overloaded()) {
      return EngineOutcome::kOverloaded;
    }
    if (this->UpstreamFailed()) {
      return EngineOutcome::kError;
    }
    return this->meter && this->meter->IsComplete() ? EngineOutcome::kOk : EngineOutcome::kReset;
  }

  static net::AttemptOutcome ToAttemptOutcome(EngineOutcome outcome, UpstreamEnd upstream_end) {
    switch (outcome) {
      case EngineOutcome::kOk:
        return net::AttemptOutcome::kAnswered;
      case EngineOutcome::kError:
        return net::AttemptOutcome::kUpstreamError;
      case EngineOutcome::kOverloaded:
        return net::AttemptOutcome::kUpstreamOverloaded;
      case EngineOutcome::kTimeout:
        return net::AttemptOutcome::kTimeout;
      case EngineOutcome::kCancelled:
        return net::AttemptOutcome::kCancelled;
      case EngineOutcome::kReset:
        break;
    }
    return upstream_end == UpstreamEnd::kConnectFailed ? net::AttemptOutcome::kConnectFailed
                                                       : net::AttemptOutcome::kReset;
  }

  LiveAttempt& attempt;
  const std::function<void()>& on_first_token;
  std::optional<AnswerMeter> meter;
  int http_status = 0;
  std::string content_type;
  std::vector<net::HeaderField> headers;
  std::optional<WallTimeMs> engine_start;
  bool flush_per_event = false;
  bool first_token_seen = false;
  std::uint64_t chunk_count = 0;
  std::string pending_data;
  std::string recorded_answer;
};

kernel::UpstreamCall ToCall(const net::AttemptRequest& request, milliseconds read_timeout) {
  kernel::UpstreamCall call{request.method, request.path,         {},
                            request.body,   request.at_most_once, read_timeout};
  for (const net::HeaderField& field : request.headers) {
    call.headers.push_back({field.name, field.value});
  }
  call.headers.push_back({"X-Request-Id", request.request.Value()});
  call.headers.push_back({"X-Request-Class", std::string(ToString(request.request_class))});
  if (request.resume_offset > 0) {
    call.headers.push_back(
        {std::string(kResumeOffsetHeader), std::to_string(request.resume_offset)});
  }
  return call;
}

}  // namespace

AttemptReport RunAttempt(LiveAttempt& attempt, const kernel::UpstreamCaller& upstream,
                         milliseconds read_timeout, const std::function<void()>& on_first_token) {
  AnswerRelay relay(attempt, on_first_token);
  const kernel::UpstreamSink sink{
      [&](int status, const std::vector<Field>& headers) { relay.OnHead(status, headers); },
      [&](std::string_view data) { return relay.OnData(data); }};
  const UpstreamEnd end =
      upstream(ToCall(attempt.request, read_timeout), attempt.cancellation, sink);
  return relay.Finish(end);
}

}  // namespace masticrill::sidecar
