#include "masticrill/config/document.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/config_errors.h"
#include "masticrill/common/random.h"

namespace masticrill::config {
namespace {

using fakes::MessageOf;
using fakes::ValueOf;

constexpr std::string_view kHash =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

std::string Patched(const std::string& patch) {
  return ValueOf([&] { return ApplyMergePatch(ExampleDocument(), patch); }).value_or("no merge");
}

/// The fault of the example document after a patch.
std::string FaultOf(const std::string& patch) {
  return MessageOf([&] { return ParseDocument(Patched(patch), 1); });
}

TEST_CASE("the example is valid and survives a round trip") {
  const auto parsed = ValueOf([] { return ParseDocument(ExampleDocument(), 7); });
  REQUIRE(parsed);
  CHECK(parsed->number == 7);
  CHECK(parsed->teams.size() == 2);
  CHECK(parsed->models.at(ModelId("small")).rollout->candidate == VersionId("v2"));
  CHECK(parsed->upstreams.at(UpstreamId("engine-1")).serves.size() == 3);
  const std::string canonical = SerializeDocument(*parsed);
  const auto again = ValueOf([&] { return ParseDocument(canonical, 7); });
  REQUIRE(again);
  CHECK(*again == *parsed);
  CHECK(SerializeDocument(*again) == canonical);
}

TEST_CASE("the empty document is valid") {
  const auto parsed = ValueOf([] { return ParseDocument(kEmptyDocument, 0); });
  REQUIRE(parsed);
  CHECK(*parsed == Configuration{});
}

TEST_CASE("text that is no strict JSON is refused") {
  struct Row {
    std::string text;
    std::string message;
  };
  const std::vector<Row> rows = {
      {"", "$: is not JSON in UTF-8 at byte 1. Correct its form there."},
      {"{", "$: is not JSON in UTF-8 at byte 2. Correct its form there."},
      {"{} {}", "$: is not JSON in UTF-8 at byte 4. Correct its form there."},
      {"[]", "$: is not an object. Write {...}."},
      {"{\"teams\":{},\"teams\":{}}", "$.teams: stands twice. Remove one of the two."},
      {"{\"models\":{\"a\":{\"default_version\":\"x\",\"default_version\":\"y\"}}}",
       "$.models.a.default_version: stands twice. Remove one of the two."},
      {"{\"teams\":\"\xff\"}", "$: is not JSON in UTF-8 at byte 11. Correct its form there."},
      {"{\"rating\":{\"timeout_ms\":1e999}}",
       "$: holds a value out of range. Write a smaller number."},
      {std::string(kMaxDocumentBytes + 1, ' '),
       "$: is larger than 4194304 bytes. Make it smaller."},
  };
  for (const Row& row : rows) {
    CHECK(MessageOf([&] { return ParseDocument(row.text, 1); }) == row.message);
  }
}

TEST_CASE("deep nesting is refused and does not exhaust the stack") {
  constexpr int kLevels = 100'000;
  std::string text;
  for (int i = 0; i < kLevels; ++i) {
    text += "{\"a\":";
  }
  text += "1" + std::string(kLevels, '}');
  const std::string message = MessageOf([&] { return ParseDocument(text, 1); });
  CHECK(message.find("is nested too deeply") != std::string::npos);
  CHECK(MessageOf([&] { return ApplyMergePatch("{}", text); }) == message);
}

TEST_CASE("a value of the wrong form is refused with its path and the remedy") {
  struct Row {
    std::string patch;
    std::string message;
  };
  const std::string salt = "\"salt\":\"00112233\"";
  const std::vector<Row> rows = {
      {R"({"team":{}})", "$.team: is unknown. Did you mean 'teams'?"},
      {R"({"teams":{"guild":{"wieght":2}}})",
       "$.teams.guild.wieght: is unknown. Did you mean 'weight'?"},
      {R"({"teams":{"guild":{"weight":0}}})",
       "$.teams.guild.weight: is out of range. Write a whole number from 1 to 1000."},
      {R"({"teams":{"guild":{"weight":1.5}}})",
       "$.teams.guild.weight: is out of range. Write a whole number from 1 to 1000."},
      {R"({"teams":{"guild":{"weight":-1}}})",
       "$.teams.guild.weight: is out of range. Write a whole number from 1 to 1000."},
      {R"({"teams":{"guild":{"max_in_flight":99999999999999999999}}})",
       "$.teams.guild.max_in_flight: is out of range. Write a whole number from 0 to 1000000."},
      {R"({"teams":{"guild":{"repin_on_withdrawal":"yes"}}})",
       "$.teams.guild.repin_on_withdrawal: is not a boolean. Write true or false."},
      {R"({"teams":{"guild":{"cascades":["auto","auto"]}}})",
       "$.teams.guild.cascades[1]: stands twice. Remove one of the two."},
      {R"({"teams":{"guild":{"cascades":[null]}}})",
       "$.teams.guild.cascades[0]: is not a text. Write it in quotes."},
      {R"({"teams":{"a b":{}}})",
       "$.teams.a b: is not a name. Use 1 to 64 of the characters a-z, A-Z, 0-9, '.', '_', '-'."},
      {R"({"teams":{"guild":{"keys":{"k1":{"salt":"xy"}}}}})",
       "$.teams.guild.keys.k1.salt: is not a salt. Write 8 to 128 lower-case hexadecimal digits."},
      {R"({"operators":{"eve":{)" + salt + R"(,"hash":"12"}}})",
       "$.operators.eve.hash: is not a hash. Write the SHA-256 of salt and secret as 64 "
       "lower-case hexadecimal digits."},
      {R"({"operators":{"eve":{)" + salt + R"(,"hash":")" + std::string(kHash) +
           R"(","role":"root"}}})",
       "$.operators.eve.role: is unknown. Write one of: read, change."},
      {R"({"models":{"small":{"versions":{"v1":{"state":"gone"}}}}})",
       "$.models.small.versions.v1.state: is unknown. Write one of: active, withdrawn."},
      {R"({"models":{"small":{"rollout":{"share_per_10k":10001}}}})",
       "$.models.small.rollout.share_per_10k: is out of range. Write a whole number from 0 to "
       "10000."},
      {R"({"cascades":{"auto":{"quality_target":1.01}}})",
       "$.cascades.auto.quality_target: is out of range. Write a number from 0 to 1."},
      {R"({"cascades":{"auto":{"steps":[]}}})",
       "$.cascades.auto.steps: has not from 1 to 8 models. Name them from cheap to strong."},
      {R"({"services":{"booking":{"idempotent_methods":["get"]}}})",
       "$.services.booking.idempotent_methods: names 'get', which is no HTTP method. Write "
       "methods such as GET in capitals."},
      {R"({"failure_domains":{"north-a":{"region":null}}})",
       "$.failure_domains.north-a.region: is missing. Give it a value."},
      {R"({"upstreams":{"engine-1":{"sidecar_address":"host:1"}}})",
       "$.upstreams.engine-1.sidecar_address: is not an address. Write IP:PORT, as in "
       "10.0.0.7:9001."},
      {R"({"upstreams":{"engine-1":{"sidecar_address":"127.0.0.1:0"}}})",
       "$.upstreams.engine-1.sidecar_address: is not an address. Write IP:PORT, as in "
       "10.0.0.7:9001."},
      {R"({"upstreams":{"engine-1":{"serves":["small"]}}})",
       "$.upstreams.engine-1.serves: has 'small', which is no version. Write model@version."},
      {R"({"rating":{"timeout_ms":0}})",
       "$.rating.timeout_ms: is out of range. Write a whole number from 1 to 60000."},
      {R"({"teams":[]})", "$.teams: is not an object. Write {...}."},
      {R"({"teams":{"guild":3}})", "$.teams.guild: is not an object. Write {...}."},
  };
  for (const Row& row : rows) {
    CAPTURE(row.patch);
    CHECK(FaultOf(row.patch) == row.message);
  }
}

TEST_CASE("a reference that leads nowhere is refused with its path and the remedy") {
  struct Row {
    std::string patch;
    std::string message;
  };
  const std::string missing = ", which does not exist. Add it or name another.";
  const std::vector<Row> rows = {
      {R"({"teams":{"guild":{"models":{"huge":[]}}}})",
       "$.teams.guild.models.huge: names the model 'huge'" + missing},
      {R"({"teams":{"guild":{"models":{"small":["v9"]}}}})",
       "$.teams.guild.models.small: names the version 'v9'" + missing},
      {R"({"teams":{"guild":{"cascades":["best"]}}})",
       "$.teams.guild.cascades: names the cascade 'best'" + missing},
      {R"({"teams":{"lux":{"cascades":["auto"]}}})",
       "$.teams.lux.cascades: allows the cascade 'auto', whose step 'big' the team may not use. "
       "Add that model to the team or remove the cascade."},
      {R"({"teams":{"guild":{"services":["roster"]}}})",
       "$.teams.guild.services: names the service 'roster'" + missing},
      {R"({"models":{"small":{"default_version":"v9"}}})",
       "$.models.small.default_version: names the version 'v9'" + missing},
      {R"({"models":{"small":{"versions":{"v1":{"state":"withdrawn"}}}}})",
       "$.models.small.default_version: names the version 'v1', which is withdrawn. In the same "
       "patch set default_version to an active version, or to null for none."},
      {R"({"models":{"small":{"versions":{"v2":{"state":"withdrawn"}}}}})",
       "$.models.small.rollout.candidate: names the version 'v2', which is withdrawn. In the same "
       "patch set rollout to null or name an active candidate."},
      {R"({"models":{"small":{"default_version":"v2"}}})",
       "$.models.small.rollout.candidate: is no other version than the default. Name a "
       "default_version and another candidate, or set rollout to null."},
      {R"({"models":{"big":null}})", "$.cascades.auto.steps: names the model 'big'" + missing},
      {R"({"cascades":{"small":{"steps":["big"]}}})",
       "$.cascades.small: has the name of a model, so a request could mean either. Rename one of "
       "the two."},
      {R"({"failure_domains":{"north-b":null}})",
       "$.upstreams.engine-2.failure_domain: names the failure domain 'north-b'" + missing},
      {R"({"upstreams":{"engine-1":{"serves":["big@v2"]}}})",
       "$.upstreams.engine-1.serves: names the version 'big@v2'" + missing},
      {R"({"upstreams":{"engine-1":{"services":["roster"]}}})",
       "$.upstreams.engine-1.services: names the service 'roster'" + missing},
      {R"({"upstreams":{"engine-1":{"sidecar_address":"127.0.0.1:9002"}}})",
       "$.upstreams.engine-2.sidecar_address: is that of the upstream 'engine-1' too. Give each "
       "upstream its own sidecar."},
      {R"({"rating":{"service":"judge"}})",
       "$.rating.service: names the service 'judge'" + missing},
  };
  for (const Row& row : rows) {
    CAPTURE(row.patch);
    CHECK(FaultOf(row.patch) == row.message);
  }
}

TEST_CASE("a version is withdrawn together with its uses") {
  CHECK(FaultOf(R"({"models":{"small":{"versions":{"v2":{"state":"withdrawn"}},
                   "rollout":null}}})")
            .empty());
  CHECK(FaultOf(R"({"models":{"big":{"versions":{"v1":{"state":"withdrawn"}},
                   "default_version":null}}})")
            .empty());
}

TEST_CASE("merge patches follow the examples of RFC 7396") {
  struct Row {
    std::string document;
    std::string patch;
    std::string result;
  };
  const std::vector<Row> rows = {
      {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
      {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
      {R"({"a":"b"})", R"({"a":null})", R"({})"},
      {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
      {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
      {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
      {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
  };
  for (const Row& row : rows) {
    CHECK(ValueOf([&] { return ApplyMergePatch(row.document, row.patch); }) == row.result);
  }
  CHECK(MessageOf([] { return ApplyMergePatch("{}", "[1]"); }) ==
        "$: is not an object. Write {...}.");
}

/// A document of random members without null values, three levels deep.
std::string RandomDocument(Random& random, int depth) {
  std::string text = "{";
  const std::uint64_t members = random.Below(4);
  for (std::uint64_t i = 0; i < members; ++i) {
    text += (i == 0 ? "\"" : ",\"") + std::string(1, static_cast<char>('a' + 2 * i)) + "\":";
    const std::uint64_t dice = random.Below(depth == 0 ? 2 : 4);
    if (dice >= 2) {
      text += RandomDocument(random, depth - 1);
    } else {
      text +=
          dice == 0 ? std::to_string(random.Below(3)) : "[" + std::to_string(random.Below(3)) + "]";
    }
  }
  return text + "}";
}

TEST_CASE("the difference of two documents leads from one to the other") {
  constexpr int kRounds = 5000;
  Random random(11);
  for (int i = 0; i < kRounds; ++i) {
    const std::string from = RandomDocument(random, 3);
    const std::string to = RandomDocument(random, 3);
    const auto change = ValueOf([&] { return ReplaceDocument(from, to); });
    REQUIRE(change);
    CHECK(change->document == ValueOf([&] { return ApplyMergePatch(to, "{}"); }));
    CHECK(ValueOf([&] { return ApplyMergePatch(from, change->forward_patch); }) ==
          change->document);
    CHECK(ValueOf([&] { return ApplyMergePatch(to, change->reverse_patch); }) ==
          ValueOf([&] { return ApplyMergePatch(from, "{}"); }));
    CHECK(ValueOf([&] { return ChangeDocument(from, change->forward_patch); }) == change);
  }
}

TEST_CASE("documents with flipped bytes are parsed or refused, and what parses goes round") {
  constexpr int kRounds = 20'000;
  Random random(12);
  const std::string example = Patched("{}");
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    std::string text = example;
    const std::uint64_t flips = 1 + random.Below(3);
    for (std::uint64_t j = 0; j < flips; ++j) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    if (const auto parsed = ValueOf([&] { return ParseDocument(text, 3); })) {
      ++accepted;
      REQUIRE(ValueOf([&] { return ParseDocument(SerializeDocument(*parsed), 3); }) == parsed);
    }
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace masticrill::config
