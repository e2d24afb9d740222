#include <doctest/doctest.h>

#include <string>

#include "fakes/state_client.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 1'000'000;

ClaimKey Key(const std::string& key = "k1") { return {TeamId("guild"), IdempotencyKey(key)}; }

ClaimHolder Holder(const std::string& attempt) {
  return {RequestId("r-" + attempt), AttemptId(attempt), UpstreamId("u1"), IncarnationId("i1")};
}

ClaimResult Open(StateClient& client, const std::string& attempt, const std::string& key = "k1",
                 const std::string& body = "h1", WallTimeMs at = kStart) {
  return client.Do<ClaimResult>(OpenClaim{Key(key), body, Holder(attempt), at});
}

ClaimResult Resolve(StateClient& client, const std::string& attempt, ClaimResolution resolution,
                    const std::string& body = "") {
  return client.Do<ClaimResult>(ResolveClaim{Key(), AttemptId(attempt), resolution,
                                             RecordedAnswer{200, "text/plain", body, true},
                                             kStart});
}

ClaimResult Reassign(StateClient& client, const std::string& from, const std::string& to) {
  return client.Do<ClaimResult>(ReassignClaim{Key(), AttemptId(from), Holder(to), kStart});
}

TEST_CASE("one attempt holds a claim and the others are told its holder") {
  StateClient client;
  CHECK(Open(client, "a").status == ClaimStatus::kGranted);
  CHECK(Open(client, "a").status == ClaimStatus::kGranted);
  const ClaimResult other = Open(client, "b");
  CHECK(other.status == ClaimStatus::kInProgress);
  CHECK(other.holder == Holder("a"));
  CHECK(Open(client, "b", "k1", "h2").status == ClaimStatus::kConflict);
  CHECK(client
            .Do<ClaimResult>(
                OpenClaim{{TeamId("lux"), IdempotencyKey("k1")}, "h2", Holder("c"), kStart})
            .status == ClaimStatus::kGranted);
}

TEST_CASE("only the holder resolves a claim, and only once") {
  StateClient client;
  CHECK(Resolve(client, "a", ClaimResolution::kAnswered).status == ClaimStatus::kNotFound);
  Open(client, "a");
  CHECK(Resolve(client, "b", ClaimResolution::kReleased).status == ClaimStatus::kInProgress);
  CHECK(Resolve(client, "a", ClaimResolution::kAnswered, "booked").answer.body == "booked");
  CHECK(Resolve(client, "a", ClaimResolution::kAnswered, "other").answer.body == "booked");
  CHECK(Resolve(client, "a", ClaimResolution::kReleased).status == ClaimStatus::kAnswered);
  CHECK(Reassign(client, "a", "b").status == ClaimStatus::kAnswered);
  const ClaimResult resend = Open(client, "c");
  CHECK(resend.status == ClaimStatus::kAnswered);
  CHECK(resend.answer.body == "booked");
}

TEST_CASE("a claim is reassigned only from the fenced holder") {
  StateClient client;
  CHECK(Reassign(client, "a", "b").status == ClaimStatus::kNotFound);
  Open(client, "a");
  CHECK(Reassign(client, "x", "b").status == ClaimStatus::kInProgress);
  CHECK(Reassign(client, "a", "b").status == ClaimStatus::kGranted);
  CHECK(Reassign(client, "a", "b").status == ClaimStatus::kGranted);
  CHECK(Reassign(client, "a", "c").holder == Holder("b"));
  CHECK(Open(client, "a").status == ClaimStatus::kInProgress);
  CHECK(Resolve(client, "a", ClaimResolution::kAnswered).status == ClaimStatus::kInProgress);
  CHECK(Resolve(client, "b", ClaimResolution::kOutcomeUnknown).status ==
        ClaimStatus::kOutcomeUnknown);
  CHECK(Resolve(client, "b", ClaimResolution::kAnswered).status == ClaimStatus::kOutcomeUnknown);
  CHECK(Open(client, "d").status == ClaimStatus::kOutcomeUnknown);
}

TEST_CASE("a released key can be claimed by any attempt except the released one") {
  StateClient client;
  Open(client, "a");
  CHECK(Resolve(client, "a", ClaimResolution::kReleased).status == ClaimStatus::kReleased);
  CHECK(Open(client, "a").status == ClaimStatus::kReleased);
  CHECK(Reassign(client, "a", "b").status == ClaimStatus::kReleased);
  CHECK(Open(client, "b", "k1", "h2").status == ClaimStatus::kGranted);
  CHECK(Resolve(client, "a", ClaimResolution::kAnswered).status == ClaimStatus::kInProgress);
}

TEST_CASE("a full table refuses new claims and keeps the old ones") {
  Limits limits;
  limits.max_claims = 2;
  StateClient client(limits);
  Open(client, "a", "k1");
  Open(client, "b", "k2");
  CHECK(Open(client, "c", "k3").status == ClaimStatus::kFull);
  CHECK(Open(client, "d", "k1").status == ClaimStatus::kInProgress);
  CHECK(client.Replica().Sizes().claims == 2);
}

TEST_CASE("claims expire after their window, open ones after one more with an unknown outcome") {
  Limits limits;
  limits.claim_window_ms = 1000;
  StateClient client(limits);
  Open(client, "a");
  CHECK(Open(client, "b", "k1", "h1", kStart + 999).status == ClaimStatus::kInProgress);
  CHECK(Open(client, "b", "k1", "h1", kStart + 1000).status == ClaimStatus::kOutcomeUnknown);
  CHECK(Open(client, "b", "k1", "h1", kStart + 1999).status == ClaimStatus::kOutcomeUnknown);
  CHECK(Open(client, "b", "k1", "h1", kStart + 2000).status == ClaimStatus::kGranted);
}

TEST_CASE("one command with a wrong time does not expire the claims") {
  StateClient client;
  Open(client, "a");
  CHECK(Open(client, "b", "k2", "h1", kStart + 365LL * 24 * 3600 * 1000).status ==
        ClaimStatus::kGranted);
  CHECK(Open(client, "b", "k3", "h1", -5).status == ClaimStatus::kGranted);
  CHECK(Open(client, "c").status == ClaimStatus::kInProgress);
}

TEST_CASE("the size of each recorded answer and of all together is limited") {
  Limits limits;
  limits.max_answer_bytes = 10;
  limits.max_total_answer_bytes = 15;
  StateClient client(limits);
  const auto answer = [&](const std::string& key, std::size_t size) {
    Open(client, "a" + key, key);
    return client.Do<ClaimResult>(
        ResolveClaim{Key(key), AttemptId("a" + key), ClaimResolution::kAnswered,
                     RecordedAnswer{201, "text/plain", std::string(size, 'x'), true}, kStart});
  };
  CHECK_FALSE(answer("k1", 11).answer.body_kept);
  CHECK(answer("k2", 10).answer.body_kept);
  CHECK_FALSE(answer("k3", 6).answer.body_kept);
  CHECK(answer("k4", 5).answer.body_kept);
  CHECK(client.Replica().FindClaim(Key("k3"))->answer.http_status == 201);
}

TEST_CASE("oversized identifiers and values outside their enumeration are rejected") {
  StateClient client;
  const auto huge = std::string(257, 'x');
  CHECK(std::holds_alternative<RejectedCommand>(
      client.Apply(OpenClaim{Key(huge), "h", Holder("a"), kStart})));
  CHECK(std::holds_alternative<RejectedCommand>(
      client.Apply(OpenClaim{Key(), huge, Holder("a"), kStart})));
  CHECK(std::holds_alternative<RejectedCommand>(client.Apply(
      ResolveClaim{Key(), AttemptId("a"), static_cast<ClaimResolution>(7), {}, kStart})));
  CHECK(client.Replica().Sizes().claims == 0);
}

}  // namespace
}  // namespace masticrill::state
