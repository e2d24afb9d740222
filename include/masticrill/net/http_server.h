#ifndef MASTICRILL_NET_HTTP_SERVER_H_
#define MASTICRILL_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/result.h"
#include "masticrill/net/messages.h"

namespace masticrill::net {

/// How the reading of a request's body ended.
enum class BodyStatus { kWhole, kTooLarge, kIncomplete };

/// A request as the server read it, body included.
struct HttpRequest {
  std::string method;
  /// Path without the query.
  std::string path;
  std::string query;
  std::vector<HeaderField> headers;
  std::string body;
  BodyStatus body_status = BodyStatus::kWhole;

  /// The value of a header field, whatever the case of its name; nullopt when it has none.
  std::optional<std::string_view> Header(std::string_view name) const;
  /// The key behind "Authorization: Bearer"; empty when there is none.
  std::string_view BearerKey() const;
};

/// A whole HTTP answer.
struct HttpAnswer {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;

  friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

/// Writes the answer to one request. Used by the thread that handles the request.
class HttpResponder {
 public:
  struct State;
  explicit HttpResponder(State& state) : state(state) {}

  /// Sends a whole answer. Returns false when the caller is gone.
  bool SendWhole(const HttpAnswer& answer);
  /// Sends the status and header fields of an answer that follows in parts.
  bool BeginStream(int status, const std::vector<HeaderField>& headers);
  /// Sends a part at once. Returns false when the caller is gone.
  bool Write(std::string_view data);
  /// Breaks the connection without ending the answer, so that the caller sees that it is cut.
  void Abort();
  bool Begun() const;
  /// Whether the caller closed its connection.
  bool CallerLeft();

 private:
  State& state;
};

struct HttpServerOptions {
  /// IP:PORT; port 0 lets the system choose.
  std::string address;
  int max_connections = 512;
  int max_queued_connections = 64;
  std::size_t max_head_bytes = std::size_t{64} << 10U;
  std::size_t max_body_bytes = 4U << 20U;
  /// All that is held of requests at the same time, see BufferBudget. A request that finds no room
  /// is answered 503.
  std::size_t max_buffered_bytes = std::size_t{64} << 20U;
  /// All of a head must have come within this time, and each wait for the next bytes ends then.
  milliseconds read_timeout{15000};
  /// All of a body must have come within this time.
  milliseconds body_timeout{30000};
  /// How long a stop waits for the first request of a new connection.
  milliseconds first_request_timeout{2000};
  /// While other connections wait for a thread, or a request for room, the one that has waited for
  /// its request for longest, and for this long at least, is given up.
  milliseconds min_read_time{500};
};

/// Serves HTTP/1.1 with one thread for each connection in use. A handler that throws gives its
/// caller 500, or a cut answer if one has begun.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, HttpResponder&)>;

  /// Fails with kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Start(const HttpServerOptions& options,
                                                   Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string Address() const;
  int OpenConnections() const;

  /// Stops accepting connections; those that were accepted are served, and end with their next
  /// answer. Later callers are refused a connection.
  void StopAccepting();
  /// Stops accepting, closes idle connections, and waits until all requests in progress and those
  /// of connections that wait for a thread have been answered.
  void Stop();

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_HTTP_SERVER_H_
