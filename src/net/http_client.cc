#include "masticrill/net/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <istream>
#include <mutex>
#include <ostream>

namespace masticrill::net {
namespace {

constexpr std::size_t kReadBlockBytes = 16384;
constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::string_view kEventStream = "text/event-stream";

/// A connection that can tell whether bytes have come, or its end, that belong to no call.
class Session : public Poco::Net::HTTPClientSession {
 public:
  explicit Session(const Poco::Net::SocketAddress& address)
      : Poco::Net::HTTPClientSession(address) {}

  bool HasStrayBytes() {
    return this->buffered() > 0 ||
           this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }
};

Poco::Timespan ToTimespan(milliseconds duration) {
  return {static_cast<Poco::Timespan::TimeDiff>(duration.count() * 1000)};
}

std::vector<HeaderField> Headers(const Poco::Net::HTTPResponse& response) {
  std::vector<HeaderField> headers;
  for (const auto& [name, value] : response) {
    headers.push_back({name, value});
  }
  return headers;
}

/// Reads an answer's body and hands it on. Returns false when on_data wants no more.
bool ReadEventLines(std::istream& input, const HttpClient::OnData& on_data) {
  std::string line;
  while (std::getline(input, line)) {
    line += '\n';
    if (!on_data(line)) {
      return false;
    }
  }
  return true;
}

bool ReadBlocks(std::istream& input, const HttpClient::OnData& on_data, std::int64_t& byte_count) {
  std::array<char, kReadBlockBytes> block{};
  while (input.good()) {
    input.read(block.data(), static_cast<std::streamsize>(block.size()));
    const auto count = static_cast<std::size_t>(input.gcount());
    byte_count += static_cast<std::int64_t>(count);
    if (count > 0 && !on_data(std::string_view(block.data(), count))) {
      return false;
    }
  }
  return true;
}

}  // namespace

struct HttpClient::CallSlot::State {
  std::mutex mutex;
  Session* session = nullptr;
  bool aborted = false;

  bool Set(Session* used) {
    const std::lock_guard lock(this->mutex);
    this->session = used;
    return !this->aborted;
  }
};

HttpClient::CallSlot::CallSlot() : state(std::make_unique<State>()) {}
HttpClient::CallSlot::~CallSlot() = default;

void HttpClient::CallSlot::Abort() {
  const std::lock_guard lock(this->state->mutex);
  this->state->aborted = true;
  if (this->state->session != nullptr) {
    try {
      this->state->session->socket().shutdown();
    } catch (const Poco::Exception&) {
      // The call has ended already.
    }
  }
}

bool HttpClient::CallSlot::Aborted() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->aborted;
}

struct HttpClient::State {
  std::string address;
  HttpClientOptions options;
  std::mutex mutex;
  std::vector<std::unique_ptr<Session>> idle;

  /// A kept connection on which nothing has come since its last answer; null when there is none.
  std::unique_ptr<Session> TakeIdle() {
    const std::lock_guard lock(this->mutex);
    while (!this->idle.empty()) {
      std::unique_ptr<Session> session = std::move(this->idle.back());
      this->idle.pop_back();
      if (!session->HasStrayBytes()) {
        return session;
      }
    }
    return nullptr;
  }

  std::unique_ptr<Session> Take(bool may_reuse_connection) {
    if (std::unique_ptr<Session> kept = may_reuse_connection ? this->TakeIdle() : nullptr) {
      return kept;
    }
    auto session = std::make_unique<Session>(Poco::Net::SocketAddress(this->address));
    // A connection that nobody will use again must not occupy a thread of the server.
    session->setKeepAlive(may_reuse_connection);
    session->setTimeout(ToTimespan(this->options.connect_timeout),
                        ToTimespan(this->options.read_timeout),
                        ToTimespan(this->options.read_timeout));
    return session;
  }

  void Return(std::unique_ptr<Session> session) {
    const std::lock_guard lock(this->mutex);
    if (this->idle.size() < kMaxIdleConnections) {
      this->idle.push_back(std::move(session));
    }
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
  std::unique_ptr<Session> session;
  bool connected = false;
  HttpCallEnd end = HttpCallEnd::kReset;
  try {
    session = this->state->Take(may_reuse_connection);
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HeaderField& field : call.headers) {
      request.set(field.name, field.value);
    }
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    std::ostream& output = session->sendRequest(request);
    connected = true;
    if (!slot.state->Set(session.get())) {
      return HttpCallEnd::kAborted;
    }
    output << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& input = session->receiveResponse(response);
    on_head(static_cast<int>(response.getStatus()), Headers(response));
    std::int64_t byte_count = 0;
    const bool is_event_stream = response.getContentType().starts_with(kEventStream);
    const bool whole =
        is_event_stream ? ReadEventLines(input, on_data) : ReadBlocks(input, on_data, byte_count);
    const bool cut = !is_event_stream && response.hasContentLength() &&
                     byte_count != response.getContentLength64();
    end = !whole ? HttpCallEnd::kAborted : cut ? HttpCallEnd::kReset : HttpCallEnd::kComplete;
    if (input.bad() || (!is_event_stream && session->networkException() != nullptr)) {
      end = HttpCallEnd::kReset;
    }
    slot.state->Set(nullptr);
    if (end == HttpCallEnd::kComplete && may_reuse_connection && response.getKeepAlive() &&
        !slot.Aborted()) {
      this->state->Return(std::move(session));
    }
  } catch (const Poco::TimeoutException&) {
    end = connected ? HttpCallEnd::kTimeout : HttpCallEnd::kConnectFailed;
  } catch (const Poco::Exception&) {
    end = connected ? HttpCallEnd::kReset : HttpCallEnd::kConnectFailed;
  }
  slot.state->Set(nullptr);
  return slot.Aborted() ? HttpCallEnd::kAborted : end;
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
