#include "masticrill/net/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <exception>
#include <utility>

#include "masticrill/common/buffer_budget.h"
#include "masticrill/common/log.h"
#include "masticrill/net/connection_acceptor.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/pending_reads.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::net {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr int kThreadStackBytes = 128 * 1024;
/// How often a connection that waits for a request looks whether the server stops.
constexpr milliseconds kStopCheckInterval{100};
constexpr std::string_view kBearerPrefix = "Bearer ";
/// How long the rest of what a refused caller sends is read before the connection is closed.
constexpr milliseconds kLingerTime{500};
/// The owner of all buffers in the budget of a server, whose callers are not told apart.
constexpr const char* kCallers = "callers";

/// What the connections of one server share.
struct Shared {
  Shared(HttpServerOptions options, HttpServer::Handler handler)
      : options(std::move(options)),
        handler(std::move(handler)),
        buffers(this->options.max_buffered_bytes),
        reads(this->options.min_read_time) {}

  HttpServerOptions options;
  HttpServer::Handler handler;
  BufferBudget buffers;
  PendingReads reads;
  /// Each answer is the last one of its connection.
  std::atomic<bool> stopping = false;
  /// Connections end, those that are idle at once.
  std::atomic<bool> ending = false;
};

}  // namespace

std::optional<std::string_view> HttpRequest::Header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view HttpRequest::BearerKey() const {
  const std::optional<std::string_view> value = this->Header("Authorization");
  if (!value || !value->starts_with(kBearerPrefix)) {
    return {};
  }
  return value->substr(kBearerPrefix.size());
}

struct HttpResponder::State {
  SocketStream& stream;
  Duration write_timeout;
  bool http_1_1 = true;
  bool is_head = false;
  /// Whether the connection may serve another request after this one.
  bool keep_open = false;
  bool begun = false;
  bool in_parts = false;
  /// Whether the answer was sent whole.
  bool whole = false;

  bool Send(std::string_view data) const {
    return this->stream.Write(data, SystemClock().Now() + this->write_timeout) == IoEnd::kDone;
  }

  std::string MakeHead(int status, std::vector<HeaderField> headers) const {
    headers.push_back({"Connection", this->keep_open ? "Keep-Alive" : "Close"});
    return WriteAnswerHead({status, true, std::move(headers)});
  }

  /// Ends an answer in parts.
  void Finish() {
    if (this->in_parts && this->begun && !this->whole) {
      this->whole = this->is_head || !this->http_1_1 || this->Send("0\r\n\r\n");
    }
  }
};

bool HttpResponder::Begun() const { return this->state.begun; }

bool HttpResponder::SendWhole(const HttpAnswer& answer) {
  std::vector<HeaderField> headers = answer.headers;
  headers.push_back({"Content-Length", std::to_string(answer.body.size())});
  std::string text = this->state.MakeHead(answer.status, std::move(headers));
  if (!this->state.is_head) {
    text += answer.body;
  }
  this->state.begun = true;
  this->state.whole = this->state.Send(text);
  return this->state.whole;
}

bool HttpResponder::BeginStream(int status, const std::vector<HeaderField>& headers) {
  std::vector<HeaderField> all = headers;
  if (this->state.http_1_1) {
    all.push_back({"Transfer-Encoding", "chunked"});
  } else {
    // The end of the connection ends the answer.
    this->state.keep_open = false;
  }
  this->state.begun = true;
  this->state.in_parts = true;
  return this->state.Send(this->state.MakeHead(status, std::move(all)));
}

bool HttpResponder::Write(std::string_view data) {
  if (!this->state.in_parts) {
    return false;
  }
  if (data.empty() || this->state.is_head) {
    return true;
  }
  if (!this->state.http_1_1) {
    return this->state.Send(data);
  }
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), kHexadecimal);
  std::string chunk(digits.data(), end);
  chunk += "\r\n";
  chunk += data;
  chunk += "\r\n";
  return this->state.Send(chunk);
}

void HttpResponder::Abort() {
  this->state.keep_open = false;
  this->state.whole = true;
  this->state.stream.Close(true);
}

bool HttpResponder::CallerLeft() { return this->state.stream.PeerEnded(); }

namespace {

/// How the reading of a request ended.
enum class ReadResult { kRead, kDisconnected, kMalformed, kTooLarge, kTooSlow, kNoRoom };

/// Serves the requests of one connection, one after the other.
class Connection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, Shared& shared)
      : shared(shared), stream(socket), since(this->clock.Now()) {}

  void Serve() {
    while (this->ServeNext()) {
      this->since = this->clock.Now();
      this->is_first = false;
    }
    this->stream.Close();
  }

 private:
  /// How long the connection may wait for its next request.
  Duration MaxWait() const {
    if (!this->shared.ending) {
      return this->shared.options.read_timeout;
    }
    return this->is_first ? Duration(this->shared.options.first_request_timeout) : Duration(0);
  }

  /// Returns whether another request may follow.
  bool ServeNext() {
    RequestHead head;
    HttpRequest request;
    BufferShare head_share(this->shared.buffers, BufferKind::kRequestHead, kCallers);
    BufferShare body_share(this->shared.buffers, BufferKind::kRequestBody, kCallers);
    {
      PendingReads::Registration reading(this->shared.reads, this->stream, this->since);
      if (!this->AwaitRequest()) {
        return false;
      }
      ReadResult result = this->ReadHead(head, head_share);
      if (result == ReadResult::kRead) {
        result = this->ReadBody(head, request, body_share);
      }
      if (reading.Finish()) {
        result = ReadResult::kNoRoom;
      }
      if (result != ReadResult::kRead) {
        this->Refuse(result);
        return false;
      }
    }
    return this->Handle(head, request);
  }

  /// Returns false when the connection is to be closed. A stop closes one that was kept, and gives
  /// the first request of a new one time to come.
  bool AwaitRequest() {
    while (this->stream.Buffered().empty()) {
      const IoEnd end = this->stream.Fill(this->clock.Now() + kStopCheckInterval);
      if (end == IoEnd::kDone) {
        return true;
      }
      if (end != IoEnd::kTimeout || this->clock.Now() - this->since >= this->MaxWait()) {
        return false;
      }
    }
    return true;
  }

  ReadResult Fill(TimePoint read_by) {
    const TimePoint wait_until =
        std::min(read_by, this->clock.Now() + Duration(this->shared.options.read_timeout));
    switch (this->stream.Fill(wait_until)) {
      case IoEnd::kDone:
        return ReadResult::kRead;
      case IoEnd::kTimeout:
        return ReadResult::kTooSlow;
      default:
        return ReadResult::kDisconnected;
    }
  }

  ReadResult ReadHead(RequestHead& head, BufferShare& share) {
    const TimePoint read_by = this->clock.Now() + Duration(this->shared.options.read_timeout);
    while (true) {
      const std::string_view bytes = this->stream.Buffered();
      const std::size_t end = FindHeadEnd(bytes);
      const std::size_t size = end == std::string_view::npos ? bytes.size() : end;
      if (size > this->shared.options.max_head_bytes) {
        return ReadResult::kTooLarge;
      }
      const bool is_whole = end != std::string_view::npos;
      if (!share.Resize(is_whole ? ParsedHeadBytes(bytes.substr(0, end)) : size)) {
        return ReadResult::kNoRoom;
      }
      if (is_whole) {
        return this->ParseHead(end, head);
      }
      const ReadResult filled =
          this->clock.Now() >= read_by ? ReadResult::kTooSlow : this->Fill(read_by);
      if (filled != ReadResult::kRead) {
        return filled;
      }
    }
  }

  ReadResult ParseHead(std::size_t end, RequestHead& head) {
    const ReadResult result = HandleErrors(
        [&]() -> Result<ReadResult> {
          BOOST_LEAF_ASSIGN(head, ParseRequestHead(this->stream.Buffered().substr(0, end)));
          return ReadResult::kRead;
        },
        [](const Error&) { return ReadResult::kMalformed; });
    this->stream.Consume(end);
    return result;
  }

  /// Reads the body; what is wrong with it is left to the handler.
  ReadResult ReadBody(const RequestHead& head, HttpRequest& request, BufferShare& share) {
    BodyDecoder decoder;
    const bool is_framed = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_ASSIGN(decoder, RequestBody(head));
          return true;
        },
        [](const Error&) { return false; });
    if (!is_framed) {
      return ReadResult::kMalformed;
    }
    const std::size_t most = this->shared.options.max_body_bytes;
    if (decoder.Framing() == BodyFraming::kLength) {
      if (decoder.BytesLeft() > most) {
        request.body_status = BodyStatus::kTooLarge;
        return ReadResult::kRead;
      }
      if (!share.Resize(decoder.BytesLeft())) {
        return ReadResult::kNoRoom;
      }
      request.body.reserve(decoder.BytesLeft());
    }
    if (head.Header("Expect") && !decoder.Done()) {
      this->stream.Write("HTTP/1.1 100 Continue\r\n\r\n", this->clock.Now() + kLingerTime);
    }
    const TimePoint read_by = this->clock.Now() + Duration(this->shared.options.body_timeout);
    while (true) {
      std::string_view bytes = this->stream.Buffered();
      const std::size_t before = bytes.size();
      decoder.Feed(bytes, request.body);
      this->stream.Consume(before - bytes.size());
      if (decoder.Malformed()) {
        return ReadResult::kMalformed;
      }
      if (request.body.size() > most) {
        request.body = {};
        request.body_status = BodyStatus::kTooLarge;
        return ReadResult::kRead;
      }
      if (!share.Resize(request.body.capacity())) {
        return ReadResult::kNoRoom;
      }
      if (decoder.Done()) {
        return ReadResult::kRead;
      }
      if (this->clock.Now() >= read_by || this->Fill(read_by) != ReadResult::kRead) {
        request.body_status = BodyStatus::kIncomplete;
        return ReadResult::kRead;
      }
    }
  }

  /// Returns whether another request may follow.
  bool Handle(RequestHead& head, HttpRequest& request) {
    request.method = std::move(head.method);
    try {
      const Poco::URI uri(head.target);
      request.path = uri.getPath();
      request.query = uri.getRawQuery();
    } catch (const Poco::Exception&) {
      request.path = head.target;
    }
    HttpResponder::State state{this->stream, this->shared.options.read_timeout};
    state.http_1_1 = head.http_1_1;
    state.is_head = request.method == "HEAD";
    // The rest of a body that was not read must not be taken for the next request.
    state.keep_open = !WantsClose(head.headers, head.http_1_1) && !this->shared.stopping &&
                      request.body_status == BodyStatus::kWhole;
    request.headers = std::move(head.headers);
    HttpResponder responder(state);
    try {
      this->shared.handler(request, responder);
      state.Finish();
    } catch (const Poco::Exception& exception) {
      OnFailure(request, exception.displayText(), state, responder);
    } catch (const std::exception& exception) {
      OnFailure(request, exception.what(), state, responder);
    }
    if (!state.keep_open && request.body_status != BodyStatus::kWhole) {
      this->stream.FinishWriting(this->clock.Now() + kLingerTime);
    }
    return state.keep_open && state.whole;
  }

  /// Answers 500, or cuts an answer that has begun.
  static void OnFailure(const HttpRequest& request, const std::string& reason,
                        HttpResponder::State& state, HttpResponder& responder) {
    kLog.Error("A request's handler failed.", {{"path", request.path}, {"reason", reason}});
    if (responder.Begun()) {
      responder.Abort();
      return;
    }
    state.keep_open = false;
    responder.SendWhole({Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR,
                         {{"Content-Type", "text/plain"}},
                         "The request failed inside this server; it may have run. See its log.\n"});
  }

  /// Answers a request that was not read whole and has not run.
  void Refuse(ReadResult result) {
    HttpAnswer answer{0, {{"Content-Type", "text/plain"}}, ""};
    switch (result) {
      case ReadResult::kMalformed:
        answer.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
        answer.body = "The request is not valid HTTP.\n";
        break;
      case ReadResult::kTooLarge:
        answer.status = Poco::Net::HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
        answer.body = "The header exceeds the size limit.\n";
        break;
      case ReadResult::kTooSlow:
        answer.status = Poco::Net::HTTPResponse::HTTP_REQUEST_TIMEOUT;
        answer.body = "The request was not received within the time limit.\n";
        break;
      case ReadResult::kNoRoom:
        this->shared.reads.GiveUpOldest(this->clock.Now());
        answer.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        answer.headers.push_back({"Retry-After", "1"});
        answer.body = "This host has no room for the request, which has not run. Send it again.\n";
        break;
      case ReadResult::kRead:
      case ReadResult::kDisconnected:
        return;
    }
    HttpResponder::State state{this->stream, kLingerTime};
    HttpResponder(state).SendWhole(answer);
    this->stream.FinishWriting(this->clock.Now() + kLingerTime);
  }

  Shared& shared;
  SystemClock clock;
  SocketStream stream;
  TimePoint since;
  bool is_first = true;
};

}  // namespace

struct HttpServer::State {
  State(const HttpServerOptions& options, Handler handler) : shared(options, std::move(handler)) {}

  Shared shared;
  std::unique_ptr<ConnectionAcceptor> acceptor;
};

HttpServer::HttpServer(std::unique_ptr<State> state) : state(std::move(state)) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Start(const HttpServerOptions& options,
                                                      Handler handler) {
  auto state = std::make_unique<State>(options, std::move(handler));
  BOOST_LEAF_ASSIGN(
      state->acceptor,
      ConnectionAcceptor::Start(
          {options.address, options.max_connections,
           static_cast<std::size_t>(options.max_queued_connections), kThreadStackBytes,
           [&shared = state->shared] { shared.reads.GiveUpOldest(SystemClock().Now()); }},
          [&shared = state->shared](Poco::Net::StreamSocket& socket) {
            Connection(socket, shared).Serve();
          }));
  kLog.Info("HTTP server started.", {{"address", state->acceptor->Address()}});
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::string HttpServer::Address() const { return this->state->acceptor->Address(); }

int HttpServer::OpenConnections() const { return this->state->acceptor->Open(); }

void HttpServer::StopAccepting() {
  this->state->shared.stopping = true;
  this->state->acceptor->StopAccepting();
}

void HttpServer::Stop() {
  this->state->shared.stopping = true;
  this->state->shared.ending = true;
  this->state->acceptor->Stop();
}

}  // namespace masticrill::net
