#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/state_client.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using config::Number;
using fakes::StateClient;
using fakes::ValueOf;

constexpr WallTimeMs kStart = 1'000'000;

std::string AddDomain(const std::string& name) {
  return R"({"failure_domains":{")" + name + R"(":{"region":"north"}}})";
}

/// Advances the time of the state by commands that change nothing else.
void AdvanceTime(StateClient& client, WallTimeMs from, WallTimeMs to) {
  for (WallTimeMs at = from; at <= to; at += 60'000) {
    client.Apply(ReassignClaim{{}, {}, {}, at});
  }
}

TEST_CASE("patches are accepted only for the current number") {
  StateClient client;
  CHECK(client.Patch("p1", 0, AddDomain("a")) == PatchResult{PatchStatus::kAccepted, 1, ""});
  const PatchResult stale = client.Patch("p2", 0, AddDomain("b"));
  CHECK(stale.status == PatchStatus::kStale);
  CHECK(stale.number == 1);
  CHECK(client.Patch("p3", 5, AddDomain("b")).status == PatchStatus::kStale);
  const PatchResult invalid = client.Patch("p4", 1, R"({"teams":{"x":{"wait":1}}})");
  CHECK(invalid.status == PatchStatus::kInvalid);
  CHECK(invalid.number == 1);
  CHECK(invalid.message == "$.teams.x.wait: is unknown. Did you mean 'weight'?");
  CHECK(client.Patch("", 1, AddDomain("b")).status == PatchStatus::kInvalid);
  CHECK(client.Replica().Configuration()->number == 1);
  CHECK(client.Replica().Configuration()->failure_domains.size() == 1);
}

TEST_CASE("a resend gets its first result, also after a restore; another change is a conflict") {
  StateClient client;
  const PatchResult accepted = client.Patch("p1", 0, AddDomain("a"));
  const PatchResult stale = client.Patch("p2", 0, AddDomain("b"));
  client.Patch("p3", 1, AddDomain("c"));
  for (int round = 0; round < 2; ++round) {
    CHECK(client.Patch("p1", 0, AddDomain("a")) == accepted);
    CHECK(client.Patch("p2", 0, AddDomain("b")) == stale);
    CHECK(client.Patch("p1", 0, AddDomain("z")).status == PatchStatus::kIdConflict);
    CHECK(client.Patch("p1", 2, AddDomain("a")).status == PatchStatus::kIdConflict);
    CHECK(client.Replica().Configuration()->number == 2);
    client.Replica().Restore(client.Replica().Snapshot());
  }
}

TEST_CASE("results are kept for the window, and no patch is accepted beyond max_patch_results") {
  Limits limits;
  limits.max_patch_results = 3;
  limits.patch_window_ms = 600'000;
  StateClient client(limits);
  for (Number number = 0; number < 3; ++number) {
    const std::string id = std::to_string(number);
    CHECK(client.Patch(id, number, AddDomain("d" + id), kStart).status == PatchStatus::kAccepted);
  }
  CHECK(client.Patch("x", 3, AddDomain("x"), kStart).status == PatchStatus::kFull);
  CHECK(client.Patch("0", 0, AddDomain("d0"), kStart).status == PatchStatus::kAccepted);
  AdvanceTime(client, kStart, kStart + 540'000);
  CHECK(client.Patch("x", 3, AddDomain("x"), kStart + 599'999).status == PatchStatus::kFull);
  CHECK(client.Patch("x", 3, AddDomain("x"), kStart + 600'000).status == PatchStatus::kAccepted);
  // Outside the window the resend is evaluated again, and its number is stale.
  CHECK(client.Patch("0", 0, AddDomain("d0"), kStart + 600'000).status == PatchStatus::kStale);
}

TEST_CASE(
    "stored results of refused changes are limited; without one a resend is evaluated again") {
  Limits limits;
  limits.max_refused_patch_results = 10;
  StateClient client(limits);
  client.Patch("first", 0, AddDomain("a"));
  for (int i = 0; i < 50; ++i) {
    CHECK(client.Patch("s" + std::to_string(i), 0, AddDomain("b")).status == PatchStatus::kStale);
  }
  CHECK(client.Replica().Sizes().patch_results == 11);
  CHECK(client.Patch("s0", 0, AddDomain("b")).status == PatchStatus::kStale);
}

TEST_CASE("a rollback stores the document of the old number under a new number") {
  StateClient client;
  client.Patch("p1", 0, AddDomain("a"));
  const std::string first = client.Replica().Document().document;
  client.Patch("p2", 1, AddDomain("b"));
  client.Patch("p3", 2, R"({"failure_domains":{"a":null}})");
  const auto rollback = [&](const std::string& id, Number expected, Number to) {
    return client.Do<PatchResult>(
        RollbackConfiguration{PatchId(id), expected, to, OperatorId("ana"), "bad change", kStart});
  };
  CHECK(rollback("r0", 3, 3).status == PatchStatus::kInvalid);
  CHECK(rollback("r1", 3, 9).status == PatchStatus::kInvalid);
  CHECK(rollback("r2", 2, 1).status == PatchStatus::kStale);
  CHECK(rollback("r3", 3, 1) == PatchResult{PatchStatus::kAccepted, 4, ""});
  CHECK(rollback("r3", 3, 1) == PatchResult{PatchStatus::kAccepted, 4, ""});
  CHECK(client.Replica().Document() == config::NumberedDocument{4, first});
  const std::vector<HistoryEntry> history = client.Replica().History();
  REQUIRE(history.size() == 4);
  CHECK(history[3].kind == ChangeKind::kRollback);
  CHECK(history[3].author == OperatorId("ana"));
  CHECK(history[3].reason == "bad change");
  CHECK(history[3].at == kStart);
  CHECK(rollback("r4", 4, 0).status == PatchStatus::kAccepted);
  CHECK(client.Replica().Document() == config::NumberedDocument{5, "{}"});
}

TEST_CASE("every retained number can be rolled back to, and every node updated by a delta") {
  constexpr int kChanges = 300;
  Limits limits;
  limits.max_history = 50;
  StateClient client(limits);
  Random random(21);
  std::vector<config::NumberedDocument> documents = {client.Replica().Document()};
  for (int i = 0; i < kChanges; ++i) {
    const std::string name = "d" + std::to_string(random.Below(20));
    const bool removes = documents.back().document.find("\"" + name + "\"") != std::string::npos;
    const std::string patch =
        removes ? R"({"failure_domains":{")" + name + R"(":null}})" : AddDomain(name);
    const auto number = static_cast<Number>(i);
    REQUIRE(client.Patch("p" + std::to_string(i), number, patch).status == PatchStatus::kAccepted);
    documents.push_back(client.Replica().Document());
  }
  for (const config::NumberedDocument& known : documents) {
    const config::ConfigurationDelta delta = client.Replica().DeltaFrom(known.number);
    CHECK(ValueOf([&] { return config::ApplyDelta(known, delta); }) == documents.back());
    CHECK((known.number < kChanges - 50 ? delta.IsFull() : true));
  }
  CHECK_FALSE(client.Replica().DeltaFrom(kChanges - 1).IsFull());
  CHECK(client.Replica().DeltaFrom(kChanges + 7).IsFull());
  Number current = kChanges;
  for (Number to = kChanges - 49; to < kChanges; to += 7) {
    const PatchResult result = client.Do<PatchResult>(
        RollbackConfiguration{PatchId("r" + std::to_string(to)), current, to, {}, "", kStart});
    if (to + 50 < current) {
      CHECK(result.status == PatchStatus::kInvalid);
      continue;
    }
    ++current;
    CHECK(client.Replica().Document() == config::NumberedDocument{current, documents[to].document});
  }
}

TEST_CASE("of patches for the same number exactly one is accepted, resends included") {
  constexpr int kRounds = 300;
  Random random(31);
  StateClient client;
  struct SentPatch {
    std::string id;
    Number expected = 0;
    std::string patch;
    PatchResult first;
  };
  std::vector<SentPatch> sent;
  Number last = 0;
  std::vector<int> winners(kRounds + 1);
  for (int round = 0; round < kRounds; ++round) {
    const Number expected = client.Replica().Configuration()->number;
    for (int contender = 0; contender < 3; ++contender) {
      const std::string id = std::to_string(round) + "-" + std::to_string(contender);
      const std::string patch = AddDomain("d" + std::to_string(random.Below(50)));
      const PatchResult result = client.Patch(id, expected, patch);
      winners[expected] += result.status == PatchStatus::kAccepted ? 1 : 0;
      sent.push_back({id, expected, patch, result});
      const SentPatch& old = sent[random.Below(sent.size())];
      CHECK(client.Patch(old.id, old.expected, old.patch) == old.first);
      CHECK(client.Replica().Configuration()->number >= last);
      last = client.Replica().Configuration()->number;
    }
  }
  CHECK(last == kRounds);
  for (int number = 0; number < kRounds; ++number) {
    CHECK(winners[number] == 1);
  }
}

}  // namespace
}  // namespace masticrill::state
