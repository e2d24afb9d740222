#include "masticrill/common/error.h"

namespace masticrill {

std::string_view ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kInvalidSettings:
      return "invalid_settings";
    case ErrorKind::kInvalidConfiguration:
      return "invalid_configuration";
    case ErrorKind::kStaleConfiguration:
      return "stale_configuration";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kForbidden:
      return "forbidden";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kNotLeader:
      return "not_leader";
    case ErrorKind::kNoQuorum:
      return "no_quorum";
    case ErrorKind::kNoLease:
      return "no_lease";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kRetired:
      return "retired";
    case ErrorKind::kCorruptStorage:
      return "corrupt_storage";
    case ErrorKind::kStorageFull:
      return "storage_full";
    case ErrorKind::kStorageFailed:
      return "storage_failed";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

ErrorKind ParseErrorKind(std::string_view name) {
  constexpr int kLast = static_cast<int>(ErrorKind::kInternal);
  for (int value = 0; value < kLast; ++value) {
    if (const auto kind = static_cast<ErrorKind>(value); ToString(kind) == name) {
      return kind;
    }
  }
  return ErrorKind::kInternal;
}

}  // namespace masticrill
