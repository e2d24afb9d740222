#include "masticrill/net/header_field.h"

#include <algorithm>
#include <cctype>

namespace masticrill::net {

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

std::optional<std::string_view> FindHeader(const std::vector<HeaderField>& headers,
                                           std::string_view name) {
  for (const HeaderField& field : headers) {
    if (EqualIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

}  // namespace masticrill::net
