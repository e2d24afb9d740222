#include "masticrill/net/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <array>
#include <istream>
#include <ostream>

#include "masticrill/common/log.h"

namespace masticrill::net {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr int kThreadStackBytes = 128 * 1024;
/// Connections that the system completes before they are accepted: a burst beyond it waits a second
/// for its repeated SYN.
constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadBlockBytes = 16384;
constexpr std::string_view kBearerPrefix = "Bearer ";

struct Shared {
  HttpServerOptions options;
  HttpServer::Handler handler;
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
    return this->state.socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

namespace {

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(const Shared& shared) : shared(shared) {}

  void handleRequest(Poco::Net::HTTPServerRequest& poco_request,
                     Poco::Net::HTTPServerResponse& poco_response) override {
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
    if (request.body_status != BodyStatus::kWhole) {
      // The rest of the body must not be read as the next request.
      poco_response.setKeepAlive(false);
    }
    auto& poco_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(poco_request);
    HttpResponder::State state{poco_response, poco_impl.socket()};
    HttpResponder responder(state);
    this->shared.handler(request, responder);
  }

 private:
  const Shared& shared;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(const Shared& shared) : shared(shared) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(this->shared);
  }

 private:
  const Shared& shared;
};

}  // namespace

struct HttpServer::State {
  Shared shared;
  std::unique_ptr<Poco::ThreadPool> pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  std::string address;
};

HttpServer::HttpServer(std::unique_ptr<State> state) : state(std::move(state)) {}

HttpServer::~HttpServer() { this->Stop(); }

Result<std::unique_ptr<HttpServer>> HttpServer::Start(const HttpServerOptions& options,
                                                      Handler handler) {
  auto state = std::make_unique<State>();
  state->shared = Shared{options, std::move(handler)};
  try {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(options.address), kListenBacklog);
    state->address = socket.address().toString();
    state->pool =
        std::make_unique<Poco::ThreadPool>(2, options.max_connections + 1, 60, kThreadStackBytes);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(options.max_connections);
    params->setMaxQueued(options.max_queued_connections);
    params->setTimeout(Poco::Timespan(options.read_timeout.count() * 1000));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(options.read_timeout.count() * 1000));
    state->server = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(state->shared),
                                                            *state->pool, socket, params);
    state->server->start();
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "Cannot listen on " + options.address + " (" +
                                             exception.displayText() +
                                             "). Choose an address of this host that is free.");
  }
  kLog.Info("HTTP server started.", {{"address", state->address}});
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::string HttpServer::Address() const { return this->state->address; }

int HttpServer::OpenConnections() const { return this->state->server->currentConnections(); }

void HttpServer::StopAccepting() { this->state->server->stop(); }

void HttpServer::Stop() {
  // Ends idle connections; one with a request in progress ends after its answer.
  this->state->server->stopAll(false);
  this->state->pool->joinAll();
}

}  // namespace masticrill::net
