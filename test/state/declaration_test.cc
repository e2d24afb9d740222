#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/state_client.h"
#include "masticrill/config/delta.h"
#include "masticrill/config/text_delta.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;
using fakes::ValueOf;

std::string Text(int routes, int changed = -1) {
  std::string text;
  for (int index = 0; index < routes; ++index) {
    text += "{\"name\":\"route-" + std::to_string(index * 7919) +
            "\",\"limit\":" + (index == changed ? "7" : "5") + "000,\"service\":\"some-service\"},";
  }
  return text;
}

ChangeDeclaration ChangeTo(const StateClient& client, std::uint64_t revision,
                           const std::string& text, const std::string& id = "") {
  const std::string& current = client.Replica().Configuration()->declaration.text.Value();
  return {PatchId(id.empty() ? "c" + std::to_string(revision) : id),
          revision,
          config::MakeTextDelta(current, text, config::DeltaEncoding::kCompressed),
          OperatorId("ana"),
          "a test",
          1'000'000};
}

PatchStatus Declare(StateClient& client, std::uint64_t revision, const std::string& text) {
  return client.Do<PatchResult>(ChangeTo(client, revision, text)).status;
}

std::string Declared(const StateClient& client) {
  return client.Replica().Configuration()->declaration.text.Value();
}

/// The text that a node with the text `known` gets to.
std::string Updated(const StateClient& client, std::string known) {
  const ConfigurationUpdate update = client.Replica().UpdateFrom(0, config::TextDigest(known));
  if (update.text.whole) {
    return update.text.whole->Value();
  }
  for (const config::TextDelta& change : update.text.changes) {
    known = ValueOf([&] { return config::ApplyTextDelta(known, change); }).value_or("(none)");
  }
  return known;
}

std::size_t UpdateBytes(const StateClient& client, config::Number known, const std::string& text) {
  const ConfigurationUpdate update = client.Replica().UpdateFrom(known, config::TextDigest(text));
  std::size_t bytes = update.document.full_document.size();
  for (const std::string& patch : update.document.patches) {
    bytes += patch.size();
  }
  for (const config::TextDelta& change : update.text.changes) {
    bytes += change.operations.size();
  }
  return bytes + (update.text.whole ? update.text.whole->Value().size() : 0);
}

// Guards against changes whose cost to log, history and nodes grows with the declaration.
TEST_CASE("a change of one route costs the log and every node about its size") {
  constexpr std::size_t kMaxBytes = 2048;
  for (const int routes : {40, 1400, 10'000}) {
    CAPTURE(routes);
    StateClient client;
    REQUIRE(Declare(client, 1, Text(routes)) == PatchStatus::kAccepted);
    const std::string former = Declared(client);
    const ChangeDeclaration change = ChangeTo(client, 2, Text(routes, routes / 2));
    CHECK(EncodeCommand(change).size() <= kMaxBytes);
    REQUIRE(client.Do<PatchResult>(change).status == PatchStatus::kAccepted);
    CHECK(UpdateBytes(client, 1, former) <= kMaxBytes);
    const bool is_same = Updated(client, former) == Text(routes, routes / 2);
    CHECK(is_same);
    CHECK(client.Replica().Document().document.size() <= kMaxBytes);
  }
}

TEST_CASE("a declaration is changed only from the text that it was made for, to a later revision") {
  StateClient client;
  const ChangeDeclaration early = ChangeTo(client, 3, Text(3), "early");
  REQUIRE(Declare(client, 5, Text(2)) == PatchStatus::kAccepted);
  CHECK(client.Do<PatchResult>(early).status == PatchStatus::kStale);
  CHECK(Declare(client, 5, Text(4)) == PatchStatus::kIdConflict);
  CHECK(Declared(client) == Text(2));
  CHECK(client.Do<PatchResult>(ChangeTo(client, 5, Text(4), "same")).status == PatchStatus::kStale);
  const ChangeDeclaration later = ChangeTo(client, 6, Text(4), "later");
  CHECK(client.Do<PatchResult>(later).status == PatchStatus::kAccepted);
  CHECK(client.Do<PatchResult>(later) == PatchResult{PatchStatus::kAccepted, 2, ""});
  CHECK(Declared(client) == Text(4));
}

// Guards against a declaration that starts over whenever a roll-out or a block is decided.
TEST_CASE("another change of the configuration does not make a change of the declaration stale") {
  StateClient client;
  REQUIRE(Declare(client, 1, Text(3)) == PatchStatus::kAccepted);
  const ChangeDeclaration change = ChangeTo(client, 2, Text(4));
  REQUIRE(client.Patch("p", 1, R"({"failure_domains":{"a":{"region":"r"}}})").status ==
          PatchStatus::kAccepted);
  CHECK(client.Do<PatchResult>(change).status == PatchStatus::kAccepted);
  CHECK(client.Replica().Configuration()->failure_domains.size() == 1);
  CHECK(Declared(client) == Text(4));
}

TEST_CASE("a snapshot keeps the text, its history and the results of its changes") {
  StateClient client;
  REQUIRE(Declare(client, 1, Text(300)) == PatchStatus::kAccepted);
  const std::string first = Declared(client);
  const ChangeDeclaration change = ChangeTo(client, 2, Text(300, 9));
  REQUIRE(client.Do<PatchResult>(change).status == PatchStatus::kAccepted);
  StateClient restored;
  restored.Replica().Restore(client.Replica().Snapshot());
  CHECK(restored.Replica().Snapshot() == client.Replica().Snapshot());
  CHECK(Declared(restored) == Text(300, 9));
  CHECK(restored.Replica().KeepsTextApart());
  CHECK(UpdateBytes(restored, 1, first) <= 2048);
  CHECK(Updated(restored, first) == Text(300, 9));
}

TEST_CASE("every node gets to the current text, whatever text it has") {
  constexpr int kChanges = 60;
  Limits limits;
  limits.max_history = 12;
  StateClient client(limits);
  std::vector<std::string> texts = {"", "unknown"};
  for (int change = 1; change <= kChanges; ++change) {
    const std::string next = Text(30 + change % 7, change % 5);
    REQUIRE(Declare(client, static_cast<std::uint64_t>(change), next) == PatchStatus::kAccepted);
    texts.push_back(next);
  }
  for (const std::string& known : texts) {
    const bool is_same = Updated(client, known) == texts.back();
    CHECK(is_same);
  }
}

TEST_CASE("a rollback restores the text of its number") {
  StateClient client;
  REQUIRE(Declare(client, 1, Text(5)) == PatchStatus::kAccepted);
  REQUIRE(Declare(client, 2, Text(6)) == PatchStatus::kAccepted);
  CHECK(client.Do<PatchResult>(RollbackConfiguration{PatchId("r"), 2, 1, OperatorId("ana"), "", 1})
            .status == PatchStatus::kAccepted);
  CHECK(Declared(client) == Text(5));
  CHECK(client.Replica().Configuration()->declaration.revision == 1);
}

TEST_CASE("a merge patch with a text still sets the declaration, and nobody can set a digest") {
  StateClient client;
  CHECK(client.Patch("p1", 0, R"({"declaration":{"revision":1,"digest":"x"}})").status ==
        PatchStatus::kInvalid);
  REQUIRE(client.Patch("p2", 0, R"({"declaration":{"revision":1,"text":"one"}})").status ==
          PatchStatus::kAccepted);
  CHECK_FALSE(client.Replica().KeepsTextApart());
  REQUIRE(Declare(client, 2, "two") == PatchStatus::kAccepted);
  CHECK(client.Replica().KeepsTextApart());
  REQUIRE(client.Patch("p3", 2, R"({"declaration":{"revision":3,"text":"three"}})").status ==
          PatchStatus::kAccepted);
  CHECK(Declared(client) == "three");
  CHECK(client.Replica().Document().document.find("three") == std::string::npos);
  CHECK(client.Patch("p4", 3, R"({"declaration":{"digest":"x"}})").status == PatchStatus::kInvalid);
  REQUIRE(client.Patch("p5", 3, R"({"declaration":null})").status == PatchStatus::kAccepted);
  CHECK(Declared(client).empty());
  CHECK(Declare(client, 1, "again") == PatchStatus::kAccepted);
}

TEST_CASE("a node of an earlier program gets a document with the text in it") {
  StateClient client;
  REQUIRE(Declare(client, 1, "some text") == PatchStatus::kAccepted);
  const auto delta = ValueOf([&] { return client.Replica().WholeDelta(); });
  REQUIRE(delta);
  const auto document = ValueOf([&] { return config::ApplyDelta({}, *delta); });
  REQUIRE(document);
  const auto parsed = ValueOf([&] { return config::ParseDocument(document->document, 1); });
  REQUIRE(parsed);
  CHECK(parsed->declaration.text.Value() == "some text");
  CHECK(parsed->declaration.digest.empty());
}

TEST_CASE("a snapshot without a text that is kept apart has the format of earlier programs") {
  StateClient client;
  client.Patch("p", 0, R"({"declaration":{"revision":1,"text":"one"}})");
  CHECK(client.Replica().Snapshot().front() == 2);
  Declare(client, 2, "two");
  CHECK(client.Replica().Snapshot().front() == 3);
}

}  // namespace
}  // namespace masticrill::state
