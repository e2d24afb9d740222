#include "masticrill/gateway/prompt_guard.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace masticrill::gateway {
namespace {

const PromptPartId kBad("bad");
const PromptPartId kSound("sound");

TimePoint At(int in_milliseconds) {
  return TimePoint() + std::chrono::hours(1) + milliseconds(in_milliseconds);
}

ListedUpstream Upstream(int number, WallTimeMs started_at = 0) {
  ListedUpstream upstream;
  upstream.id = UpstreamId("u" + std::to_string(number));
  upstream.started_at = started_at;
  return upstream;
}

RequestParts Request(const std::string& name, std::vector<PromptPartId> shared = {}) {
  return {PromptPartId("request." + name), std::move(shared)};
}

/// A request whose own name does not matter.
RequestParts With(std::vector<PromptPartId> shared) { return Request("any", std::move(shared)); }

void LoseAt(PromptGuard& guard, int number, int in_milliseconds) {
  guard.OnLost(Upstream(number), Request("r" + std::to_string(number), {kBad}), Duration(0),
               At(in_milliseconds));
}

TEST_CASE("the last part of a prompt is the request's own, and the number of parts is bounded") {
  CHECK(SharedPartsOf({}).empty());
  CHECK(SharedPartsOf({{"own", 5}}).empty());
  CHECK(SharedPartsOf({{"a", 1}, {"b", 1}, {"own", 5}}) ==
        std::vector{PromptPartId("a"), PromptPartId("b")});
  CHECK(SharedPartsOf(std::vector<PromptPart>(10'000, {"a", 1})).size() < 100);
}

TEST_CASE("a guard reports what it lost, and answers for suspects with the last survival") {
  PromptGuard guard;
  guard.OnLease({}, {kBad, kSound}, At(0));
  LoseAt(guard, 1, 1000);
  guard.OnSurvived(With({kSound}), At(1200), At(2300));
  guard.OnSurvived(With({kSound}), At(1100), At(2400));
  const routing::PromptReport report = guard.Report(At(3000));
  REQUIRE(report.lost.size() == 1);
  CHECK(report.lost[0].age_ms == 2000);
  CHECK(report.lost[0].parts == std::vector{kBad, PromptPartId("request.r1")});
  CHECK(report.lost[0].answer_begun);
  CHECK(report.survivals == std::vector<routing::PartSurvival>{{kBad, -1}, {kSound, 1800}});
  CHECK(guard.Report(At(120'000)).lost.empty());
}

TEST_CASE("an upstream that starts again under its name is another one") {
  PromptGuard guard;
  guard.OnLost(Upstream(1, 5), Request("a", {kBad}), Duration(0), At(0));
  guard.OnLost(Upstream(1, 9), Request("b", {kBad}), Duration(0), At(900));
  const routing::PromptReport report = guard.Report(At(1000));
  REQUIRE(report.lost.size() == 2);
  CHECK(report.lost[0].upstream != report.lost[1].upstream);
}

TEST_CASE("a long answer that is cut shows only that its upstream was running") {
  PromptGuard guard;
  const std::vector<PromptPartId> parts = {kSound};
  for (int request = 0; request < 20; ++request) {
    guard.OnLost(Upstream(1), Request(std::to_string(request), parts), seconds(5), At(0));
  }
  const routing::PromptReport report = guard.Report(At(0));
  REQUIRE(report.lost.size() == 1);
  CHECK(report.lost[0].parts.empty());
}

TEST_CASE("control hosts' verdicts are in force until they are lifted") {
  PromptGuard guard;
  guard.OnLease({kBad}, {}, At(0));
  CHECK(guard.FindBlocked(With({kSound, kBad}), At(10)) == kBad);
  CHECK_FALSE(guard.FindBlocked(With({kSound}), At(10)));
  CHECK_FALSE(guard.FindBlocked(With({}), At(10)));
  // They outlast the connection to the control hosts.
  CHECK(guard.FindBlocked(With({kBad}), At(60'000)) == kBad);
  guard.OnLease({}, {}, At(61'000));
  CHECK_FALSE(guard.FindBlocked(With({kBad}), At(61'000)));
}

TEST_CASE("an entry that hears no control host judges its own evidence, until it hears one") {
  PromptGuard guard;
  guard.OnLease({}, {}, At(0));
  for (int number = 0; number < 4; ++number) {
    LoseAt(guard, number, 500 * number);
  }
  CHECK_FALSE(guard.FindBlocked(With({kBad}), At(2000)));
  LoseAt(guard, 4, 4000);
  CHECK(guard.FindBlocked(With({kBad}), At(4000)) == kBad);
  CHECK_FALSE(guard.FindBlocked(With({kSound}), At(4000)));
  guard.OnLease({}, {}, At(5000));
  CHECK_FALSE(guard.FindBlocked(With({kBad}), At(5000)));
}

TEST_CASE("a request with a suspect part of its prompt is not retried") {
  PromptGuard guard;
  guard.OnLease({}, {}, At(0));
  guard.OnLost(Upstream(1), Request("a", {kSound, kBad}), Duration(0), At(0));
  // One request alone may have been a bystander.
  CHECK(guard.MayRetry(Request("a", {kSound, kBad})));
  CHECK_FALSE(guard.MayRetry(Request("b", {kSound, kBad})));
  CHECK(guard.MayRetry(Request("b", {PromptPartId("other")})));
  guard.OnSurvived(With({kSound}), At(0), At(600));
  CHECK(guard.MayRetry(Request("b", {kSound})));
  CHECK_FALSE(guard.MayRetry(Request("b", {kSound, kBad})));
  // Control hosts may know of more.
  guard.OnLease({}, {PromptPartId("other")}, At(700));
  CHECK_FALSE(guard.MayRetry(Request("b", {PromptPartId("other")})));
}

TEST_CASE("a request that was lost at two upstreams is not retried, unless it was survived") {
  PromptGuard guard;
  guard.OnLease({}, {}, At(0));
  const RequestParts request = Request("a");
  guard.OnLost(Upstream(1), request, std::nullopt, At(0));
  CHECK(guard.MayRetry(request));
  // Two attempts at one upstream tell no more than one.
  guard.OnLost(Upstream(1), request, std::nullopt, At(50));
  CHECK(guard.MayRetry(request));
  guard.OnLost(Upstream(2), request, std::nullopt, At(100));
  CHECK_FALSE(guard.MayRetry(request));
  CHECK(guard.MayRetry(Request("b")));
  guard.OnSurvived(request, At(200), At(300));
  CHECK(guard.MayRetry(request));
  guard.OnLease({}, {PromptPartId("request.b")}, At(700));
  CHECK_FALSE(guard.MayRetry(Request("b")));
}

TEST_CASE("a whole request is blocked alone, also by an entry that hears no control host") {
  PromptGuard guard;
  guard.OnLease({PromptPartId("request.a")}, {}, At(0));
  CHECK(guard.FindBlocked(Request("a", {kSound}), At(10)) == PromptPartId("request.a"));
  CHECK_FALSE(guard.FindBlocked(Request("b", {kSound}), At(10)));
  for (int number = 0; number < 3; ++number) {
    guard.OnLost(Upstream(number), Request("b"), std::nullopt, At(10'000 + 60 * number));
  }
  CHECK(guard.FindBlocked(Request("b"), At(11'000)) == PromptPartId("request.b"));
  CHECK_FALSE(guard.FindBlocked(Request("c"), At(11'000)));
}

// Guards against evidence that gives way to that of requests at upstreams that are gone already.
TEST_CASE("the losses of a plain service's request are kept among thousands of others") {
  PromptGuard guard;
  for (int number = 0; number < 3; ++number) {
    guard.OnLost(Upstream(number), Request("bad"), std::nullopt, At(100 * number));
    for (int other = 0; other < 1000; ++other) {
      guard.OnLost(Upstream(number), Request(std::to_string(1000 * number + other)), std::nullopt,
                   At(100 * number + 1000));
    }
  }
  int kept = 0;
  for (const routing::LostStart& lost : guard.Report(At(4000)).lost) {
    kept += lost.parts.back() == PromptPartId("request.bad") ? 1 : 0;
  }
  CHECK(kept == 3);
}

TEST_CASE("evidence is reported soon, and its memory is bounded") {
  int reports = 0;
  PromptGuard guard([&] { ++reports; });
  LoseAt(guard, 1, 0);
  CHECK(reports == 1);
  for (int number = 0; number < 10'000; ++number) {
    LoseAt(guard, number, number);
    guard.OnSurvived(With({PromptPartId("p" + std::to_string(number))}), At(number), At(number));
  }
  CHECK(guard.Report(At(10'000)).lost.size() <= 96);
  // The most recent survivals are kept.
  std::vector<PromptPartId> asked = {PromptPartId("p9999"), PromptPartId("p1")};
  guard.OnLease({}, asked, At(10'000));
  const routing::PromptReport report = guard.Report(At(10'000));
  CHECK(report.survivals[0].age_ms == 1);
  CHECK(report.survivals[1].age_ms == -1);
}

}  // namespace
}  // namespace masticrill::gateway
