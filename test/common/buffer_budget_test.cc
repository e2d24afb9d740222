#include "masticrill/common/buffer_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace masticrill {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kStep = 16'384;

/// Buffers of one owner that grow in turn without end; those that may not grow are given up and
/// begin anew, as the streams of a faulty upstream do.
class EndlessBuffers {
 public:
  EndlessBuffers(BufferBudget& budget, BufferKind kind, const std::string& owner, std::size_t count)
      : sizes(count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->shares.push_back(std::make_unique<BufferShare>(budget, kind, owner));
    }
  }

  /// Each buffer gets one more block.
  void Grow() {
    for (std::size_t index = 0; index < this->shares.size(); ++index) {
      this->sizes[index] += kStep;
      if (!this->shares[index]->Resize(this->sizes[index])) {
        this->shares[index]->Release();
        this->sizes[index] = 0;
      }
    }
  }

  std::size_t Bytes() const {
    std::size_t sum = 0;
    for (const std::size_t size : this->sizes) {
      sum += size;
    }
    return sum;
  }

 private:
  std::vector<std::unique_ptr<BufferShare>> shares;
  std::vector<std::size_t> sizes;
};

// Pattern: the streams of a faulty service carry events without end, at once or a few more a
// second, beside sound requests of the same service and of another one.
TEST_CASE("events without end stay within the budget and leave room for sound requests") {
  for (const std::size_t count : {20, 64, 200, 600}) {
    CAPTURE(count);
    BufferBudget budget(32 * kMegabyte);
    EndlessBuffers faulty(budget, BufferKind::kEvent, "faulty", count);
    for (int round = 0; round < 200; ++round) {
      faulty.Grow();
      REQUIRE(budget.HeldBytes() <= budget.MaxBytes());
      REQUIRE(faulty.Bytes() <= budget.MaxBytes() + count * BufferBudget::kFreeBytes);
      BufferShare same_service(budget, BufferKind::kEvent, "faulty");
      REQUIRE(same_service.Resize(BufferBudget::kFreeBytes));
      BufferShare other_service(budget, BufferKind::kAnswerBody, "other");
      REQUIRE(other_service.Resize(2 * kMegabyte));
      BufferShare body(budget, BufferKind::kRequestBody, "team");
      REQUIRE(body.Resize(4 * kMegabyte));
    }
    CHECK(budget.Refusals(BufferKind::kEvent) > 0);
    CHECK(budget.Refusals(BufferKind::kAnswerBody) == 0);
  }
}

// Pattern: every service is faulty at once.
TEST_CASE("many owners together stay within the budget") {
  BufferBudget budget(16 * kMegabyte);
  std::vector<std::unique_ptr<EndlessBuffers>> services;
  for (int service = 0; service < 12; ++service) {
    services.push_back(std::make_unique<EndlessBuffers>(budget, BufferKind::kAnswerBody,
                                                        "service " + std::to_string(service), 20));
  }
  for (int round = 0; round < 200; ++round) {
    for (const auto& service : services) {
      service->Grow();
      REQUIRE(budget.HeldBytes() <= budget.MaxBytes());
    }
  }
  services.clear();
  CHECK(budget.HeldBytes() == 0);
}

// Pattern: one team sends many large bodies at once, another one a few.
TEST_CASE("large bodies of one team leave room for another team's") {
  BufferBudget budget(32 * kMegabyte);
  std::vector<std::unique_ptr<BufferShare>> bodies;
  int taken = 0;
  for (int body = 0; body < 28; ++body) {
    bodies.push_back(std::make_unique<BufferShare>(budget, BufferKind::kRequestBody, "large"));
    taken += bodies.back()->Resize(4 * kMegabyte) ? 1 : 0;
  }
  CHECK(taken >= 3);
  CHECK(taken < 28);
  BufferShare other(budget, BufferKind::kRequestBody, "small");
  CHECK(other.Resize(4 * kMegabyte));
  CHECK(budget.HeldBytes(BufferKind::kRequestBody) == budget.HeldBytes());
}

TEST_CASE("what a buffer held is free again when it shrinks or ends") {
  BufferBudget budget(4 * kMegabyte);
  {
    BufferShare share(budget, BufferKind::kRequestBody, "team");
    REQUIRE(share.Resize(2 * kMegabyte));
    CHECK_FALSE(share.Resize(4 * kMegabyte));
    CHECK(budget.HeldBytes() == 2 * kMegabyte - BufferBudget::kFreeBytes);
    CHECK(share.Resize(kMegabyte));
    CHECK(budget.HeldBytes() == kMegabyte - BufferBudget::kFreeBytes);
  }
  CHECK(budget.HeldBytes() == 0);
  CHECK(budget.HeldBytes(BufferKind::kRequestBody) == 0);
}

// Pattern: every connection holds a head that is as long as heads may be.
TEST_CASE("heads of requests are counted from fewer bytes on than other buffers") {
  BufferBudget budget(kMegabyte);
  BufferShare head(budget, BufferKind::kRequestHead, "heads");
  CHECK(head.Resize(BufferBudget::kFreeHeadBytes));
  CHECK(budget.HeldBytes() == 0);
  CHECK(head.Resize(BufferBudget::kFreeBytes));
  CHECK(budget.HeldBytes(BufferKind::kRequestHead) ==
        BufferBudget::kFreeBytes - BufferBudget::kFreeHeadBytes);
  CHECK_FALSE(head.Resize(kMegabyte));
}

TEST_CASE("small buffers are never refused") {
  BufferBudget budget(0);
  BufferShare share(budget, BufferKind::kEvent, "service");
  CHECK(share.Resize(BufferBudget::kFreeBytes));
  CHECK_FALSE(share.Resize(BufferBudget::kFreeBytes + 1));
}

}  // namespace
}  // namespace masticrill
