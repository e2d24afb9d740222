#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/state_booking_entry.h"
#include "masticrill/common/random.h"

namespace masticrill::state {
namespace {

using fakes::BookingEntry;
using fakes::CallerView;
using fakes::DelayedMessages;
using fakes::Delivery;
using fakes::FakeSidecar;
using fakes::SidecarDefect;
using fakes::StateClient;

/// The fault that is injected after some messages of the first entry.
enum class Fault {
  kEntryKilled,          // The entry never acts again.
  kEntryFrozen,          // The entry resumes after the resend was served.
  kReplyLost,            // The reply to the entry's next message is lost; the entry continues.
  kReplyLostThenKilled,  // As kReplyLost, but the entry is killed instead of continuing.
  kSidecarRestarted,     // The sidecar restarts; the entry continues.
  kSidecarRestartedEntryKilled,  // The sidecar restarts and the entry is killed.
  kControlRestored,              // The replica is restored from its snapshot; the entry continues.
};

std::string Describe(const CallerView& view) {
  if (view.answer) {
    return view.answer->body;
  }
  if (view.refusal) {
    return std::string(ToString(view.refusal->kind)) + " " +
           std::string(NotRunText(view.refusal->execution));
  }
  return "nothing";
}

/// A test case: the fault is injected after `messages` messages of the first entry; then the caller
/// sends the same request to a second entry. The other members are the expected results.
struct Row {
  int messages;
  Fault fault;
  std::string first;
  std::string resend;
  int runs;
};

/// The messages of a request without a fault: 1 claim, 2 hand-over, 3 answer, 4 record.
const std::vector<Row>& Rows() {
  static const std::vector<Row> kRows = {
      {0, Fault::kEntryKilled, "nothing", "booked by second-1", 1},
      {1, Fault::kEntryKilled, "nothing", "booked by second-2", 1},
      {2, Fault::kEntryKilled, "nothing", "key_in_progress false", 1},
      {3, Fault::kEntryKilled, "nothing", "booked by first-1", 1},
      {4, Fault::kEntryKilled, "booked by first-1", "booked by first-1", 1},
      // An entry that resumes may find that the second entry holds the claim; it then fences that
      // attempt.
      {0, Fault::kEntryFrozen, "booked by second-1", "booked by second-1", 1},
      {1, Fault::kEntryFrozen, "booked by second-2", "booked by second-2", 1},
      {2, Fault::kEntryFrozen, "booked by first-1", "key_in_progress false", 1},
      {3, Fault::kEntryFrozen, "booked by first-1", "booked by first-1", 1},
      {4, Fault::kEntryFrozen, "booked by first-1", "booked by first-1", 1},
      {0, Fault::kReplyLost, "control_unavailable true", "booked by second-2", 1},
      {1, Fault::kReplyLost, "key_in_progress false", "key_in_progress false", 1},
      {2, Fault::kReplyLost, "booked by first-1", "booked by first-1", 1},
      {3, Fault::kReplyLost, "booked by first-1", "booked by first-1", 1},
      {0, Fault::kReplyLostThenKilled, "control_unavailable true", "booked by second-2", 1},
      {1, Fault::kReplyLostThenKilled, "nothing", "key_in_progress false", 1},
      {2, Fault::kReplyLostThenKilled, "nothing", "booked by first-1", 1},
      {3, Fault::kReplyLostThenKilled, "booked by first-1", "booked by first-1", 1},
      {0, Fault::kSidecarRestarted, "booked by first-1", "booked by first-1", 1},
      // The hand-over names the incarnation of the claim, so the new incarnation refuses it.
      {1, Fault::kSidecarRestarted, "outcome_unknown unknown", "outcome_unknown unknown", 0},
      {2, Fault::kSidecarRestarted, "outcome_unknown unknown", "outcome_unknown unknown", 1},
      {3, Fault::kSidecarRestarted, "booked by first-1", "booked by first-1", 1},
      {4, Fault::kSidecarRestarted, "booked by first-1", "booked by first-1", 1},
      {0, Fault::kSidecarRestartedEntryKilled, "nothing", "booked by second-1", 1},
      {1, Fault::kSidecarRestartedEntryKilled, "nothing", "outcome_unknown unknown", 0},
      {2, Fault::kSidecarRestartedEntryKilled, "nothing", "outcome_unknown unknown", 1},
      {3, Fault::kSidecarRestartedEntryKilled, "nothing", "outcome_unknown unknown", 1},
      {4, Fault::kSidecarRestartedEntryKilled, "booked by first-1", "booked by first-1", 1},
      {0, Fault::kControlRestored, "booked by first-1", "booked by first-1", 1},
      {1, Fault::kControlRestored, "booked by first-1", "booked by first-1", 1},
      {2, Fault::kControlRestored, "booked by first-1", "booked by first-1", 1},
      {3, Fault::kControlRestored, "booked by first-1", "booked by first-1", 1},
      {4, Fault::kControlRestored, "booked by first-1", "booked by first-1", 1},
  };
  return kRows;
}

TEST_CASE("after each fault a request ran at most once, and its callers get a true result") {
  for (const Row& row : Rows()) {
    CAPTURE(row.messages);
    CAPTURE(static_cast<int>(row.fault));
    StateClient control;
    FakeSidecar sidecar;
    BookingEntry first(control, sidecar, "first");
    for (int i = 0; i < row.messages; ++i) {
      first.Step();
    }
    const bool lost = row.fault == Fault::kReplyLost || row.fault == Fault::kReplyLostThenKilled;
    const bool restarted =
        row.fault == Fault::kSidecarRestarted || row.fault == Fault::kSidecarRestartedEntryKilled;
    const bool resumes = row.fault == Fault::kReplyLost || row.fault == Fault::kSidecarRestarted ||
                         row.fault == Fault::kControlRestored;
    if (lost) {
      first.Step(Delivery::kReplyLost);
    }
    if (restarted) {
      sidecar.Restart();
    }
    if (row.fault == Fault::kControlRestored) {
      control.Replica().Restore(control.Replica().Snapshot());
    }
    if (resumes) {
      first.RunToEnd();
    }
    BookingEntry second(control, sidecar, "second");
    second.RunToEnd();
    if (row.fault == Fault::kEntryFrozen) {
      first.RunToEnd();
    }
    CHECK(Describe(first.View()) == row.first);
    CHECK(Describe(second.View()) == row.resend);
    CHECK(sidecar.Runs() == row.runs);
  }
}

TEST_CASE("the same key with another body is refused and does not run") {
  StateClient control;
  FakeSidecar sidecar;
  BookingEntry first(control, sidecar, "first");
  first.Step();
  BookingEntry other(control, sidecar, "other", "book another hall");
  other.RunToEnd();
  CHECK(Describe(other.View()) == "key_conflict true");
  first.RunToEnd();
  BookingEntry late(control, sidecar, "late", "book another hall");
  late.RunToEnd();
  CHECK(Describe(late.View()) == "key_conflict true");
  CHECK(sidecar.Runs() == 1);
}

/// The numbers of violations in random schedules.
struct Violations {
  int schedules_with_two_runs = 0;
  int false_not_run = 0;
  int answers_without_run = 0;
  int resends_without_end = 0;
};

Delivery DrawDelivery(Random& random) {
  switch (random.Below(6)) {
    case 0:
      return Delivery::kReplyLost;
    case 1:
      return Delivery::kDelayed;
    default:
      return Delivery::kDelivered;
  }
}

using Entries = std::vector<std::unique_ptr<BookingEntry>>;

/// The number of entries that process requests with one key at the same time.
constexpr std::size_t kEntriesAtOnce = 3;

/// Runs a step of one of the last kEntriesAtOnce entries. After a refusal the caller sends the
/// request to a new entry.
void RunEntryStep(Random& random, StateClient& control, FakeSidecar& sidecar, Entries& entries,
                  DelayedMessages& delayed) {
  const std::size_t first = entries.size() - kEntriesAtOnce;
  BookingEntry& entry = *entries[first + random.Below(kEntriesAtOnce)];
  if (entry.View().refusal) {
    entries.push_back(std::make_unique<BookingEntry>(
        control, sidecar, "e" + std::to_string(entries.size()), "book the hall", &delayed));
    return;
  }
  entry.Step(DrawDelivery(random));
}

/// Runs steps of the entries with one key, the sidecar, the replica and the delayed messages in a
/// random order.
void RunSchedule(Random& random, StateClient& control, FakeSidecar& sidecar, Entries& entries,
                 DelayedMessages& delayed) {
  constexpr int kActions = 60;
  for (int action = 0; action < kActions; ++action) {
    switch (random.Below(64)) {
      case 0:
        sidecar.Restart();
        break;
      case 1:
        control.Replica().Restore(control.Replica().Snapshot());
        break;
      case 2:
        sidecar.FinishAll();
        break;
      case 3:
      case 4:
      case 5:
      case 6:
      case 7:
      case 8:
        if (!delayed.empty()) {
          delayed[random.Below(delayed.size())]();
        }
        break;
      default:
        RunEntryStep(random, control, sidecar, entries, delayed);
    }
  }
}

void CountViolations(const FakeSidecar& sidecar, const Entries& entries, Violations& violations) {
  for (const auto& entry : entries) {
    const CallerView& view = entry->View();
    const bool ran = sidecar.EverStarted(entry->Own().request);
    if (view.refusal && view.refusal->execution == Execution::kNotRun && ran) {
      ++violations.false_not_run;
    }
    if (view.answer && sidecar.Runs() == 0) {
      ++violations.answers_without_run;
    }
  }
  violations.schedules_with_two_runs += sidecar.Runs() > 1 ? 1 : 0;
}

/// Returns whether a resend after the last fault gets the answer. The outcome may be unknown
/// instead only if the sidecar restarted.
bool ResendEnds(StateClient& control, FakeSidecar& sidecar, Entries& entries) {
  sidecar.FinishAll();
  entries.push_back(std::make_unique<BookingEntry>(control, sidecar, "resend"));
  entries.back()->RunToEnd();
  const CallerView& view = entries.back()->View();
  const bool unknown = view.refusal && view.refusal->kind == RefusalKind::kOutcomeUnknown;
  return view.answer || (unknown && sidecar.Restarts() > 0);
}

Violations RunSchedules(SidecarDefect defect, int schedules) {
  Violations violations;
  for (int seed = 1; seed <= schedules; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    StateClient control;
    FakeSidecar sidecar(defect);
    DelayedMessages delayed;
    Entries entries;
    for (std::size_t i = 0; i < kEntriesAtOnce; ++i) {
      entries.push_back(std::make_unique<BookingEntry>(control, sidecar, "e" + std::to_string(i),
                                                       "book the hall", &delayed));
    }
    RunSchedule(random, control, sidecar, entries, delayed);
    violations.resends_without_end += ResendEnds(control, sidecar, entries) ? 0 : 1;
    CountViolations(sidecar, entries, violations);
  }
  return violations;
}

TEST_CASE("no random schedule runs a request twice or reports a request that ran as not run") {
  constexpr int kSchedules = 10'000;
  const Violations violations = RunSchedules(SidecarDefect::kNone, kSchedules);
  CHECK(violations.schedules_with_two_runs == 0);
  CHECK(violations.false_not_run == 0);
  CHECK(violations.answers_without_run == 0);
  CHECK(violations.resends_without_end == 0);
}

TEST_CASE("the random schedules detect every sidecar defect") {
  constexpr int kSchedules = 2000;
  for (const SidecarDefect defect :
       {SidecarDefect::kForgetsFences, SidecarDefect::kIgnoresIncarnation,
        SidecarDefect::kStartsTwice, SidecarDefect::kGuessesNeverStarted}) {
    CAPTURE(static_cast<int>(defect));
    CHECK(RunSchedules(defect, kSchedules).schedules_with_two_runs > 0);
  }
}

}  // namespace
}  // namespace masticrill::state
