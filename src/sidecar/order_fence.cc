#include "masticrill/sidecar/order_fence.h"

namespace masticrill::sidecar {

std::string_view ToString(OrderVerdict verdict) {
  switch (verdict) {
    case OrderVerdict::kAccept:
      return "accept";
    case OrderVerdict::kRepeat:
      return "repeat";
    case OrderVerdict::kStale:
      return "stale";
    case OrderVerdict::kConflict:
      return "conflict";
    case OrderVerdict::kNotReady:
      return "not_ready";
  }
  return "unknown";
}

void OrderFence::RaiseHighest(FencingNumber number) {
  const std::lock_guard lock(this->mutex);
  if (!this->highest || number > *this->highest) {
    this->highest = number;
    this->last.reset();
  }
}

OrderDecision OrderFence::Check(const Order& order) {
  const std::lock_guard lock(this->mutex);
  if (!this->highest) {
    return {OrderVerdict::kNotReady, 0};
  }
  if (order.number < *this->highest) {
    return {OrderVerdict::kStale, *this->highest};
  }
  if (order.number == *this->highest && this->last) {
    const bool same = order == *this->last;
    return {same ? OrderVerdict::kRepeat : OrderVerdict::kConflict, *this->highest};
  }
  this->highest = order.number;
  this->last = order;
  return {OrderVerdict::kAccept, *this->highest};
}

}  // namespace masticrill::sidecar
