#ifndef MASTICRILL_STATE_SYNCHRONIZED_VALUE_H_
#define MASTICRILL_STATE_SYNCHRONIZED_VALUE_H_

#include <mutex>
#include <shared_mutex>
#include <utility>

namespace masticrill::state {

/// A value protected by its own reader-writer lock. Thread-safe.
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
