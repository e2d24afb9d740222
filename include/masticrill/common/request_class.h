#ifndef MASTICRILL_COMMON_REQUEST_CLASS_H_
#define MASTICRILL_COMMON_REQUEST_CLASS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace masticrill {

/// The priority class of a request, most urgent first.
enum class RequestClass { kBrief, kCaption, kTag };

inline constexpr std::array kAllRequestClasses = {RequestClass::kBrief, RequestClass::kCaption,
                                                  RequestClass::kTag};
inline constexpr std::size_t kRequestClassCount = kAllRequestClasses.size();

std::string_view ToString(RequestClass request_class);
std::optional<RequestClass> ParseRequestClass(std::string_view text);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_REQUEST_CLASS_H_
