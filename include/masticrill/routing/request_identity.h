#ifndef MASTICRILL_ROUTING_REQUEST_IDENTITY_H_
#define MASTICRILL_ROUTING_REQUEST_IDENTITY_H_

#include <string_view>

#include "masticrill/common/name.h"

namespace masticrill::routing {

/// What makes two requests the same one: a caller that sends it again changes none of this, while
/// the request's id and deadline differ each time.
struct RequestIdentity {
  /// The team; empty where the route needs no key.
  std::string_view caller;
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  std::string_view body;

  friend bool operator==(const RequestIdentity&, const RequestIdentity&) = default;
};

/// The id under which a whole request is kept beside the parts of prompts. A cryptographic hash, so
/// that no caller can make a request that has the id of another caller's.
PromptPartId MakeWholeRequestId(const RequestIdentity& identity);

/// Whether the id is that of a whole request. Never true for a part that a caller names.
bool IsWholeRequest(const PromptPartId& part);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_IDENTITY_H_
