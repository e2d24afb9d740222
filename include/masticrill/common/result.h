#ifndef MASTICRILL_COMMON_RESULT_H_
#define MASTICRILL_COMMON_RESULT_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "masticrill/common/error.h"

namespace masticrill {

/// A value, or an error. The error object reaches the nearest enclosing HandleErrors; without one
/// it is lost, so every call chain that can fail starts in HandleErrors.
template <typename T>
using Result = boost::leaf::result<T>;

/// Makes a failed result that carries the error.
inline boost::leaf::error_id Fail(ErrorKind kind, std::string message) {
  return boost::leaf::new_error(Error{kind, std::move(message)});
}

inline boost::leaf::error_id Fail(Error error) { return boost::leaf::new_error(std::move(error)); }

/// Calls a function that returns Result<T>. On failure returns what on_error makes of the Error,
/// which must convert to T.
template <typename Function, typename OnError>
auto HandleErrors(Function&& function, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Function>(function), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ErrorKind::kInternal, "An unknown error occurred. Report it."});
      });
}

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_RESULT_H_
