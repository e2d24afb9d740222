#include "masticrill/routing/prompt_evidence.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace masticrill::routing {
namespace {

const PromptPartId kBad("bad");
const PromptPartId kCommon("common");
const PromptPartId kRare("rare");
const PromptSettings kSettings;

/// Builds the evidence of a fleet. Times are milliseconds before the judgement.
class Evidence {
 public:
  Evidence& Lost(std::uint64_t upstream, std::uint64_t request, std::vector<PromptPartId> parts,
                 std::int64_t age_ms, bool answer_begun = true) {
    this->report.lost.push_back({upstream, request, std::move(parts), answer_begun, false, age_ms});
    return *this;
  }
  Evidence& Discarded(std::uint64_t upstream, std::uint64_t request,
                      std::vector<PromptPartId> parts, std::int64_t age_ms) {
    this->report.lost.push_back({upstream, request, std::move(parts), true, true, age_ms});
    return *this;
  }
  Evidence& Survived(const PromptPartId& part, std::int64_t age_ms) {
    this->report.survivals.push_back({part, age_ms});
    return *this;
  }
  Evidence& NeverSurvived(const std::vector<PromptPartId>& parts) {
    for (const PromptPartId& part : parts) {
      this->Survived(part, -1);
    }
    return *this;
  }
  PromptEvidence Merged() const { return MergePromptReports({{this->report, 0}}, kSettings); }
  std::vector<PromptPartId> Condemned(const BlockedParts& blocked = {}) const {
    const std::optional<PartVerdict> verdict = JudgePromptParts(this->Merged(), blocked, kSettings);
    return verdict ? std::vector{verdict->part} : std::vector<PromptPartId>();
  }
  std::vector<PartVerdict> Verdicts(const BlockedParts& blocked = {}) const {
    return FindVerdicts(this->Merged(), blocked, kSettings);
  }

 private:
  PromptReport report;
};

/// Upstreams that end one after another under different requests, each with the given parts.
Evidence EndsUnder(const std::vector<PromptPartId>& parts, std::uint64_t count) {
  Evidence evidence;
  for (std::uint64_t end = 0; end < count; ++end) {
    evidence.Lost(end, 100 + end, parts, 4000 - 500 * static_cast<std::int64_t>(end));
  }
  return evidence;
}

TEST_CASE("a part that is present at each of three ends and never survives is condemned") {
  Evidence three = EndsUnder({kCommon, kBad}, 3);
  three.NeverSurvived({kBad}).Survived(kCommon, 5000);
  CHECK(three.Condemned() == std::vector{kBad});
  Evidence two = EndsUnder({kCommon, kBad}, 2);
  two.NeverSurvived({kBad}).Survived(kCommon, 5000);
  CHECK(two.Condemned().empty());
}

// Guards against sound requests that are refused as they share a part with those that end
// upstreams.
TEST_CASE("a common part is not condemned while all upstreams are gone and nothing survives") {
  Evidence evidence = EndsUnder({kCommon, kBad}, 9);
  evidence.Lost(9, 200, {kCommon}, 100).NeverSurvived({kBad}).Survived(kCommon, 4500);
  CHECK(evidence.Condemned() == std::vector{kBad});
}

TEST_CASE("a part that turns bad after earlier survivals is condemned after more ends") {
  Evidence four = EndsUnder({kBad}, 4);
  CHECK(four.Survived(kBad, 4500).Condemned().empty());
  Evidence five = EndsUnder({kBad}, 5);
  CHECK(five.Survived(kBad, 4500).Condemned().empty());
  // Others survive meanwhile.
  CHECK(five.Survived(kCommon, 1000).Condemned() == std::vector{kBad});
  // A survival in between shows that the part is sound.
  Evidence survived = EndsUnder({kBad}, 5);
  CHECK(survived.Survived(kBad, 2700).Condemned().empty());
}

/// All upstreams end in two halves, half a second apart, under requests with a common part.
Evidence EndsOfAll(std::int64_t age_ms) {
  Evidence evidence;
  for (std::uint64_t upstream = 0; upstream < 9; ++upstream) {
    const std::int64_t half = upstream < 4 ? 500 : 0;
    evidence.Lost(upstream, 100 + upstream, {kCommon, kRare}, age_ms + half);
  }
  return evidence;
}

// Guards against a route that is refused as a whole: all its requests share a part, need long for
// their answers, and had no time to survive since all upstreams ended together.
TEST_CASE("a part that survived before is not condemned for upstreams that end together") {
  for (std::int64_t age_ms = 500; age_ms <= 20'000; age_ms += 250) {
    CAPTURE(age_ms);
    Evidence evidence = EndsOfAll(age_ms);
    // Shorter requests survive first.
    evidence.Survived(kCommon, age_ms + 1500).Survived(kRare, age_ms + 1500);
    CHECK(evidence.Survived(PromptPartId("short"), age_ms / 8).Verdicts().empty());
    // Another upstream ends for its own reasons.
    evidence.Lost(9, 200, {kCommon, PromptPartId("other")}, age_ms / 2);
    CHECK(evidence.Verdicts().empty());
  }
}

TEST_CASE("a part that survived before is blocked for a short time if its losses go on") {
  Evidence evidence = EndsOfAll(6000);
  evidence.Survived(kCommon, 7500).Survived(kRare, 7500).Survived(PromptPartId("short"), 100);
  evidence.Lost(0, 300, {kCommon}, 2600).Lost(10, 301, {kCommon}, 2600);
  CHECK(evidence.Verdicts().empty());
  evidence.Lost(11, 302, {kCommon}, 1500);
  CHECK(evidence.Verdicts() == std::vector<PartVerdict>{{kCommon, 11, 12, false}});
}

TEST_CASE("the parts of requests that merely ran on the upstreams that ended are acquitted") {
  Evidence evidence = EndsUnder({kCommon, kBad}, 5);
  for (const std::uint64_t upstream : {0, 2, 4}) {
    evidence.Lost(upstream, 200 + upstream, {kCommon, kRare},
                  4000 - 500 * static_cast<std::int64_t>(upstream));
  }
  evidence.NeverSurvived({kBad, kRare}).Survived(kCommon, 5000);
  CHECK(evidence.Condemned() == std::vector{kBad});
}

TEST_CASE("while two parts were present each time, a verdict waits for further ends") {
  Evidence three = EndsUnder({kRare, kBad}, 3);
  CHECK(three.NeverSurvived({kBad, kRare}).Condemned().empty());
  Evidence told_apart = EndsUnder({kRare, kBad}, 3);
  told_apart.Lost(7, 300, {kBad}, 100).NeverSurvived({kBad, kRare});
  CHECK(told_apart.Condemned() == std::vector{kBad});
  // The more specific part is blocked if they are never told apart.
  Evidence five = EndsUnder({kRare, kBad}, 5);
  CHECK(five.NeverSurvived({kBad, kRare}).Condemned() == std::vector{kBad});
}

TEST_CASE("upstreams that are lost at one moment, or by one request, condemn no part") {
  // Pattern: a failure domain loses power, or an entry's connections are reset.
  Evidence at_once;
  for (std::uint64_t upstream = 0; upstream < 9; ++upstream) {
    at_once.Lost(upstream, 100 + upstream, {kRare}, 4000 + static_cast<std::int64_t>(upstream));
  }
  CHECK(at_once.NeverSurvived({kRare}).Condemned().empty());
  Evidence one_request;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    one_request.Lost(upstream, 100, {kRare}, 4000 - 500 * static_cast<std::int64_t>(upstream));
  }
  CHECK(one_request.NeverSurvived({kRare}).Condemned().empty());
}

TEST_CASE("attempts at upstreams that are gone condemn no part") {
  // Pattern: the list still shows upstreams that a loss of power has ended.
  Evidence evidence;
  for (std::uint64_t upstream = 0; upstream < 9; ++upstream) {
    evidence.Lost(upstream, 50, {}, 6000);
    evidence.Lost(upstream, 100 + upstream, {kRare},
                  5000 - 400 * static_cast<std::int64_t>(upstream), false);
  }
  CHECK(evidence.NeverSurvived({kRare}).Condemned().empty());
}

TEST_CASE("an end counts for a request without an answer if others show that its upstream ran") {
  Evidence evidence;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    const std::int64_t age_ms = 5000 - 500 * static_cast<std::int64_t>(upstream);
    evidence.Lost(upstream, 50, {}, age_ms);
    evidence.Lost(upstream, 100 + upstream, {kBad}, age_ms - 5, false);
  }
  CHECK(evidence.NeverSurvived({kBad}).Condemned() == std::vector{kBad});
}

// Guards against ends without a culprit: the entry had discarded the answer that ended the
// upstream, so that only others lost connections there.
TEST_CASE("an end counts for a discarded answer that began shortly before") {
  Evidence evidence;
  Evidence too_early;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    const std::int64_t age_ms = 5000 - 500 * static_cast<std::int64_t>(upstream);
    evidence.Lost(upstream, 50, {kCommon}, age_ms);
    evidence.Discarded(upstream, 100 + upstream, {kBad}, age_ms + 60);
    too_early.Lost(upstream, 50, {kCommon}, age_ms);
    too_early.Discarded(upstream, 100 + upstream, {kBad}, age_ms + 2000);
  }
  evidence.NeverSurvived({kBad}).Survived(kCommon, 4900);
  CHECK(evidence.Condemned() == std::vector{kBad});
  too_early.NeverSurvived({kBad}).Survived(kCommon, 4900);
  CHECK(too_early.Condemned().empty());
  // The second attempt of the request finds the upstream gone, and nobody else was there.
  Evidence alone;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    const std::int64_t age_ms = 5000 - 500 * static_cast<std::int64_t>(upstream);
    alone.Discarded(upstream, 100 + upstream, {kBad}, age_ms + 60);
    alone.Lost(upstream, 100 + upstream, {kBad}, age_ms, false);
  }
  CHECK(alone.NeverSurvived({kBad}).Condemned() == std::vector{kBad});
}

TEST_CASE("no part is condemned before every entry with a recent report has answered for it") {
  const PromptReport ends{EndsUnder({kBad}, 4).Merged().lost, {{kBad, -1}}};
  const PromptReport silent;
  const PromptReport sound{{}, {{kBad, 100}}};
  const PromptReport none{{}, {{kBad, -1}}};
  const auto condemned = [&](const PromptReport& other, std::int64_t age_ms) {
    return JudgePromptParts(MergePromptReports({{ends, 0}, {other, age_ms}}, kSettings), {},
                            kSettings)
        .has_value();
  };
  CHECK_FALSE(condemned(silent, 100));
  CHECK(condemned(none, 100));
  CHECK_FALSE(condemned(sound, 100));
  // One that is cut off holds up no verdict.
  CHECK(condemned(silent, 2000));
}

TEST_CASE("ends that a blocked part explains, old ones and those before a lift do not count") {
  Evidence evidence = EndsUnder({kRare, kBad}, 5);
  evidence.NeverSurvived({kBad, kRare});
  const BlockedParts long_ago = {{kBad, 30'000}};
  CHECK(evidence.Condemned(long_ago).empty());
  CHECK(FindSuspects(evidence.Merged(), long_ago, kSettings).empty());
  // An end without any trace of the blocked part, before it was blocked.
  Evidence remainder = EndsUnder({kRare}, 5);
  CHECK(remainder.NeverSurvived({kRare}).Condemned({{kBad, 1000}}).empty());
  CHECK(remainder.Condemned(long_ago) == std::vector{kRare});
  PromptEvidence lifted = evidence.Merged();
  ForgetOlder(lifted, kBad, 1000);
  ForgetOlder(lifted, kRare, 1000);
  CHECK_FALSE(JudgePromptParts(lifted, {}, kSettings));
  Evidence old;
  for (std::uint64_t upstream = 0; upstream < 5; ++upstream) {
    old.Lost(upstream, 100 + upstream, {kBad}, 61'000 + 500 * static_cast<std::int64_t>(upstream));
  }
  CHECK(old.NeverSurvived({kBad}).Condemned().empty());
}

TEST_CASE("entries are asked about a bounded number of parts, those with most ends first") {
  Evidence evidence = EndsUnder({kBad}, 4);
  for (std::uint64_t number = 0; number < 100; ++number) {
    for (std::uint64_t upstream = 0; upstream < 2; ++upstream) {
      evidence.Lost(upstream, number, {PromptPartId("p" + std::to_string(number))},
                    4000 - 500 * static_cast<std::int64_t>(upstream));
    }
  }
  const std::vector<PromptPartId> suspects = FindSuspects(evidence.Merged(), {}, kSettings);
  REQUIRE(suspects.size() == kSettings.max_suspects);
  CHECK(suspects.front() == kBad);
}

TEST_CASE("a part's id is bounded, and safe in logs and documents") {
  CHECK(MakePromptPartId("5c1e07a2") == PromptPartId("5c1e07a2"));
  CHECK(MakePromptPartId(std::string(10'000, 'a')).Value().size() < 64);
  CHECK(MakePromptPartId("a\"b").Value().find('"') == std::string::npos);
  CHECK(MakePromptPartId(std::string(100, 'a')) != MakePromptPartId(std::string(101, 'a')));
}

const PromptPartId kDeadly("request.deadly");
const PromptPartId kBystander("request.bystander");

/// Upstreams that one request ended one after another, the last of them 1 s before the judgement.
Evidence EndsUnderRequest(std::uint64_t count, std::int64_t apart_ms = 60,
                          std::int64_t survival_age_ms = -1) {
  Evidence evidence;
  for (std::uint64_t end = 0; end < count; ++end) {
    evidence.Lost(end, 1, {kDeadly}, 1000 + apart_ms * static_cast<std::int64_t>(count - 1 - end),
                  false);
  }
  evidence.Survived(kDeadly, survival_age_ms).NeverSurvived({kBystander});
  return evidence;
}

TEST_CASE("a request that is lost at each of three ends and never survives is condemned") {
  CHECK(EndsUnderRequest(3).Verdicts() == std::vector<PartVerdict>{{kDeadly, 3, 1, true}});
  CHECK(EndsUnderRequest(2).Verdicts().empty());
  CHECK(EndsUnderRequest(3).Verdicts({{kDeadly, 100}}).empty());
  Evidence unanswered;
  unanswered.Lost(1, 1, {kDeadly}, 3000).Lost(2, 1, {kDeadly}, 2000).Lost(3, 1, {kDeadly}, 1000);
  CHECK(unanswered.Verdicts().empty());
}

TEST_CASE("a request that survived between the ends is not condemned") {
  CHECK(EndsUnderRequest(3, 400).Verdicts().size() == 1);
  CHECK(EndsUnderRequest(3, 400, 1100).Verdicts().empty());
}

TEST_CASE("a request that survived before needs five ends") {
  CHECK(EndsUnderRequest(3, 600, 9000).Survived(kCommon, 500).Verdicts().empty());
  CHECK(EndsUnderRequest(5, 600, 9000).Survived(kCommon, 500).Verdicts().size() == 1);
}

// Guards against a popular request that is blocked as a failure domain is lost.
TEST_CASE("upstreams that end at one moment do not condemn a request") {
  Evidence evidence;
  for (std::uint64_t end = 0; end < 5; ++end) {
    evidence.Lost(end, 1, {kDeadly}, 1000, false);
  }
  CHECK(evidence.NeverSurvived({kDeadly}).Verdicts().empty());
}

TEST_CASE("attempts at upstreams that were gone already do not count") {
  Evidence evidence;
  for (std::uint64_t end = 0; end < 3; ++end) {
    const std::int64_t age_ms = 3000 - 200 * static_cast<std::int64_t>(end);
    evidence.Lost(end, 1, {kDeadly}, age_ms, false);
    evidence.Lost(end, 2, {kBystander}, age_ms - 1500, false);
  }
  evidence.NeverSurvived({kDeadly, kBystander});
  CHECK(evidence.Verdicts() == std::vector<PartVerdict>{{kDeadly, 3, 1, true}});
}

TEST_CASE("two requests that were lost at the same upstreams are held back, not condemned") {
  Evidence both = EndsUnderRequest(3);
  for (std::uint64_t end = 0; end < 3; ++end) {
    both.Lost(end, 2, {kBystander}, 1120 - 60 * static_cast<std::int64_t>(end), false);
  }
  CHECK(both.Verdicts().empty());
  // Nothing has told for too long.
  Evidence later;
  for (std::uint64_t end = 0; end < 3; ++end) {
    const std::int64_t age_ms = 2000 - 60 * static_cast<std::int64_t>(end);
    later.Lost(end, 1, {kDeadly}, age_ms, false).Lost(end, 2, {kBystander}, age_ms, false);
  }
  later.NeverSurvived({kDeadly, kBystander});
  CHECK(later.Verdicts() ==
        std::vector<PartVerdict>{{kBystander, 3, 1, false}, {kDeadly, 3, 1, false}});
}

TEST_CASE("what ran at the upstreams that a request ended is not suspect") {
  Evidence evidence = EndsUnderRequest(4);
  for (std::uint64_t end = 0; end < 3; ++end) {
    evidence.Lost(end, 2, {kCommon, kBystander}, 1180 - 60 * static_cast<std::int64_t>(end));
  }
  evidence.NeverSurvived({kCommon});
  CHECK(evidence.Verdicts() == std::vector<PartVerdict>{{kDeadly, 4, 1, true}});
}

TEST_CASE("a request needs more ends where most upstreams end without it") {
  Evidence evidence = EndsUnderRequest(3);
  for (std::uint64_t end = 10; end < 14; ++end) {
    evidence.Lost(end, end, {PromptPartId("request." + std::to_string(end))},
                  1000 + 500 * static_cast<std::int64_t>(end), false);
  }
  CHECK(evidence.Verdicts().empty());
}

TEST_CASE("a request needs more ends while an entry is silent") {
  PromptReport report;
  for (std::uint64_t end = 0; end < 3; ++end) {
    report.lost.push_back(
        {end, 1, {kDeadly}, false, false, 1120 - 60 * static_cast<std::int64_t>(end)});
  }
  report.survivals.push_back({kDeadly, -1});
  CHECK(FindVerdicts(MergePromptReports({{report, 0}, {{}, 9000}}, kSettings), {}, kSettings)
            .empty());
  CHECK(FindVerdicts(MergePromptReports({{report, 0}, {{}, 40'000}}, kSettings), {}, kSettings)
            .size() == 1);
}

// Guards against sound requests that are refused as they share a part with a request that ends its
// upstreams.
TEST_CASE("a part is not condemned for the ends of one request") {
  Evidence evidence;
  for (std::uint64_t end = 0; end < 5; ++end) {
    evidence.Lost(end, 1, {kRare, kDeadly}, 4000 - 500 * static_cast<std::int64_t>(end));
  }
  evidence.Lost(0, 2, {kRare, kBystander}, 4000).Survived(kCommon, 1000);
  evidence.NeverSurvived({kRare, kDeadly, kBystander});
  CHECK(evidence.Condemned().empty());
  CHECK(evidence.Verdicts() == std::vector<PartVerdict>{{kDeadly, 5, 1, true}});
}

}  // namespace
}  // namespace masticrill::routing
