#include "masticrill/sidecar/receipts.h"

#include <doctest/doctest.h>

namespace masticrill::sidecar {
namespace {

Receipt MakeReceipt(const char* attempt) {
  Receipt receipt;
  receipt.attempt = AttemptId(attempt);
  return receipt;
}

TEST_CASE("receipts are sent again until acknowledged and never exceed the capacity") {
  Receipts receipts({.capacity = 2, .resend_after = seconds(2)});
  const TimePoint start{};
  REQUIRE(receipts.Reserve());
  REQUIRE(receipts.Reserve());
  CHECK_FALSE(receipts.Reserve());
  receipts.Add(MakeReceipt("a"));
  receipts.Add(MakeReceipt("b"));
  CHECK_FALSE(receipts.Reserve());
  CHECK(receipts.TakeDue(1, start).size() == 1);
  CHECK(receipts.TakeDue(10, start).size() == 1);
  CHECK(receipts.TakeDue(10, start + seconds(1)).empty());
  CHECK(receipts.TakeDue(10, start + seconds(2)).size() == 2);
  receipts.Acknowledge(AttemptId("a"));
  receipts.Acknowledge(AttemptId("a"));
  receipts.Acknowledge(AttemptId("unknown"));
  CHECK(receipts.TakeDue(10, start + seconds(9)) == std::vector<Receipt>{MakeReceipt("b")});
  CHECK(receipts.Reserve());
  receipts.CancelReservation();
  CHECK(receipts.Reserve());
}

}  // namespace
}  // namespace masticrill::sidecar
