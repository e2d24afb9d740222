#include "masticrill/net/http_client.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "masticrill/net/http_message.h"
#include "masticrill/net/socket_stream.h"
#include "net/answer_reader.h"

namespace masticrill::net {
namespace {

using ReadResult = AnswerReader::ReadResult;

/// The server must take something of a request within the read time-out for each block.
constexpr std::size_t kWriteBlockBytes = 65536;
constexpr std::size_t kMaxIdleConnections = 64;
/// Servers close connections that were idle for longer.
constexpr Duration kMaxIdleTime = seconds(8);
constexpr std::string_view kEventStream = "text/event-stream";

/// A kept connection and the time from which on it was idle.
struct IdleConnection {
  std::unique_ptr<SocketStream> stream;
  TimePoint since;
};

HttpCallEnd ToCallEnd(ReadResult result) {
  switch (result) {
    case ReadResult::kWhole:
      return HttpCallEnd::kComplete;
    case ReadResult::kTimeout:
      return HttpCallEnd::kTimeout;
    case ReadResult::kRead:
    case ReadResult::kBroken:
      break;
  }
  return HttpCallEnd::kReset;
}

/// Hands the body of an answer on: lines of an event stream, anything else as it comes.
class BodySink {
 public:
  BodySink(const AnswerHead& head, std::size_t max_line_bytes, const HttpClient::OnData& on_data)
      : is_event_stream(head.Header("Content-Type").value_or("").starts_with(kEventStream)),
        max_line_bytes(max_line_bytes),
        on_data(on_data) {}

  /// Returns false when the receiver wants no more.
  bool Add(std::string_view part) {
    if (!this->is_event_stream) {
      return part.empty() || this->on_data(part);
    }
    this->line.append(part);
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = this->line.find('\n', begin)) != std::string::npos;
         begin = end + 1) {
      const std::string_view next = std::string_view(this->line).substr(begin, end + 1 - begin);
      this->ends_with_event = next == "\n" || next == "\r\n";
      if (!this->on_data(next)) {
        return false;
      }
    }
    this->line.erase(0, begin);
    return true;
  }

  bool LineTooLong() const { return this->line.size() > this->max_line_bytes; }
  /// Whether the end of the connection can be the end of what was handed on.
  bool MayEndHere() const {
    return !this->is_event_stream || (this->line.empty() && this->ends_with_event);
  }
  /// Hands on a last line that has no end. Returns false when the receiver wants no more.
  bool Finish() { return this->line.empty() || this->Add("\n"); }

 private:
  bool is_event_stream;
  std::size_t max_line_bytes;
  const HttpClient::OnData& on_data;
  std::string line;
  bool ends_with_event = true;
};

}  // namespace

struct HttpClient::CallSlot::State {
  std::mutex mutex;
  SocketStream* stream = nullptr;
  bool aborted = false;

  /// Returns false when the call was aborted before it had a connection.
  bool Set(SocketStream* used) {
    const std::lock_guard lock(this->mutex);
    this->stream = this->aborted ? nullptr : used;
    return !this->aborted;
  }
};

namespace {

/// Lets a slot abort the use of a connection, which outlives this object.
class SlotUse {
 public:
  SlotUse(HttpClient::CallSlot& slot, SocketStream& stream)
      : slot(slot), allowed(slot.state->Set(&stream)) {}
  ~SlotUse() { this->slot.state->Set(nullptr); }
  SlotUse(const SlotUse&) = delete;
  SlotUse& operator=(const SlotUse&) = delete;

  /// Whether the call was not aborted before it had a connection.
  bool Allowed() const { return this->allowed; }

 private:
  HttpClient::CallSlot& slot;
  bool allowed;
};

}  // namespace

HttpClient::CallSlot::CallSlot() : state(std::make_unique<State>()) {}
HttpClient::CallSlot::~CallSlot() = default;

void HttpClient::CallSlot::Abort() {
  const std::lock_guard lock(this->state->mutex);
  this->state->aborted = true;
  if (this->state->stream != nullptr) {
    this->state->stream->Interrupt();
  }
}

bool HttpClient::CallSlot::Aborted() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->aborted;
}

struct HttpClient::State {
  std::string address;
  HttpClientOptions options;
  SystemClock clock;
  std::mutex mutex;
  std::vector<IdleConnection> idle;

  /// A kept connection on which nothing has come since its last answer; null when there is none.
  std::unique_ptr<SocketStream> TakeIdle() {
    const std::lock_guard lock(this->mutex);
    while (!this->idle.empty()) {
      IdleConnection kept = std::move(this->idle.back());
      this->idle.pop_back();
      if (this->clock.Now() - kept.since < kMaxIdleTime && !kept.stream->Readable()) {
        return std::move(kept.stream);
      }
    }
    return nullptr;
  }

  /// Null when no connection could be opened.
  std::unique_ptr<SocketStream> Take(bool may_reuse_connection) {
    if (std::unique_ptr<SocketStream> kept = may_reuse_connection ? this->TakeIdle() : nullptr) {
      return kept;
    }
    IoEnd end = IoEnd::kDone;
    return SocketStream::Connect(
        this->address, this->clock.Now() + Duration(this->options.connect_timeout), nullptr, end);
  }

  void Return(std::unique_ptr<SocketStream> stream) {
    const std::lock_guard lock(this->mutex);
    if (this->idle.size() < kMaxIdleConnections) {
      this->idle.push_back({std::move(stream), this->clock.Now()});
    }
  }

  std::string RequestBytes(const HttpCall& call, bool may_reuse_connection) const {
    RequestHead head{call.method, call.path, true, WithoutConnectionFields(call.headers)};
    if (!FindHeader(head.headers, "Host")) {
      head.headers.push_back({"Host", this->address});
    }
    head.headers.push_back({"Content-Length", std::to_string(call.body.size())});
    // A connection that nobody will use again must not occupy a thread of the server.
    head.headers.push_back({"Connection", may_reuse_connection ? "Keep-Alive" : "Close"});
    return WriteRequestHead(head) + call.body;
  }

  /// Writes a request. Ends with kReadable when the server answers before it has read all of it.
  IoEnd Write(SocketStream& stream, std::string_view bytes) const {
    while (!bytes.empty()) {
      const std::string_view block = bytes.substr(0, kWriteBlockBytes);
      bytes.remove_prefix(block.size());
      const TimePoint deadline = this->clock.Now() + Duration(this->options.read_timeout);
      if (const IoEnd end = stream.Write(block, deadline, nullptr, true); end != IoEnd::kDone) {
        return end;
      }
    }
    return IoEnd::kDone;
  }

  /// Reads an answer and hands it on. `may_keep` tells whether the connection may serve a next
  /// call.
  HttpCallEnd ReadAnswer(SocketStream& stream, const std::string& method, const OnHead& on_head,
                         const OnData& on_data, bool& may_keep) const {
    AnswerReader reader(stream, Duration(this->options.read_timeout));
    if (const ReadResult result = reader.ReadHead(method); result != ReadResult::kRead) {
      return ToCallEnd(result);
    }
    const AnswerHead& head = reader.Head();
    on_head(head.status, head.headers);
    BodySink sink(head, this->options.max_body_bytes, on_data);
    ReadResult result = ReadResult::kRead;
    while (result == ReadResult::kRead) {
      std::string part;
      result = reader.ReadPart(part);
      if (!sink.Add(part)) {
        return HttpCallEnd::kAborted;
      }
      if (sink.LineTooLong()) {
        return HttpCallEnd::kReset;
      }
    }
    if (result == ReadResult::kWhole && reader.EndsWithConnection() && !sink.MayEndHere()) {
      return HttpCallEnd::kReset;
    }
    if (result == ReadResult::kWhole && !sink.Finish()) {
      return HttpCallEnd::kAborted;
    }
    may_keep = !reader.EndsWithConnection() && !WantsClose(head.headers, head.http_1_1) &&
               stream.Buffered().empty();
    return ToCallEnd(result);
  }
};

HttpClient::HttpClient(std::string address, const HttpClientOptions& options)
    : state(std::make_unique<State>()) {
  this->state->address = std::move(address);
  this->state->options = options;
}

HttpClient::~HttpClient() = default;

HttpCallEnd HttpClient::Stream(const HttpCall& call, bool may_reuse_connection, CallSlot* call_slot,
                               const OnHead& on_head, const OnData& on_data) {
  CallSlot own_slot;
  CallSlot& slot = call_slot != nullptr ? *call_slot : own_slot;
  std::unique_ptr<SocketStream> stream = this->state->Take(may_reuse_connection);
  if (stream == nullptr) {
    return slot.Aborted() ? HttpCallEnd::kAborted : HttpCallEnd::kConnectFailed;
  }
  bool may_keep = false;
  const HttpCallEnd end = [&] {
    const SlotUse use(slot, *stream);
    if (!use.Allowed()) {
      return HttpCallEnd::kAborted;
    }
    const IoEnd written =
        this->state->Write(*stream, this->state->RequestBytes(call, may_reuse_connection));
    if (written == IoEnd::kTimeout) {
      return HttpCallEnd::kTimeout;
    }
    // A server may answer before it has read the whole request, and then end the connection.
    const HttpCallEnd read =
        this->state->ReadAnswer(*stream, call.method, on_head, on_data, may_keep);
    may_keep = may_keep && written == IoEnd::kDone;
    return read;
  }();
  if (slot.Aborted()) {
    return HttpCallEnd::kAborted;
  }
  if (end == HttpCallEnd::kComplete && may_reuse_connection && may_keep) {
    this->state->Return(std::move(stream));
  }
  return end;
}

Result<HttpAnswer> HttpClient::Call(const HttpCall& call) {
  HttpAnswer answer;
  bool too_large = false;
  const HttpCallEnd end = this->Stream(
      call, false, nullptr,
      [&](int status, const std::vector<HeaderField>& headers) {
        answer.status = status;
        answer.headers = headers;
      },
      [&](std::string_view data) {
        too_large = answer.body.size() + data.size() > this->state->options.max_body_bytes;
        if (!too_large) {
          answer.body += data;
        }
        return !too_large;
      });
  const std::string& address = this->state->address;
  switch (end) {
    case HttpCallEnd::kComplete:
      return answer;
    case HttpCallEnd::kConnectFailed:
      return Fail(ErrorKind::kUnavailable,
                  "No connection to " + address + ". Check that the process there runs.");
    case HttpCallEnd::kTimeout:
      return Fail(ErrorKind::kTimeout,
                  address + " did not answer in time. Check the process there.");
    case HttpCallEnd::kReset:
    case HttpCallEnd::kAborted:
      break;
  }
  if (too_large) {
    return Fail(ErrorKind::kTooLarge, address + " sent an answer over the size limit.");
  }
  return Fail(ErrorKind::kUnavailable,
              address + " broke the connection during its answer. Check the process there.");
}

}  // namespace masticrill::net
