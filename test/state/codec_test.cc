#include "masticrill/state/codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/config_errors.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using fakes::MessageOf;
using fakes::ValueOf;

const ClaimHolder kHolder{RequestId("r1"), AttemptId("a1"), UpstreamId("u1"), IncarnationId("i1")};
const ClaimKey kClaim{TeamId("guild"), IdempotencyKey("k1")};
const PinKey kPin{TeamId("guild"), SessionId("s1"), ModelId("small")};
const ChargeLine kLine{RequestId("r1"),
                       TeamId("guild"),
                       {ModelId("small"), VersionId("v1")},
                       100,
                       200,
                       300,
                       ChargeReporter::kSidecar,
                       1234};
const Outcome kOutcome{RequestId("r1"),
                       TeamId("guild"),
                       RequestClass::kTag,
                       {ModelId("small"), VersionId("v1")},
                       OutcomeKind::kRefused,
                       RefusalKind::kOverloaded,
                       Execution::kNotRun,
                       3,
                       {{DecisionReason("queue_full"), UpstreamId("u1"), 1}},
                       -5};

std::vector<Command> EveryCommand() {
  return {PatchConfiguration{PatchId("p"), 3, "{}", OperatorId("ana"), "why", 1},
          RollbackConfiguration{PatchId("p"), 3, 2, OperatorId("ana"), "why", 1},
          OpenClaim{kClaim, "hash", kHolder, 1},
          ReassignClaim{kClaim, AttemptId("a0"), kHolder, 1},
          ResolveClaim{kClaim, AttemptId("a1"), ClaimResolution::kAnswered,
                       RecordedAnswer{201, "text/plain", std::string("b\0c", 3), true}, 1},
          PinSession{kPin, VersionId("v1"), 1},
          RepinSession{kPin, VersionId("v1"), VersionId("v2"), 1},
          Charge{kLine, 1},
          RecordOutcomes{NodeId("e"),
                         IncarnationId("i"),
                         7,
                         {{{TeamId("guild"), RequestClass::kTag}, 9}},
                         {kOutcome},
                         1},
          CloseIncarnation{NodeId("e"), IncarnationId("i"), 1},
          Batch{{EncodeCommand(CloseIncarnation{NodeId("e"), IncarnationId("i"), 1}), ""}}};
}

std::vector<CommandResult> EveryResult() {
  return {RejectedCommand{ErrorKind::kMalformedMessage, "m"},
          PatchResult{PatchStatus::kStale, 8, "m"},
          ClaimResult{ClaimStatus::kInProgress, kHolder, {}},
          PinResult{PinStatus::kPinned, VersionId("v1")},
          ChargeResult{ChargeStatus::kDiscrepancy},
          ReportResult{ReportStatus::kGap, 4, 2},
          BatchResult{{"a", "b"}}};
}

TEST_CASE("commands and results go through their bytes unchanged") {
  for (const Command& command : EveryCommand()) {
    CHECK(ValueOf([&] { return DecodeCommand(EncodeCommand(command)); }) == command);
  }
  for (const CommandResult& result : EveryResult()) {
    CHECK(ValueOf([&] { return DecodeResult(EncodeResult(result)); }) == result);
  }
  const ChainedRecord record{7, kOutcome, "hash"};
  CHECK(ValueOf([&] { return DecodeRecord(EncodeRecord(record)); }) == record);
}

TEST_CASE("every cut and every added byte is malformed") {
  for (const Command& command : EveryCommand()) {
    const std::string bytes = EncodeCommand(command);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(ValueOf([&] { return DecodeCommand(bytes.substr(0, size)); }));
    }
    CHECK_FALSE(ValueOf([&] { return DecodeCommand(bytes + '\0'); }));
  }
}

TEST_CASE("lengths beyond the message are refused before anything is allocated") {
  // The ninth kind, then texts that claim the largest length.
  const std::string huge("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10);
  for (char kind = 0; kind < 22; kind += 2) {
    const std::string message =
        MessageOf([&] { return DecodeCommand(std::string(1, kind) + huge); });
    CHECK(message.find("cannot be read") != std::string::npos);
  }
  CHECK(MessageOf([] { return DecodeCommand("\x7e"); }).find("cannot be read") !=
        std::string::npos);
  CHECK(MessageOf([] { return DecodeCommand(std::string(kMaxCommandBytes + 1, '\0')); }) ==
        "The command is larger than 8388608 bytes. Send it in smaller parts.");
}

TEST_CASE("random bytes are decoded or refused, never worse") {
  constexpr int kRounds = 50'000;
  Random random(3);
  const std::vector<Command> commands = EveryCommand();
  for (int i = 0; i < kRounds; ++i) {
    std::string bytes = EncodeCommand(commands[random.Below(commands.size())]);
    for (std::uint64_t flips = 1 + random.Below(4); flips > 0; --flips) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    if (const auto command = ValueOf([&] { return DecodeCommand(bytes); })) {
      REQUIRE(ValueOf([&] { return DecodeCommand(EncodeCommand(*command)); }) == command);
    }
  }
}

}  // namespace
}  // namespace masticrill::state
