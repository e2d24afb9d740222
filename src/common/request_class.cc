#include "masticrill/common/request_class.h"

namespace masticrill {

std::string_view ToString(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kBrief:
      return "brief";
    case RequestClass::kCaption:
      return "caption";
    case RequestClass::kTag:
      return "tag";
  }
  return "tag";
}

std::optional<RequestClass> ParseRequestClass(std::string_view text) {
  for (const RequestClass request_class : kAllRequestClasses) {
    if (ToString(request_class) == text) {
      return request_class;
    }
  }
  return std::nullopt;
}

}  // namespace masticrill
