#ifndef MASTICRILL_COMMON_ERROR_H_
#define MASTICRILL_COMMON_ERROR_H_

#include <string>
#include <string_view>
#include <utility>

namespace masticrill {

/// What went wrong inside the system or with its inputs. Refusals of callers are in refusal.h.
enum class ErrorKind {
  kInvalidArgument,
  kInvalidSettings,
  kInvalidConfiguration,
  kStaleConfiguration,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kNotLeader,
  kNoQuorum,
  kNoLease,
  kUnavailable,
  kTimeout,
  kMalformedMessage,
  kTooLarge,
  kRetired,
  kCorruptStorage,
  kStorageFull,
  kStorageFailed,
  kInternal,
};

std::string_view ToString(ErrorKind kind);

/// The kind of that name; kInternal when there is none.
ErrorKind ParseErrorKind(std::string_view name);

/// An error whose message says what happened and, after it, what to do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_ERROR_H_
