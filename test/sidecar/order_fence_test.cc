#include "masticrill/sidecar/order_fence.h"

#include <doctest/doctest.h>

#include <vector>

namespace masticrill::sidecar {
namespace {

Order Load(FencingNumber number, const char* version) {
  return {number, OrderKind::kLoadVersion, {ModelId("m"), VersionId(version)}, ""};
}

TEST_CASE("an order is accepted only with an unused number that is not below the highest one") {
  struct Event {
    const char* name;
    std::optional<FencingNumber> learn;
    std::optional<Order> order;
    OrderDecision expected;
  };
  const std::vector<Event> events = {
      {"before the highest number is known", {}, Load(9, "1"), {OrderVerdict::kNotReady, 0}},
      {"learned from the upstream or the configuration", 7, {}, {}},
      {"delayed order from before the restart", {}, Load(6, "1"), {OrderVerdict::kStale, 7}},
      {"equal to the learned number", {}, Load(7, "1"), {OrderVerdict::kAccept, 7}},
      {"doubled", {}, Load(7, "1"), {OrderVerdict::kRepeat, 7}},
      {"another order with an equal number", {}, Load(7, "2"), {OrderVerdict::kConflict, 7}},
      {"newer, with a gap", {}, Load(12, "2"), {OrderVerdict::kAccept, 12}},
      {"crossed", {}, Load(11, "1"), {OrderVerdict::kStale, 12}},
      {"the first accepted order, repeated late", {}, Load(7, "1"), {OrderVerdict::kStale, 12}},
      {"learning a lower number changes nothing", 3, {}, {}},
      {"the latest order is still a repeat", {}, Load(12, "2"), {OrderVerdict::kRepeat, 12}},
      {"learning a higher number", 20, {}, {}},
      {"now below the highest number", {}, Load(12, "2"), {OrderVerdict::kStale, 20}},
  };
  OrderFence fence;
  for (const Event& event : events) {
    CAPTURE(event.name);
    if (event.learn) {
      fence.RaiseHighest(*event.learn);
    }
    if (event.order) {
      CHECK(fence.Check(*event.order) == event.expected);
    }
  }
}

}  // namespace
}  // namespace masticrill::sidecar
