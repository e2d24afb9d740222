#include "masticrill/routing/request_identity.h"

#include <string>

#include "masticrill/common/hash.h"

namespace masticrill::routing {
namespace {

constexpr std::string_view kPrefix = "request.";
constexpr std::size_t kDigits = 32;

/// The length in front keeps fields apart that callers choose freely.
void Append(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

PromptPartId MakeWholeRequestId(const RequestIdentity& identity) {
  std::string text;
  Append(text, identity.caller);
  Append(text, identity.method);
  Append(text, identity.host);
  Append(text, identity.target);
  Append(text, identity.body);
  return PromptPartId(std::string(kPrefix) + Sha256Hex(text).substr(0, kDigits));
}

bool IsWholeRequest(const PromptPartId& part) { return part.Value().starts_with(kPrefix); }

}  // namespace masticrill::routing
