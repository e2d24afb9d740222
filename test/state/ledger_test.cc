#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "fakes/state_client.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 10'000'000;

ChargeLine Line(const std::string& request, std::uint64_t cost = 7) {
  return {
      RequestId(request),     TeamId("guild"), {ModelId("small"), VersionId("v1")}, 100, 20, cost,
      ChargeReporter::kEntry, kStart};
}

ChargeStatus Bill(StateClient& client, const ChargeLine& line, WallTimeMs at = kStart) {
  return client.Do<ChargeResult>(Charge{line, at}).status;
}

Outcome Ended(const std::string& request, OutcomeKind kind, RequestClass request_class) {
  Outcome outcome;
  outcome.request = RequestId(request);
  outcome.team = TeamId("guild");
  outcome.request_class = request_class;
  outcome.kind = kind;
  outcome.refusal = RefusalKind::kOverloaded;
  outcome.execution = kind == OutcomeKind::kRefused ? Execution::kNotRun : Execution::kRan;
  outcome.trace = {{DecisionReason("least_loaded"), UpstreamId("u1"), 0}};
  return outcome;
}

const TeamClass kTags{TeamId("guild"), RequestClass::kTag};

RecordOutcomes Report(std::uint64_t number, std::uint64_t received,
                      const std::vector<Outcome>& outcomes) {
  return {NodeId("entry-1"), IncarnationId("i1"), number, {{kTags, received}}, outcomes, kStart};
}

TEST_CASE("a request is billed once, whoever reports it and however often") {
  StateClient client;
  CHECK(Bill(client, Line("r1")) == ChargeStatus::kCharged);
  CHECK(Bill(client, Line("r1")) == ChargeStatus::kRepeated);
  ChargeLine from_sidecar = Line("r1");
  from_sidecar.reporter = ChargeReporter::kSidecar;
  CHECK(Bill(client, from_sidecar) == ChargeStatus::kRepeated);
  CHECK(Bill(client, Line("r1", 8)) == ChargeStatus::kDiscrepancy);
  CHECK(Bill(client, Line("r2", 8)) == ChargeStatus::kCharged);
  const LedgerTotals totals = client.Replica().Totals();
  const BillingKey key{TeamId("guild"), {ModelId("small"), VersionId("v1")}};
  CHECK(totals.billing.at(key) == BillingTotals{2, 200, 40, 15});
  CHECK(totals.repeated_charges == 2);
  CHECK(totals.charge_discrepancies == 1);
  CHECK(client.Replica().FindCharge(RequestId("r1")) == Line("r1"));
  CHECK_FALSE(client.Replica().FindCharge(RequestId("r3")));
}

TEST_CASE("no repeat is billed at the edges of the window or after it") {
  Limits limits;
  limits.charge_window_ms = 1000;
  for (WallTimeMs first = 0; first <= 1100; first += 50) {
    for (WallTimeMs second = first; second <= 4000; second += 50) {
      StateClient client(limits);
      // The entry's clock may be ahead of the control hosts' or behind it.
      for (const WallTimeMs received : {kStart - 500, kStart, kStart + 500, kStart + 5000}) {
        ChargeLine line = Line("r" + std::to_string(received));
        line.received_at = received;
        const bool billed = Bill(client, line, kStart + first) == ChargeStatus::kCharged;
        CHECK((billed ? received < kStart + first + 1000 : true));
      }
      for (const WallTimeMs received : {kStart - 500, kStart, kStart + 500}) {
        ChargeLine line = Line("r" + std::to_string(received));
        line.received_at = received;
        const bool billed_now = Bill(client, line, kStart + second) == ChargeStatus::kCharged;
        CHECK_FALSE(billed_now);
      }
    }
  }
}

TEST_CASE("a full table refuses a line and its holder bills it later") {
  Limits limits;
  limits.max_charges = 1;
  limits.charge_window_ms = 1000;
  StateClient client(limits);
  Bill(client, Line("r1"));
  CHECK(Bill(client, Line("r2")) == ChargeStatus::kFull);
  ChargeLine later = Line("r2");
  later.received_at = kStart + 900;
  CHECK(Bill(client, later, kStart + 1000) == ChargeStatus::kCharged);
  CHECK(Bill(client, Line("r3"), kStart + 1001) == ChargeStatus::kTooLate);
  CHECK(client.Replica().Totals().late_charges == 1);
}

TEST_CASE("reports count once and in order") {
  StateClient client;
  const auto send = [&](const RecordOutcomes& report) { return client.Do<ReportResult>(report); };
  CHECK(send(Report(2, 1, {})) == ReportResult{ReportStatus::kGap, 1, 0});
  CHECK(send(Report(1, 3, {Ended("r1", OutcomeKind::kAnswered, RequestClass::kTag)})) ==
        ReportResult{ReportStatus::kRecorded, 2, 0});
  CHECK(send(Report(1, 3, {Ended("r1", OutcomeKind::kAnswered, RequestClass::kTag)})) ==
        ReportResult{ReportStatus::kRepeated, 2, 0});
  CHECK(send(Report(2, 2, {})).status == ReportStatus::kInconsistent);
  const Outcome refused = Ended("r2", OutcomeKind::kRefused, RequestClass::kTag);
  CHECK(send(Report(2, 3, {refused, refused, refused})).status == ReportStatus::kInconsistent);
  CHECK(send(Report(2, 3, {Ended("r3", OutcomeKind::kRefused, RequestClass::kBrief)})).status ==
        ReportStatus::kInconsistent);
  CHECK(send(Report(2, 4, {refused})).status == ReportStatus::kRecorded);
  const RequestBalance balance = client.Replica().Totals().requests.at(kTags);
  CHECK(balance.received == 4);
  CHECK(balance.ended.answered == 1);
  CHECK(balance.ended.refused.at(RefusalKind::kOverloaded) == 1);
  CHECK(balance.open == 2);
}

TEST_CASE("a report over a limit is refused as such and records nothing") {
  StateClient client;
  Outcome outcome = Ended("r1", OutcomeKind::kAnswered, RequestClass::kTag);
  outcome.trace = std::vector<TraceStep>(33);
  const RecordOutcomes report = Report(1, 1, {outcome});
  CHECK(client.Do<ReportResult>(report) == ReportResult{ReportStatus::kTooLarge, 1, 0});
  CHECK(client.Replica().Totals() == LedgerTotals{});
  CHECK(client.Replica().Sizes().incarnations == 0);
}

TEST_CASE("the open requests of a lost entry fail exactly once") {
  StateClient client;
  client.Apply(Report(1, 5, {Ended("r1", OutcomeKind::kAnswered, RequestClass::kTag)}));
  const CloseIncarnation close{NodeId("entry-1"), IncarnationId("i1"), kStart};
  CHECK(client.Do<ReportResult>(close) == ReportResult{ReportStatus::kClosed, 2, 4});
  CHECK(client.Do<ReportResult>(close) == ReportResult{ReportStatus::kRepeated, 2, 4});
  CHECK(client.Do<ReportResult>(Report(2, 6, {})).status == ReportStatus::kClosed);
  CHECK(client.Do<ReportResult>(Report(1, 5, {})).status == ReportStatus::kRepeated);
  const RequestBalance balance = client.Replica().Totals().requests.at(kTags);
  CHECK(balance.received == 5);
  CHECK(balance.ended.failed_entry_lost == 4);
  CHECK(balance.open == 0);
  // A late first report of an entry that was declared lost before it said a word.
  const CloseIncarnation unknown{NodeId("entry-2"), IncarnationId("i1"), kStart};
  CHECK(client.Do<ReportResult>(unknown).status == ReportStatus::kClosed);
  RecordOutcomes late = Report(1, 1, {});
  late.entry = NodeId("entry-2");
  CHECK(client.Do<ReportResult>(late).status == ReportStatus::kClosed);
}

TEST_CASE("incarnations are bounded and closed ones make room after their window") {
  Limits limits;
  limits.max_incarnations = 1;
  limits.claim_window_ms = 1000;
  StateClient client(limits);
  client.Apply(Report(1, 1, {}));
  RecordOutcomes other = Report(1, 1, {});
  other.incarnation = IncarnationId("i2");
  CHECK(client.Do<ReportResult>(other).status == ReportStatus::kFull);
  client.Apply(CloseIncarnation{NodeId("entry-1"), IncarnationId("i1"), kStart});
  CHECK(client.Do<ReportResult>(other).status == ReportStatus::kFull);
  other.at = kStart + 1000;
  CHECK(client.Do<ReportResult>(other).status == ReportStatus::kRecorded);
}

/// One entry whose reports may be lost, resent and cut off by its end.
struct Entry {
  std::string name;
  int incarnation = 1;
  std::uint64_t report = 1;
  std::map<TeamClass, std::uint64_t> received;
  std::map<TeamClass, std::uint64_t> open;
};

TEST_CASE("received = answered + refused + failed + open at every step of random histories") {
  constexpr int kHistories = 40;
  constexpr int kSteps = 300;
  for (int seed = 1; seed <= kHistories; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    Limits limits;
    limits.max_retained_records = 100;
    StateClient client(limits);
    std::vector<Entry> entries = {{"e1", 1, 1, {}, {}}, {"e2", 1, 1, {}, {}}, {"e3", 1, 1, {}, {}}};
    std::map<TeamClass, std::uint64_t> received;
    std::uint64_t requests = 0;
    for (int step = 0; step < kSteps; ++step) {
      Entry& entry = entries[random.Below(entries.size())];
      const IncarnationId incarnation(std::to_string(entry.incarnation));
      if (random.Below(12) == 0) {
        const CloseIncarnation close{NodeId(entry.name), incarnation, kStart};
        client.Apply(close);
        client.Apply(close);
        entry = {entry.name, entry.incarnation + 1, 1, {}, {}};
        continue;
      }
      const TeamClass team_class{TeamId(random.Below(2) == 0 ? "guild" : "lux"),
                                 kAllRequestClasses[random.Below(kAllRequestClasses.size())]};
      const std::uint64_t arrived = random.Below(5);
      entry.received[team_class] += arrived;
      entry.open[team_class] += arrived;
      received[team_class] += arrived;
      RecordOutcomes report{NodeId(entry.name),
                            incarnation,
                            entry.report++,
                            {{team_class, entry.received[team_class]}},
                            {},
                            kStart};
      for (std::uint64_t ends = random.Below(entry.open[team_class] + 1); ends > 0; --ends) {
        Outcome outcome =
            Ended("r" + std::to_string(++requests), static_cast<OutcomeKind>(random.Below(3)),
                  team_class.request_class);
        outcome.team = team_class.team;
        outcome.refusal = kAllRefusalKinds[random.Below(kAllRefusalKinds.size())];
        report.outcomes.push_back(outcome);
        --entry.open[team_class];
      }
      for (std::uint64_t copies = 1 + random.Below(2); copies > 0; --copies) {
        client.Apply(report);
      }
      const LedgerTotals totals = client.Replica().Totals();
      for (const auto& [key, balance] : totals.requests) {
        std::uint64_t open = 0;
        for (const Entry& each : entries) {
          const auto place = each.open.find(key);
          open += place == each.open.end() ? 0 : place->second;
        }
        REQUIRE(balance.received == received[key]);
        REQUIRE(balance.received == balance.ended.Ended() + balance.open);
        REQUIRE(balance.open == open);
      }
      REQUIRE(client.Replica().VerifyLedger().intact);
    }
  }
}

TEST_CASE("what is known of a request can be read as lines") {
  StateClient client;
  client.Apply(OpenClaim{{TeamId("guild"), IdempotencyKey("k1")},
                         "h",
                         {RequestId("r1"), AttemptId("a1"), UpstreamId("u1"), IncarnationId("i1")},
                         kStart});
  client.Apply(Report(1, 2, {Ended("r1", OutcomeKind::kRefused, RequestClass::kTag)}));
  Bill(client, Line("r1"));
  const std::vector<std::string> expected = {
      "claim request=r1 team=guild key=k1 state=in_progress attempt=a1 upstream=u1 "
      "sidecar_incarnation=i1",
      "seq=1 outcome request=r1 team=guild class=tag end=refused reason=overloaded not_run=true "
      "version=- attempts=0 at_ms=0 trace=0:least_loaded(u1)",
      "seq=2 charge request=r1 team=guild version=small@v1 prompt_tokens=100 generated_tokens=20 "
      "cost_micro=7 reporter=entry"};
  CHECK(client.Replica().Explain(RequestId("r1")) == expected);
  CHECK(client.Replica().Explain(RequestId("r2")).empty());
}

}  // namespace
}  // namespace masticrill::state
