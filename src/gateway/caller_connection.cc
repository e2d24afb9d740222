#include "gateway/caller_connection.h"

#include <algorithm>
#include <utility>

#include "gateway/call_status.h"
#include "masticrill/common/log.h"
#include "masticrill/common/result.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
/// How often an idle connection checks whether this process is stopping.
constexpr Duration kIdleCheck = milliseconds(500);
/// How often a connection whose request comes slowly checks the same.
constexpr Duration kStopCheck = seconds(1);
/// How long a write to a caller may take where no deadline of a request applies, and how long the
/// rest of what the caller sends is read before the connection is closed.
constexpr Duration kLingerTime = milliseconds(500);
/// The longest pause between two reads of a request's body.
constexpr Duration kBodyTimeout = seconds(10);
/// How long a body may take at any rate, and the least rate of one that takes longer.
constexpr Duration kMinBodyTime = seconds(60);
constexpr std::size_t kMinBodyBytesPerSecond = 1024;
/// The owner of heads in the budget: whose they are is known when they have been read.
constexpr const char* kHeadOwner = "heads";
/// A Content-Length with fewer digits is that of a small body.
constexpr std::size_t kLargeLengthDigits = 5;
/// How much longer than `CallerLimits::idle_timeout` an idle connection is kept. Short, since
/// callers send the next request right after an answer or not at all.
constexpr Duration kIdleMargin = milliseconds(500);

}  // namespace

CallerConnection::CallerConnection(net::SocketStream socket, std::function<CallerLimits()> limits,
                                   std::function<StopPhase()> phase,
                                   std::function<std::optional<TimePoint>()> answer_by,
                                   RequestBudget budget, Handler handler)
    : socket(std::move(socket)),
      limits(std::move(limits)),
      phase(std::move(phase)),
      answer_by(std::move(answer_by)),
      budget(std::move(budget)),
      handler(std::move(handler)) {}

void CallerConnection::Run() {
  NextStep step = NextStep::kServeNext;
  while (step == NextStep::kServeNext) {
    step = this->ServeNext();
  }
  if (step == NextStep::kFinishAnswer) {
    this->socket.FinishWriting(this->clock.Now() + kLingerTime);
  }
  this->socket.Close();
}

struct CallerConnection::Arrival {
  explicit Arrival(BufferBudget& buffers)
      : head_share(buffers, BufferKind::kRequestHead, kHeadOwner) {}

  net::RequestHead head;
  std::string body;
  TimePoint at;
  /// Held until the request has ended, since it may have to be sent again.
  BufferShare head_share;
  std::optional<BufferShare> body_share;
};

std::optional<CallerConnection::NextStep> CallerConnection::ReadRequest(Arrival& arrival) {
  net::PendingReads::Registration reading(this->budget.reads, this->socket, this->clock.Now());
  if (this->AwaitFirstByte(this->limits()) != ReadResult::kRead) {
    return NextStep::kCloseUnread;
  }
  // The connection may have waited for longer than a configuration lasts.
  const CallerLimits current = this->limits();
  ReadResult result = this->ReadHead(current, arrival.head, arrival.head_share);
  const bool in_header = result != ReadResult::kRead;
  if (!in_header) {
    arrival.at = this->clock.Now();
    arrival.body_share.emplace(this->budget.buffers, BufferKind::kRequestBody,
                               this->OwnerOf(arrival.head));
    result = this->ReadBody(current, arrival.head, arrival.body, *arrival.body_share);
  }
  // A request that has just come whole is refused, too: its caller could not be seen to leave.
  if (reading.Finish()) {
    result = ReadResult::kNoRoom;
  }
  if (result == ReadResult::kRead) {
    return std::nullopt;
  }
  this->RefuseAndClose(result, in_header);
  return NextStep::kFinishAnswer;
}

CallerConnection::NextStep CallerConnection::ServeNext() {
  Arrival arrival(this->budget.buffers);
  if (const std::optional<NextStep> step = this->ReadRequest(arrival)) {
    return *step;
  }
  const net::RequestHead& head = arrival.head;
  const bool keep_open =
      this->phase() == StopPhase::kServing && !net::WantsClose(head.headers, head.http_1_1);
  CallerStream caller(this->socket, head, keep_open);
  this->handler(head, arrival.body, caller, arrival.at);
  if (!caller.CanReuseConnection()) {
    return NextStep::kFinishAnswer;
  }
  // If the stop began after the head of a long answer was sent, the head does not announce that the
  // connection ends; it is closed all the same, but not over a request that has arrived.
  return this->phase() == StopPhase::kServing || this->HasArrived() ? NextStep::kServeNext
                                                                    : NextStep::kCloseUnread;
}

bool CallerConnection::HasArrived() {
  return !this->socket.Buffered().empty() ||
         this->socket.Fill(this->clock.Now()) == net::IoEnd::kDone;
}

/// Waits for a request until the idle timeout or until this process closes idle connections.
CallerConnection::ReadResult CallerConnection::AwaitFirstByte(const CallerLimits& current) {
  const TimePoint idle_until = this->clock.Now() + Duration(current.idle_timeout) + kIdleMargin;
  while (this->socket.Buffered().empty()) {
    const net::IoEnd end = this->socket.Fill(std::min(idle_until, this->clock.Now() + kIdleCheck));
    if (end == net::IoEnd::kDone) {
      break;
    }
    if (end != net::IoEnd::kTimeout) {
      return ReadResult::kDisconnected;
    }
    if (this->clock.Now() >= idle_until || this->phase() == StopPhase::kClosing) {
      // Bytes may have come since the wait ended.
      return this->HasArrived() ? ReadResult::kRead : ReadResult::kIdle;
    }
  }
  return ReadResult::kRead;
}

CallerConnection::ReadResult CallerConnection::FillRequest(TimePoint read_by) {
  while (true) {
    const std::optional<TimePoint> stop_by = this->answer_by();
    if (stop_by && this->clock.Now() >= *stop_by) {
      return ReadResult::kStopping;
    }
    const TimePoint wait_until =
        std::min({read_by, this->clock.Now() + kStopCheck, stop_by.value_or(TimePoint::max())});
    const net::IoEnd end = this->socket.Fill(wait_until);
    if (end != net::IoEnd::kTimeout) {
      return end == net::IoEnd::kDone ? ReadResult::kRead : ReadResult::kDisconnected;
    }
    if (this->clock.Now() >= read_by) {
      return ReadResult::kTooSlow;
    }
  }
}

CallerConnection::ReadResult CallerConnection::ReadHead(const CallerLimits& current,
                                                        net::RequestHead& head, BufferShare& held) {
  const TimePoint read_by = this->clock.Now() + Duration(current.header_timeout);
  while (true) {
    const std::string_view bytes = this->socket.Buffered();
    const std::size_t end = net::FindHeadEnd(bytes);
    const std::size_t size = end == std::string_view::npos ? bytes.size() : end;
    if (size > current.max_header_bytes) {
      return ReadResult::kTooLarge;
    }
    const bool is_whole = end != std::string_view::npos;
    if (!held.Resize(is_whole ? net::ParsedHeadBytes(bytes.substr(0, end)) : size)) {
      return ReadResult::kNoRoom;
    }
    if (is_whole) {
      return this->ParseHead(end, head);
    }
    if (const ReadResult filled = this->FillRequest(read_by); filled != ReadResult::kRead) {
      return filled;
    }
  }
}

/// Parses a head of that size, which has arrived whole.
CallerConnection::ReadResult CallerConnection::ParseHead(std::size_t size, net::RequestHead& head) {
  const ReadResult result = HandleErrors(
      [&]() -> Result<ReadResult> {
        BOOST_LEAF_ASSIGN(head, net::ParseRequestHead(this->socket.Buffered().substr(0, size)));
        return ReadResult::kRead;
      },
      [](const Error& error) {
        kLog.Info("A request with a malformed header was refused.", {{"cause", error.message}});
        return ReadResult::kMalformed;
      });
  this->socket.Consume(size);
  return result;
}

std::string CallerConnection::OwnerOf(const net::RequestHead& head) const {
  const std::optional<std::string_view> length = head.Header("Content-Length");
  const bool may_be_large = head.Header("Transfer-Encoding").has_value() ||
                            (length && length->size() >= kLargeLengthDigits);
  return may_be_large ? "team " + this->budget.owner_of(head) : "";
}

CallerConnection::ReadResult CallerConnection::ReadBody(const CallerLimits& current,
                                                        const net::RequestHead& head,
                                                        std::string& body, BufferShare& held) {
  net::BodyDecoder decoder;
  const bool framed = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(decoder, net::RequestBody(head));
        return true;
      },
      [](const Error& error) {
        kLog.Info("A request with invalid body framing was refused.", {{"cause", error.message}});
        return false;
      });
  if (!framed) {
    return ReadResult::kMalformed;
  }
  if (decoder.Framing() == net::BodyFraming::kLength) {
    if (decoder.BytesLeft() > current.max_body_bytes) {
      return ReadResult::kTooLarge;
    }
    if (!held.Resize(decoder.BytesLeft())) {
      return ReadResult::kNoRoom;
    }
    body.reserve(decoder.BytesLeft());
  }
  if (const auto expect = head.Header("Expect"); expect && !decoder.Done()) {
    this->socket.Write("HTTP/1.1 100 Continue\r\n\r\n", this->clock.Now() + kLingerTime);
  }
  const TimePoint begin = this->clock.Now();
  while (true) {
    std::string_view bytes = this->socket.Buffered();
    const std::size_t before = bytes.size();
    decoder.Feed(bytes, body);
    this->socket.Consume(before - bytes.size());
    if (decoder.Malformed()) {
      return ReadResult::kMalformed;
    }
    if (body.size() > current.max_body_bytes) {
      return ReadResult::kTooLarge;
    }
    if (!held.Resize(body.capacity())) {
      return ReadResult::kNoRoom;
    }
    if (decoder.Done()) {
      return ReadResult::kRead;
    }
    const TimePoint read_by =
        begin + kMinBodyTime + Duration(seconds(body.size() / kMinBodyBytesPerSecond));
    if (const ReadResult filled =
            this->FillRequest(std::min(read_by, this->clock.Now() + kBodyTimeout));
        filled != ReadResult::kRead) {
      return filled;
    }
  }
}

/// Answers a request that could not be read completely, with `Connection: close`: the next request
/// on the connection cannot be told from the rest of this one.
void CallerConnection::RefuseAndClose(ReadResult result, bool in_header) {
  constexpr int kBadRequest = 400;
  constexpr int kTimeout = 408;
  constexpr int kBodyTooLarge = 413;
  constexpr int kHeaderTooLarge = 431;
  constexpr int kUnavailable = 503;
  int status = 0;
  std::string_view message;
  std::vector<net::HeaderField> headers = {{"Content-Type", "text/plain"}};
  switch (result) {
    case ReadResult::kMalformed:
      status = kBadRequest;
      message = "The request is not valid HTTP.";
      break;
    case ReadResult::kTooLarge:
      status = in_header ? kHeaderTooLarge : kBodyTooLarge;
      message =
          in_header ? "The header exceeds the size limit." : "The body exceeds the size limit.";
      break;
    case ReadResult::kTooSlow:
      status = kTimeout;
      message = "The request was not received within the time limit.";
      break;
    case ReadResult::kStopping:
      status = kUnavailable;
      message = "This node is stopping. Use another node.";
      break;
    case ReadResult::kNoRoom:
      status = kUnavailable;
      message = "This node has no room for the request, which has not run. Send it again.";
      headers.push_back({"Retry-After", RetryAfterText(this->budget.retry_after)});
      // The next one may find room where nothing comes.
      this->budget.reads.GiveUpOldest(this->clock.Now());
      break;
    case ReadResult::kRead:
    case ReadResult::kIdle:
    case ReadResult::kDisconnected:
      return;
  }
  kLog.Info("A request was refused before it was read completely.",
            {{"status", status}, {"cause", message}});
  CallerStream caller(this->socket, net::RequestHead{}, false);
  caller.SendWhole(status, std::move(headers), message, this->clock.Now() + kLingerTime);
}

}  // namespace masticrill::gateway
