#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/config_errors.h"
#include "masticrill/common/random.h"
#include "masticrill/config/document.h"
#include "masticrill/state/codec.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::state {
namespace {

/// Small limits, so that random histories fill the tables and exceed the windows.
Limits SmallLimits() {
  Limits limits;
  limits.claim_window_ms = 3000;
  limits.pin_window_ms = 2000;
  limits.patch_window_ms = 4000;
  limits.charge_window_ms = 2500;
  limits.max_claims = 12;
  limits.max_pins = 8;
  limits.max_charges = 20;
  limits.max_patch_results = 6;
  limits.max_refused_patch_results = 5;
  limits.max_history = 7;
  limits.max_retained_records = 15;
  limits.max_incarnations = 4;
  limits.max_total_answer_bytes = 60;
  return limits;
}

/// Generates random commands over few names, so that they often concern the same records.
class CommandSource {
 public:
  explicit CommandSource(std::uint64_t seed) : random(seed) {}

  std::string Next(const ReplicatedState& state) {
    this->now += static_cast<WallTimeMs>(this->random.Below(200));
    if (this->random.Below(40) == 0) {
      return "\xff garbage";
    }
    if (this->random.Below(10) == 0) {
      return EncodeCommand(
          Batch{{this->NextSingle(state), this->NextSingle(state), this->NextSingle(state)}});
    }
    return this->NextSingle(state);
  }

 private:
  std::string Pick(const char* prefix, std::uint64_t count) {
    return prefix + std::to_string(this->random.Below(count));
  }

  std::string NextSingle(const ReplicatedState& state) {
    switch (this->random.Below(10)) {
      case 0:
        return EncodeCommand(this->Patch(state));
      case 1:
        return EncodeCommand(
            RollbackConfiguration{PatchId(this->Pick("p", 500)), state.Configuration()->number,
                                  state.Configuration()->number - this->random.Below(9),
                                  OperatorId("ana"), "", this->now});
      case 2:
        return EncodeCommand(
            OpenClaim{this->Claim(), this->Pick("h", 2), this->Holder(), this->now});
      case 3:
        return EncodeCommand(
            ReassignClaim{this->Claim(), AttemptId(this->Pick("a", 4)), this->Holder(), this->now});
      case 4:
        return EncodeCommand(ResolveClaim{
            this->Claim(), AttemptId(this->Pick("a", 4)),
            static_cast<ClaimResolution>(this->random.Below(3)),
            RecordedAnswer{200, "t", std::string(this->random.Below(30), 'x'), true}, this->now});
      case 5:
        return EncodeCommand(PinSession{this->Pin(), VersionId(this->Pick("v", 4)), this->now});
      case 6:
        return EncodeCommand(RepinSession{this->Pin(), VersionId(this->Pick("v", 4)),
                                          VersionId(this->Pick("v", 4)), this->now});
      case 7:
        return EncodeCommand(Charge{this->Line(), this->now});
      case 8:
        return EncodeCommand(this->Report());
      default:
        return EncodeCommand(CloseIncarnation{NodeId(this->Pick("e", 2)),
                                              IncarnationId(this->Pick("i", 3)), this->now});
    }
  }

  PatchConfiguration Patch(const ReplicatedState& state) {
    const bool stale = this->random.Below(4) == 0;
    const Number number = state.Configuration()->number;
    std::string patch = number == 0 ? config::ExampleDocument()
                                    : R"({"failure_domains":{")" + this->Pick("d", 5) +
                                          R"(":{"region":")" + this->Pick("r", 3) + R"("}}})";
    if (this->random.Below(5) == 0) {
      patch = R"({"models":{"small":{"versions":{"v1":{"state":"withdrawn"}},"rollout":null,
                  "default_version":"v2"}}})";
    }
    return {PatchId(this->Pick("p", 500)),
            stale ? number + 1 : number,
            patch,
            OperatorId("ana"),
            "",
            this->now};
  }

  ClaimKey Claim() { return {TeamId("guild"), IdempotencyKey(this->Pick("k", 20))}; }
  ClaimHolder Holder() {
    return {RequestId(this->Pick("r", 30)), AttemptId(this->Pick("a", 4)), UpstreamId("u"),
            IncarnationId("i")};
  }
  PinKey Pin() {
    return {TeamId(this->random.Below(2) == 0 ? "guild" : "lux"), SessionId(this->Pick("s", 10)),
            ModelId("small")};
  }
  ChargeLine Line() {
    ChargeLine line;
    line.request = RequestId(this->Pick(this->random.Below(2) == 0 ? "r" : "e1-i1-", 60));
    line.team = TeamId("guild");
    line.cost = this->random.Below(2);
    line.received_at = this->now - static_cast<WallTimeMs>(this->random.Below(3000));
    return line;
  }
  RecordOutcomes Report() {
    const TeamClass team_class{TeamId("guild"), RequestClass::kBrief};
    Outcome outcome;
    outcome.request = RequestId(this->Pick("r", 30));
    outcome.team = team_class.team;
    outcome.request_class = team_class.request_class;
    return {NodeId(this->Pick("e", 2)),
            IncarnationId(this->Pick("i", 3)),
            1 + this->random.Below(4),
            {{team_class, this->random.Below(9)}},
            std::vector<Outcome>(this->random.Below(3), outcome),
            this->now};
  }

  using Number = config::Number;
  Random random;
  WallTimeMs now = 1'000'000;
};

TEST_CASE("a replica restored at any point equals its peer from then on") {
  constexpr int kHistories = 30;
  constexpr int kCommands = 400;
  for (int seed = 1; seed <= kHistories; ++seed) {
    CommandSource source(static_cast<std::uint64_t>(seed));
    Random random(static_cast<std::uint64_t>(seed) + 1000);
    ReplicatedState reference(SmallLimits());
    ReplicatedState restored(SmallLimits());
    for (std::uint64_t index = 1; index <= kCommands; ++index) {
      const std::string command = source.Next(reference);
      const std::string result = reference.Apply(index, command);
      REQUIRE(restored.Apply(index, command) == result);
      if (random.Below(10) == 0) {
        const std::string snapshot = reference.Snapshot();
        REQUIRE(restored.Snapshot() == snapshot);
        ReplicatedState fresh(SmallLimits());
        fresh.Restore(snapshot);
        REQUIRE(fresh.Snapshot() == snapshot);
        REQUIRE(fresh.Totals() == reference.Totals());
        REQUIRE(fresh.Document() == reference.Document());
        restored.Restore(fresh.Snapshot());
      }
      REQUIRE(reference.VerifyLedger().intact);
    }
    // The histories exceed the limits of the history and of the retained records.
    CHECK(reference.Configuration()->number > 7);
    CHECK(reference.ChainHead().sequence > 15);
  }
}

TEST_CASE("applying an index again changes nothing") {
  CommandSource source(5);
  ReplicatedState state(SmallLimits());
  for (std::uint64_t index = 1; index <= 300; ++index) {
    const std::string command = source.Next(state);
    const std::string result = state.Apply(index, command);
    const std::string snapshot = state.Snapshot();
    REQUIRE(state.Apply(index, command) == result);
    REQUIRE(state.Apply(index, "another command") == result);
    const auto earlier =
        fakes::ValueOf([&] { return DecodeResult(state.Apply(index - 1, command)); });
    REQUIRE(std::holds_alternative<RejectedCommand>(earlier.value()));
    REQUIRE(state.Snapshot() == snapshot);
  }
}

TEST_CASE("a batch gives the results of its commands one by one; a nested batch is rejected") {
  CommandSource source(6);
  ReplicatedState single;
  ReplicatedState batched;
  Batch batch;
  std::vector<std::string> results;
  for (std::uint64_t index = 1; index <= 200; ++index) {
    batch.commands.push_back(EncodeCommand(
        OpenClaim{{TeamId("t"), IdempotencyKey(std::to_string(index % 50))}, "h", {}, 1'000'000}));
    results.push_back(single.Apply(index, batch.commands.back()));
  }
  const auto result =
      fakes::ValueOf([&] { return DecodeResult(batched.Apply(200, EncodeCommand(batch))); });
  CHECK(std::get<BatchResult>(result.value()).results == results);
  CHECK(batched.Sizes().claims == single.Sizes().claims);
  const auto nested = fakes::ValueOf([&] {
    return DecodeResult(batched.Apply(201, EncodeCommand(Batch{{EncodeCommand(Batch{})}})));
  });
  const auto inner = fakes::ValueOf(
      [&] { return DecodeResult(std::get<BatchResult>(nested.value()).results.at(0)); });
  CHECK(std::holds_alternative<RejectedCommand>(inner.value()));
}

TEST_CASE("a snapshot that is truncated, extended or made under other limits changes nothing") {
  CommandSource source(7);
  ReplicatedState state(SmallLimits());
  for (std::uint64_t index = 1; index <= 100; ++index) {
    state.Apply(index, source.Next(state));
  }
  const std::string snapshot = state.Snapshot();
  ReplicatedState other(SmallLimits());
  const std::string empty = other.Snapshot();
  for (std::size_t size = 0; size < snapshot.size(); size += 13) {
    CHECK_FALSE(
        fakes::MessageOf([&] { return other.TryRestore(snapshot.substr(0, size)); }).empty());
  }
  CHECK_FALSE(fakes::MessageOf([&] { return other.TryRestore(snapshot + "x"); }).empty());
  CHECK(other.Snapshot() == empty);
  ReplicatedState larger;
  CHECK(fakes::MessageOf([&] { return larger.TryRestore(snapshot); }) ==
        "The snapshot was made under other limits. Set equal limits on all replicas.");
}

}  // namespace
}  // namespace masticrill::state
