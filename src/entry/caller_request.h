#ifndef MASTICRILL_ENTRY_CALLER_REQUEST_H_
#define MASTICRILL_ENTRY_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <variant>

#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"
#include "masticrill/net/http_server.h"
#include "masticrill/routing/request.h"

namespace masticrill::entry {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kServicePrefix = "/v1/services/";

struct CallerLimits {
  milliseconds default_timeout{30000};
  milliseconds max_timeout{600000};
};

/// A caller's request after its checks.
struct CallerRequest {
  routing::RequestTraits traits;
  bool stream = false;
  /// The caller's Idempotency-Key; for a call that may not be repeated and has none, a key of its
  /// own.
  std::optional<IdempotencyKey> idempotency_key;
  /// SHA-256 of method, path and body: tells a resend from another request under the same key.
  std::string body_hash;
  /// What goes to the upstream.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
};

/// Reads a chat request or a call of a plain service. The team is known already. Returns the
/// refusal of a request that is malformed.
std::variant<CallerRequest, Refusal> ReadCallerRequest(const net::HttpRequest& request,
                                                       const config::Configuration& configuration,
                                                       const TeamId& team, const RequestId& id,
                                                       const CallerLimits& limits, TimePoint now);

/// The body of a chat request with its model replaced by the version that was chosen.
std::string BodyForVersion(const std::string& body, const ModelVersion& version, bool stream);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_CALLER_REQUEST_H_
