#ifndef MASTICRILL_SIDECAR_ORDER_FENCE_H_
#define MASTICRILL_SIDECAR_ORDER_FENCE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"

namespace masticrill::sidecar {

/// Sequence number of the orders to one upstream: a later order has a higher number.
using FencingNumber = std::uint64_t;

enum class OrderKind { kLoadVersion, kUnloadVersion, kChangeRole };

/// An order to the upstream.
struct Order {
  FencingNumber number = 0;
  OrderKind kind = OrderKind::kLoadVersion;
  /// The version to load or unload.
  ModelVersion version;
  /// The role to change to.
  std::string role;

  friend bool operator==(const Order&, const Order&) = default;
};

enum class OrderVerdict {
  kAccept,    // Forward the order to the upstream.
  kRepeat,    // The same order was accepted before. Answer with its result.
  kStale,     // A higher number was received before.
  kConflict,  // Another order with the same number was accepted before.
  kNotReady,  // The highest number is not known yet after a start. Resend the order.
};

std::string_view ToString(OrderVerdict verdict);

struct OrderDecision {
  OrderVerdict verdict = OrderVerdict::kNotReady;
  /// The highest number received, so that the sender can catch up.
  FencingNumber highest = 0;

  friend bool operator==(const OrderDecision&, const OrderDecision&) = default;
};

/// Rejects orders that are older than one already received, for upstreams that do not check fencing
/// numbers themselves. Stores nothing on disk: after a start, no order is accepted until
/// RaiseHighest is called. Safe for use by several threads.
class OrderFence {
 public:
  /// Raises the highest number received: to the number that the upstream reports if it checks
  /// fencing, else to the number of the configuration in force. A lower number changes nothing.
  void RaiseHighest(FencingNumber number);

  OrderDecision Check(const Order& order);

 private:
  mutable std::mutex mutex;
  std::optional<FencingNumber> highest;
  std::optional<Order> last;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ORDER_FENCE_H_
