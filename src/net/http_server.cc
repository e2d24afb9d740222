#include "masticrill/net/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <poll.h>

#include <array>
#include <atomic>
#include <exception>
#include <istream>
#include <ostream>

#include "masticrill/common/log.h"
#include "masticrill/net/connection_acceptor.h"

namespace masticrill::net {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr int kThreadStackBytes = 128 * 1024;
/// How often a connection that waits for a request looks whether the server stops.
constexpr milliseconds kStopCheckInterval{100};
constexpr std::size_t kReadBlockBytes = 16384;
constexpr std::string_view kBearerPrefix = "Bearer ";

/// What the connections of one server share.
struct Shared {
  HttpServerOptions options;
  HttpServer::Handler handler;
  /// Each answer is the last one of its connection.
  std::atomic<bool> stopping = false;
  /// Connections end, those that are idle at once.
  std::atomic<bool> ending = false;
};

void ReadBody(std::istream& input, const HttpServerOptions& options, std::int64_t declared_bytes,
              HttpRequest& request) {
  if (declared_bytes > static_cast<std::int64_t>(options.max_body_bytes)) {
    request.body_status = BodyStatus::kTooLarge;
    return;
  }
  const SystemClock clock;
  const TimePoint end = clock.Now() + options.body_timeout;
  std::array<char, kReadBlockBytes> block{};
  while (input.good()) {
    input.read(block.data(), static_cast<std::streamsize>(block.size()));
    request.body.append(block.data(), static_cast<std::size_t>(input.gcount()));
    if (request.body.size() > options.max_body_bytes) {
      request.body.clear();
      request.body_status = BodyStatus::kTooLarge;
      return;
    }
    if (clock.Now() > end) {
      request.body_status = BodyStatus::kIncomplete;
      return;
    }
  }
  if (declared_bytes >= 0 && request.body.size() != static_cast<std::size_t>(declared_bytes)) {
    request.body_status = BodyStatus::kIncomplete;
  }
}

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
  Poco::Net::HTTPServerResponse& response;
  Poco::Net::StreamSocket socket;
  std::ostream* stream = nullptr;
};

bool HttpResponder::Begun() const { return this->state.response.sent(); }

bool HttpResponder::SendWhole(const HttpAnswer& answer) {
  Poco::Net::HTTPServerResponse& response = this->state.response;
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
  response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
  for (const HeaderField& field : answer.headers) {
    response.set(field.name, field.value);
  }
  response.setContentLength(static_cast<std::streamsize>(answer.body.size()));
  try {
    std::ostream& output = response.send();
    output << answer.body << std::flush;
    return output.good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool HttpResponder::BeginStream(int status, const std::vector<HeaderField>& headers) {
  Poco::Net::HTTPServerResponse& response = this->state.response;
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
  for (const HeaderField& field : headers) {
    response.set(field.name, field.value);
  }
  response.setChunkedTransferEncoding(true);
  try {
    this->state.stream = &response.send();
    this->state.stream->flush();
    return this->state.stream->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool HttpResponder::Write(std::string_view data) {
  if (this->state.stream == nullptr) {
    return false;
  }
  try {
    this->state.stream->write(data.data(), static_cast<std::streamsize>(data.size()));
    this->state.stream->flush();
    return this->state.stream->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

void HttpResponder::Abort() {
  this->state.response.setKeepAlive(false);
  try {
    this->state.socket.shutdown();
  } catch (const Poco::Exception&) {
    // The caller was first.
  }
}

bool HttpResponder::CallerLeft() {
  try {
    if (!this->state.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char byte = 0;
    if (this->state.socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0) {
      return true;
    }
    // The end may lie behind bytes that nobody has read yet.
    pollfd descriptor{this->state.socket.impl()->sockfd(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

namespace {

/// Reads requests from one connection, and tells whether more of them are there.
class Session : public Poco::Net::HTTPServerSession {
 public:
  using Poco::Net::HTTPServerSession::HTTPServerSession;

  /// Whether the next request or the end of the connection can be read within that time.
  bool Readable(Duration patience) {
    const auto wait = duration_cast<std::chrono::microseconds>(patience).count();
    return this->buffered() > 0 ||
           this->socket().poll(Poco::Timespan(wait), Poco::Net::Socket::SELECT_READ);
  }
};

/// Serves the requests of one connection, one after the other.
class Connection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, Shared& shared)
      : shared(shared),
        params(MakeParams(shared.options)),
        session(socket, this->params),
        since(this->clock.Now()) {}

  void Serve() {
    try {
      while (this->AwaitRequest() && this->session.hasMoreRequests()) {
        this->ServeNext();
        this->since = this->clock.Now();
        this->is_first = false;
      }
    } catch (const Poco::Net::NoMessageException&) {
      // The caller closed its connection.
    } catch (const Poco::Net::MessageException&) {
      this->SendError(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    } catch (const std::exception&) {
      // The connection broke.
    }
  }

 private:
  static Poco::Net::HTTPServerParams::Ptr MakeParams(const HttpServerOptions& options) {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setTimeout(Poco::Timespan(options.read_timeout.count() * 1000));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(options.read_timeout.count() * 1000));
    return params;
  }

  /// How long the connection may wait for its next request.
  Duration MaxWait() const {
    if (!this->shared.ending) {
      return this->shared.options.read_timeout;
    }
    return this->is_first ? Duration(this->shared.options.first_request_timeout) : Duration(0);
  }

  /// Returns false when the connection is to be closed. A stop closes one that was kept, and gives
  /// the first request of a new one time to come.
  bool AwaitRequest() {
    while (!this->session.Readable(kStopCheckInterval)) {
      if (this->clock.Now() - this->since >= this->MaxWait()) {
        return false;
      }
    }
    return true;
  }

  void ServeNext() {
    Poco::Net::HTTPServerResponseImpl response(this->session);
    Poco::Net::HTTPServerRequestImpl request(response, this->session, this->params.get());
    response.setDate(Poco::Timestamp());
    response.setVersion(request.getVersion());
    response.setKeepAlive(request.getKeepAlive() && this->session.canKeepAlive() &&
                          !this->shared.stopping);
    if (request.getExpectContinue()) {
      response.sendContinue();
    }
    this->Handle(request, response);
    this->session.setKeepAlive(response.getKeepAlive() && this->session.canKeepAlive());
  }

  void Handle(Poco::Net::HTTPServerRequestImpl& poco_request,
              Poco::Net::HTTPServerResponse& poco_response) {
    const HttpRequest request = this->Read(poco_request);
    if (request.body_status != BodyStatus::kWhole) {
      // The rest of the body must not be read as the next request.
      poco_response.setKeepAlive(false);
    }
    HttpResponder::State state{poco_response, poco_request.socket()};
    HttpResponder responder(state);
    try {
      this->shared.handler(request, responder);
    } catch (const Poco::Exception& exception) {
      OnFailure(request, exception.displayText(), poco_response, responder);
    } catch (const std::exception& exception) {
      OnFailure(request, exception.what(), poco_response, responder);
    }
  }

  HttpRequest Read(Poco::Net::HTTPServerRequest& poco_request) const {
    HttpRequest request;
    request.method = poco_request.getMethod();
    try {
      const Poco::URI uri(poco_request.getURI());
      request.path = uri.getPath();
      request.query = uri.getRawQuery();
    } catch (const Poco::Exception&) {
      request.path = poco_request.getURI();
    }
    for (const auto& [name, value] : poco_request) {
      request.headers.push_back({name, value});
    }
    const std::int64_t declared_bytes =
        poco_request.hasContentLength() ? poco_request.getContentLength64() : -1;
    try {
      ReadBody(poco_request.stream(), this->shared.options, declared_bytes, request);
    } catch (const Poco::Exception&) {
      request.body_status = BodyStatus::kIncomplete;
    }
    return request;
  }

  /// Answers 500, or cuts an answer that has begun.
  static void OnFailure(const HttpRequest& request, const std::string& reason,
                        Poco::Net::HTTPServerResponse& response, HttpResponder& responder) {
    kLog.Error("A request's handler failed.", {{"path", request.path}, {"reason", reason}});
    if (responder.Begun()) {
      responder.Abort();
      return;
    }
    response.clear();
    response.setKeepAlive(false);
    responder.SendWhole({Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR,
                         {{"Content-Type", "text/plain"}},
                         "The request failed inside this server; it may have run. See its log.\n"});
  }

  void SendError(Poco::Net::HTTPResponse::HTTPStatus status) {
    try {
      Poco::Net::HTTPServerResponseImpl response(this->session);
      response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
      response.setStatusAndReason(status);
      response.setKeepAlive(false);
      response.setContentLength(0);
      response.send();
      this->session.setKeepAlive(false);
    } catch (const Poco::Exception&) {
      // The caller was first.
    }
  }

  Shared& shared;
  SystemClock clock;
  Poco::Net::HTTPServerParams::Ptr params;
  Session session;
  TimePoint since;
  bool is_first = true;
};

}  // namespace

struct HttpServer::State {
  Shared shared;
  std::unique_ptr<ConnectionAcceptor> acceptor;
};

HttpServer::HttpServer(std::unique_ptr<State> state) : state(std::move(state)) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Start(const HttpServerOptions& options,
                                                      Handler handler) {
  auto state = std::make_unique<State>();
  state->shared.options = options;
  state->shared.handler = std::move(handler);
  BOOST_LEAF_ASSIGN(
      state->acceptor,
      ConnectionAcceptor::Start(
          {options.address, options.max_connections,
           static_cast<std::size_t>(options.max_queued_connections), kThreadStackBytes},
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
