#ifndef MASTICRILL_STATE_SYNCHRONIZED_VALUE_H_
#define MASTICRILL_STATE_SYNCHRONIZED_VALUE_H_

#include <mutex>
#include <shared_mutex>
#include <utility>

namespace masticrill::state {

/// A value under its own lock: one writer, or several readers.
template <typename Value>
class SynchronizedValue {
 public:
  SynchronizedValue() = default;
  explicit SynchronizedValue(Value value) : value(std::move(value)) {}

  template <typename Function>
  auto Read(Function&& function) const {
    const std::shared_lock lock(this->mutex);
    return function(this->value);
  }

  template <typename Function>
  auto Write(Function&& function) {
    const std::unique_lock lock(this->mutex);
    return function(this->value);
  }

 private:
  mutable std::shared_mutex mutex;
  Value value;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_SYNCHRONIZED_VALUE_H_
