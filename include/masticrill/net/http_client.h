#ifndef MASTICRILL_NET_HTTP_CLIENT_H_
#define MASTICRILL_NET_HTTP_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/result.h"
#include "masticrill/net/http_server.h"

namespace masticrill::net {

struct HttpCall {
  std::string method = "GET";
  /// Path with its query.
  std::string path = "/";
  std::vector<HeaderField> headers = {};
  std::string body = {};
};

/// How a call ended. Only after kConnectFailed is it sure that the server never saw the request.
enum class HttpCallEnd { kComplete, kConnectFailed, kTimeout, kReset, kAborted };

struct HttpClientOptions {
  milliseconds connect_timeout{500};
  /// The longest silence of the server while it answers.
  milliseconds read_timeout{10000};
  std::size_t max_body_bytes = 16U << 20U;
};

/// Calls one HTTP server. Each call has a connection of its own, taken from a pool of idle ones
/// where the call may be repeated. Safe for several threads.
class HttpClient {
 public:
  using OnHead = std::function<void(int status, const std::vector<HeaderField>& headers)>;
  /// Returns false to abort the call.
  using OnData = std::function<bool(std::string_view data)>;

  HttpClient(std::string address, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// A call whose answer is read whole. Fails with kUnavailable or kTimeout.
  Result<HttpAnswer> Call(const HttpCall& call);

  /// A call whose answer is handed on in parts as they come: lines of an event stream, blocks of
  /// anything else. `call_slot` lets another thread abort the call.
  class CallSlot;
  HttpCallEnd Stream(const HttpCall& call, bool may_reuse_connection, CallSlot* call_slot,
                     const OnHead& on_head, const OnData& on_data);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Lets one thread abort a call that another thread makes.
class HttpClient::CallSlot {
 public:
  CallSlot();
  ~CallSlot();
  CallSlot(const CallSlot&) = delete;
  CallSlot& operator=(const CallSlot&) = delete;

  /// Breaks the call's connection, or the one of a call that is still to begin.
  void Abort();
  bool Aborted() const;

  struct State;
  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_HTTP_CLIENT_H_
