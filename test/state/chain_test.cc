#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fakes/state_client.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using fakes::StateClient;

constexpr WallTimeMs kStart = 10'000'000;
constexpr std::size_t kRecords = 40;

Outcome OutcomeOf(std::size_t number) {
  Outcome outcome;
  outcome.request = RequestId("r" + std::to_string(number));
  outcome.team = TeamId("guild");
  outcome.attempts = 1;
  return outcome;
}

/// Appends outcomes and billing lines alternately.
void AppendRecords(StateClient& client) {
  const TeamClass team_class{TeamId("guild"), RequestClass::kCaption};
  for (std::size_t i = 1; i <= kRecords / 2; ++i) {
    client.Apply(RecordOutcomes{
        NodeId("e"), IncarnationId("i"), i, {{team_class, i}}, {OutcomeOf(i)}, kStart});
    ChargeLine line;
    line.request = RequestId("r" + std::to_string(i));
    line.cost = i;
    line.received_at = kStart;
    client.Apply(Charge{line, kStart});
  }
}

TEST_CASE("an unmodified log is verified from any of its records on") {
  StateClient client;
  AppendRecords(client);
  const ChainPoint head = client.Replica().ChainHead();
  CHECK(head.sequence == kRecords);
  const std::vector<ChainedRecord> all = client.Replica().RecordsAfter(0, 1000);
  REQUIRE(all.size() == kRecords);
  ChainPoint start = ChainStart();
  for (std::size_t i = 0; i <= kRecords; ++i) {
    CHECK(VerifyChain(start, client.Replica().RecordsAfter(i, 1000), head).intact);
    if (i < kRecords) {
      start = {all[i].sequence, all[i].hash};
    }
  }
  CHECK(client.Replica().RecordsAfter(3, 2).size() == 2);
  CHECK(client.Replica().RecordsAfter(3, 2).front() == all[3]);
}

TEST_CASE(
    "every cut of the log and every edited, swapped, dropped, repeated or added record is found") {
  StateClient client;
  AppendRecords(client);
  const ChainPoint head = client.Replica().ChainHead();
  const std::vector<ChainedRecord> log = client.Replica().RecordsAfter(0, 1000);
  const auto first_bad = [&](const std::vector<ChainedRecord>& records) {
    const ChainVerdict verdict = VerifyChain(ChainStart(), records, head);
    CHECK(verdict.message.empty() == verdict.intact);
    return verdict.intact ? 0 : verdict.first_bad_sequence;
  };
  for (std::size_t i = 0; i < log.size(); ++i) {
    const std::uint64_t sequence = i + 1;
    CAPTURE(sequence);
    const auto position = static_cast<std::ptrdiff_t>(i);

    std::vector<ChainedRecord> cut(log.begin(), log.begin() + position);
    CHECK(first_bad(cut) == sequence);

    std::vector<ChainedRecord> dropped = log;
    dropped.erase(dropped.begin() + position);
    CHECK(first_bad(dropped) == sequence);

    std::vector<ChainedRecord> renumbered = dropped;
    for (std::size_t j = i; j < renumbered.size(); ++j) {
      renumbered[j].sequence = j + 1;
    }
    CHECK(first_bad(renumbered) == sequence);

    std::vector<ChainedRecord> doubled = log;
    doubled.insert(doubled.begin() + position, log[i]);
    CHECK(first_bad(doubled) == sequence + 1);

    std::vector<ChainedRecord> edited = log;
    if (auto* outcome = std::get_if<Outcome>(&edited[i].record)) {
      outcome->kind = OutcomeKind::kRefused;
    } else {
      std::get<ChargeLine>(edited[i].record).cost += 1;
    }
    CHECK(first_bad(edited) == sequence);

    // An edit that also recomputes the hash of the record is found at the next record or the head.
    edited[i].hash = ChainHash(
        i == 0 ? ChainStart() : ChainPoint{log[i - 1].sequence, log[i - 1].hash}, edited[i].record);
    CHECK(first_bad(edited) == std::min<std::uint64_t>(sequence + 1, kRecords));

    if (i + 1 < log.size()) {
      std::vector<ChainedRecord> swapped = log;
      std::swap(swapped[i], swapped[i + 1]);
      CHECK(first_bad(swapped) == sequence);
      std::swap(swapped[i].sequence, swapped[i + 1].sequence);
      CHECK(first_bad(swapped) == sequence);
    }
  }
  std::vector<ChainedRecord> longer = log;
  longer.push_back({kRecords + 1, log[0].record, ChainHash(head, log[0].record)});
  CHECK(first_bad(longer) == kRecords);
}

TEST_CASE("every changed byte of an encoded record is refused or found by the verification") {
  StateClient client;
  AppendRecords(client);
  const ChainPoint head = client.Replica().ChainHead();
  const std::vector<ChainedRecord> log = client.Replica().RecordsAfter(0, 1000);
  for (std::size_t i = 0; i < log.size(); i += 7) {
    const std::string bytes = EncodeRecord(log[i]);
    for (std::size_t position = 0; position < bytes.size(); ++position) {
      std::string changed = bytes;
      changed[position] = static_cast<char>(changed[position] ^ 1);
      const auto record = fakes::ValueOf([&] { return DecodeRecord(changed); });
      if (!record) {
        continue;
      }
      std::vector<ChainedRecord> records = log;
      records[i] = *record;
      CHECK_FALSE(VerifyChain(ChainStart(), records, head).intact);
    }
  }
}

TEST_CASE("the log can be verified after old records were dropped from memory") {
  Limits limits;
  limits.max_retained_records = 10;
  StateClient client(limits);
  AppendRecords(client);
  CHECK(client.Replica().Sizes().retained_records == 10);
  CHECK(client.Replica().ChainHead().sequence == kRecords);
  CHECK(client.Replica().VerifyLedger().intact);
  CHECK(client.Replica().RecordsAfter(0, 1000).front().sequence == kRecords - 9);
  CHECK(client.Replica().Totals().billing.begin()->second.requests == kRecords / 2);
}

}  // namespace
}  // namespace masticrill::state
