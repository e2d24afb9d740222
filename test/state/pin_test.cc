#include <doctest/doctest.h>

#include <string>

#include "fakes/state_client.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 1'000'000;

PinKey Key(const std::string& team, const std::string& session = "s1") {
  return {TeamId(team), SessionId(session), ModelId("small")};
}

PinResult Pin(StateClient& client, const std::string& team, const std::string& version,
              WallTimeMs at = kStart, const std::string& session = "s1") {
  return client.Do<PinResult>(PinSession{Key(team, session), VersionId(version), at});
}

PinResult Repin(StateClient& client, const std::string& team, const std::string& from,
                const std::string& to) {
  return client.Do<PinResult>(RepinSession{Key(team), VersionId(from), VersionId(to), kStart});
}

PinResult Pinned(const std::string& version) { return {PinStatus::kPinned, VersionId(version)}; }

/// Applies the example configuration, in which only the team lux moves sessions from withdrawn
/// versions.
void Configure(StateClient& client) {
  REQUIRE(client.Patch("p1", 0, config::ExampleDocument()).status == PatchStatus::kAccepted);
}

void WithdrawFirst(StateClient& client) {
  const std::string patch =
      R"({"models":{"small":{"versions":{"v1":{"state":"withdrawn"},"v3":{}},"rollout":null,
          "default_version":"v2"}}})";
  REQUIRE(client.Patch("p2", 1, patch).status == PatchStatus::kAccepted);
}

TEST_CASE("the first command pins a session") {
  StateClient client;
  Configure(client);
  CHECK(Pin(client, "guild", "v2") == Pinned("v2"));
  CHECK(Pin(client, "guild", "v1") == Pinned("v2"));
  CHECK(Pin(client, "lux", "v1") == Pinned("v1"));
  CHECK(client.Replica().FindPin(Key("guild")) == Pinned("v2"));
  CHECK_FALSE(client.Replica().FindPin(Key("guild", "s2")));
  CHECK(Pin(client, "guild", "v9", kStart, "s3").status == PinStatus::kWithdrawn);
}

TEST_CASE("a change of a roll-out's share moves no pinned session") {
  StateClient client;
  Configure(client);
  Pin(client, "guild", "v1");
  client.Patch("p2", 1, R"({"models":{"small":{"rollout":{"share_per_10k":10000}}}})");
  CHECK(Pin(client, "guild", "v2") == Pinned("v1"));
  CHECK(Repin(client, "guild", "v1", "v2") == Pinned("v1"));
}

TEST_CASE("a withdrawal overrides the pin, and a session is moved once if its team allows it") {
  StateClient client;
  Configure(client);
  Pin(client, "guild", "v1");
  Pin(client, "lux", "v1");
  WithdrawFirst(client);
  const PinResult withdrawn{PinStatus::kWithdrawn, VersionId("v1")};
  CHECK(Pin(client, "guild", "v2") == withdrawn);
  CHECK(Repin(client, "guild", "v1", "v2").status == PinStatus::kRepinNotAllowed);
  CHECK(Pin(client, "lux", "v2") == withdrawn);
  CHECK(Repin(client, "lux", "v1", "v1") == withdrawn);
  CHECK(Repin(client, "lux", "v1", "v2") == Pinned("v2"));
  CHECK(Repin(client, "lux", "v1", "v3") == Pinned("v2"));
  CHECK(Pin(client, "lux", "v3") == Pinned("v2"));
  const std::string patch =
      R"({"models":{"small":{"versions":{"v2":{"state":"withdrawn"}},"default_version":"v3"}}})";
  REQUIRE(client.Patch("p3", 2, patch).status == PatchStatus::kAccepted);
  CHECK(Repin(client, "lux", "v2", "v3") ==
        PinResult{PinStatus::kRepinNotAllowed, VersionId("v2")});
  CHECK(client.Do<PinResult>(RepinSession{Key("lux", "s9"), {}, {}, kStart}).status ==
        PinStatus::kNotPinned);
}

TEST_CASE("the number of pins is limited; using a pin extends it, and an unused pin expires") {
  Limits limits;
  limits.max_pins = 1;
  limits.pin_window_ms = 1000;
  StateClient client(limits);
  Configure(client);
  Pin(client, "guild", "v1");
  CHECK(Pin(client, "guild", "v2", kStart, "s2").status == PinStatus::kFull);
  CHECK(Pin(client, "guild", "v2", kStart + 900) == Pinned("v1"));
  CHECK(Pin(client, "guild", "v2", kStart + 1800) == Pinned("v1"));
  CHECK(Pin(client, "guild", "v2", kStart + 2799, "s2").status == PinStatus::kFull);
  CHECK(Pin(client, "guild", "v2", kStart + 2800, "s2") == Pinned("v2"));
}

}  // namespace
}  // namespace masticrill::state
