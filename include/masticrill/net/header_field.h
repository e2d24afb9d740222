#ifndef MASTICRILL_NET_HEADER_FIELD_H_
#define MASTICRILL_NET_HEADER_FIELD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticrill::net {

/// A header field of an HTTP message.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->value);
  }
};

bool EqualIgnoringCase(std::string_view left, std::string_view right);

/// The value of the first header field of that name, whatever its case.
std::optional<std::string_view> FindHeader(const std::vector<HeaderField>& headers,
                                           std::string_view name);

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_HEADER_FIELD_H_
