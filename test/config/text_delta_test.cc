#include "masticrill/config/text_delta.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/config_errors.h"
#include "masticrill/common/random.h"

namespace masticrill::config {
namespace {

using fakes::MessageOf;
using fakes::ValueOf;

/// A text of many records, of which one may differ.
std::string Records(int count, int changed = -1) {
  std::string text = "{\"version\":1,\"records\":[";
  for (int index = 0; index < count; ++index) {
    text += (index == 0 ? "" : ",");
    text += "{\"name\":\"record-" + std::to_string(index * 7919) +
            "\",\"targets\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\"}],\"limit\":" +
            (index == changed ? "7" : "5") + "000,\"public\":false}";
  }
  return text + "]}";
}

std::string Applied(const std::string& base, const TextDelta& delta) {
  return ValueOf([&] { return ApplyTextDelta(base, delta); }).value_or("(none)");
}

// Guards against changes whose cost grows with the text.
TEST_CASE("a change of one record costs about its size, whatever the number of records") {
  constexpr std::size_t kMaxBytes = 1024;
  for (const int count : {40, 1400, 10'000}) {
    CAPTURE(count);
    const std::string base = Records(count);
    for (const int changed : {0, count / 2, count - 1}) {
      const std::string result = Records(count, changed);
      const TextDelta delta = MakeTextDelta(base, result, DeltaEncoding::kPlain);
      CHECK(delta.operations.size() <= kMaxBytes);
      const bool is_same = Applied(base, delta) == result;
      CHECK(is_same);
    }
    const TextDelta longer = MakeTextDelta(base, Records(count + 1), DeltaEncoding::kPlain);
    CHECK(longer.operations.size() <= kMaxBytes);
    CHECK(MakeTextDelta(base, base, DeltaEncoding::kPlain).operations.size() <= 16);
  }
}

TEST_CASE("a new text of equal records is compressed, and restored") {
  const std::string text = Records(1000);
  const TextDelta delta = MakeTextDelta("", text, DeltaEncoding::kCompressed);
  CHECK(delta.compressed);
  CHECK(delta.operations.size() < text.size() / 4);
  const bool is_same = Applied("", delta) == text;
  CHECK(is_same);
}

TEST_CASE("a delta leads between any two texts") {
  constexpr int kRounds = 400;
  Random random(11);
  std::string text = Records(20);
  for (int round = 0; round < kRounds; ++round) {
    std::string next = text;
    for (std::uint64_t edits = random.Below(4); edits > 0; --edits) {
      const std::size_t begin = random.Below(next.size() + 1);
      const std::size_t removed = random.Below(round % 7 == 0 ? next.size() + 1 : 60);
      const std::string added = Records(static_cast<int>(random.Below(3)), 1);
      next = next.substr(0, begin) + added + next.substr(std::min(next.size(), begin + removed));
    }
    const DeltaEncoding encoding =
        round % 2 == 0 ? DeltaEncoding::kPlain : DeltaEncoding::kCompressed;
    const bool there = Applied(text, MakeTextDelta(text, next, encoding)) == next;
    const bool back = Applied(next, MakeTextDelta(next, text, encoding)) == text;
    CHECK(there);
    CHECK(back);
    text = next;
  }
}

TEST_CASE("a delta of another text, or a damaged one, makes nothing") {
  const std::string base = Records(10);
  const TextDelta good = MakeTextDelta(base, Records(12, 3), DeltaEncoding::kPlain);
  CHECK(MessageOf([&] { return ApplyTextDelta("other", good); }) ==
        "The change belongs to another text. Ask for the whole text.");
  Random random(5);
  for (int round = 0; round < 300; ++round) {
    TextDelta damaged = good;
    damaged.operations[random.Below(damaged.operations.size())] =
        static_cast<char>(random.Below(256));
    if (damaged != good) {
      CHECK_FALSE(ValueOf([&] { return ApplyTextDelta(base, damaged); }));
    }
  }
  TextDelta huge = good;
  huge.result_bytes = kMaxDeltaTextBytes + 1;
  CHECK_FALSE(ValueOf([&] { return ApplyTextDelta(base, huge); }));
}

// Guards against a small message that expands until memory is full.
TEST_CASE("a compressed delta that expands beyond its announced size is refused") {
  const std::string large(std::size_t{40} << 20U, 'x');
  TextDelta delta = MakeTextDelta("", large, DeltaEncoding::kCompressed);
  REQUIRE(delta.compressed);
  delta.result_bytes = 10;
  CHECK_FALSE(ValueOf([&] { return ApplyTextDelta("", delta); }));
}

}  // namespace
}  // namespace masticrill::config
