#ifndef MASTICRILL_ROUTING_REQUEST_H_
#define MASTICRILL_ROUTING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/request_class.h"

namespace masticrill::routing {

/// A model, and the version if the caller named one.
struct ModelTarget {
  ModelId model = {};
  std::optional<VersionId> version = {};

  friend bool operator==(const ModelTarget&, const ModelTarget&) = default;
};

struct CascadeTarget {
  CascadeId cascade = {};

  friend bool operator==(const CascadeTarget&, const CascadeTarget&) = default;
};

struct ServiceTarget {
  ServiceId service = {};
  /// The HTTP method; the configuration says which ones are idempotent.
  std::string method = {};

  friend bool operator==(const ServiceTarget&, const ServiceTarget&) = default;
};

using RequestTarget = std::variant<ModelTarget, CascadeTarget, ServiceTarget>;

/// The properties of a caller's request that routing decisions depend on.
struct RequestTraits {
  RequestId id = {};
  TeamId team = {};
  RequestClass request_class = RequestClass::kTag;
  RequestTarget target = {};
  std::optional<SessionId> session = {};
  /// The versions that the session is pinned to, at most one for each model.
  std::vector<ModelVersion> pins = {};
  /// The request may be repeated without harm.
  bool idempotent = true;
  /// The request carries an idempotency key and runs at most once. Takes precedence over
  /// `idempotent`.
  bool at_most_once = false;
  /// The caller gets tokens as they are generated. Otherwise it gets the complete answer at the
  /// end, and an attempt that breaks before that may be repeated from the first token.
  bool streaming = true;
  TimePoint received = {};
  TimePoint deadline = {};
  /// Hash of the prompt's prefix; 0 means none.
  std::uint64_t prefix_hash = 0;
  /// The expected length of the answer in tokens; 0 for a plain service.
  std::uint32_t expected_tokens = 0;

  /// Whether the request may run more than once.
  bool Repeatable() const { return this->idempotent && !this->at_most_once; }

  friend bool operator==(const RequestTraits&, const RequestTraits&) = default;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_H_
