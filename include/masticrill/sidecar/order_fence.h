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

/// Orders the changes of one upstream: a later order has a higher number.
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
  kAccept,    // Pass it on to the upstream.
  kRepeat,    // The same order was accepted before. Answer with its result.
  kStale,     // A higher number was seen.
  kConflict,  // Another order had the same number.
  kNotReady,  // The highest number is not known yet after a start. Send it again.
};

std::string_view ToString(OrderVerdict verdict);

struct OrderDecision {
  OrderVerdict verdict = OrderVerdict::kNotReady;
  /// The highest number seen, so that the sender can catch up.
  FencingNumber highest = 0;

  friend bool operator==(const OrderDecision&, const OrderDecision&) = default;
};

/// Refuses orders that are older than one already seen, for upstreams that do not check this by
/// themselves. Keeps nothing on disk: until RaiseHighest was called after a start, no order is
/// accepted. Safe for use by several threads.
class OrderFence {
 public:
  /// Raises the highest number seen: to the number that the upstream reports if it checks fencing,
  /// else to the number of the configuration in force.
  void RaiseHighest(FencingNumber number);

  OrderDecision Check(const Order& order);

 private:
  mutable std::mutex mutex;
  std::optional<FencingNumber> highest;
  std::optional<Order> last;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ORDER_FENCE_H_
