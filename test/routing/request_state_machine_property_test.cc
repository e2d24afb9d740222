#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fakes/routing_fleet.h"
#include "masticrill/routing/request_state_machine.h"

namespace masticrill::routing {
namespace {

using fakes::kCheap;
using fakes::kNew;
using fakes::kOld;

/// What actually happened to one attempt, regardless of the events that the state machine got.
struct ActualAttempt {
  UpstreamId upstream;
  bool handed_over = false;
  bool fenced = false;
  bool ran = false;
  bool refused = false;
  std::optional<ModelVersion> version;
  bool streams_to_caller = false;
  bool closed = false;
};

/// Drives one request with a seeded schedule of plausible, late, duplicate, reordered and wrong
/// events, and checks each action against the configuration and lease at that time.
class Schedule {
 public:
  Schedule(std::uint64_t seed, UpstreamTable& table, RetryBudget& budget, CascadePolicy& cascades)
      : random(seed),
        configuration(fakes::SmallFleet()),
        directory(fakes::DirectoryOf(this->configuration)),
        table(table),
        budget(budget),
        cascades(cascades),
        traits(this->RandomTraits(seed)),
        machine(this->traits) {
    this->now = this->traits.received;
    this->lease_valid = this->random.Below(20) != 0;
    if (this->random.Below(2) == 0) {
      this->StartRollout();
    }
  }

  void Run() {
    this->Apply(
        [&](TransitionContext& context) { return this->machine.Start(context, this->now); });
    constexpr int kMaxEvents = 60;
    for (int i = 0; i < kMaxEvents && !this->machine.Ended(); ++i) {
      this->ChangeEnvironment();
      this->now += milliseconds(this->random.Below(400));
      const RequestEvent event = this->NextEvent();
      this->TrackEvent(event);
      this->Apply([&](TransitionContext& context) {
        return this->machine.OnEvent(context, event, this->now);
      });
    }
    this->Apply([&](TransitionContext& context) {
      return this->machine.OnEvent(context, DeadlinePassed{}, this->now);
    });
    CHECK(this->machine.Ended());
    CHECK(this->ends == 1);
    for (const auto& [id, upstream] : this->configuration.upstreams) {
      CHECK(this->table.Read(id, {}, this->now).own_in_flight == 0);
    }
  }

  int Attempts() const { return static_cast<int>(this->attempts.size()); }
  int Steps() const { return static_cast<int>(this->steps.size()); }

 private:
  RequestTraits RandomTraits(std::uint64_t seed) {
    const std::vector<RequestTarget> targets = {
        ModelTarget{kCheap, std::nullopt}, ModelTarget{kCheap, kNew},
        CascadeTarget{fakes::kCascade}, ServiceTarget{fakes::kBooking, "POST"},
        ServiceTarget{fakes::kBooking, "GET"}};
    const std::size_t choice = this->random.Below(targets.size());
    RequestTraits made = fakes::TraitsFor(targets[choice], static_cast<int>(seed));
    made.idempotent = choice != 3;
    made.at_most_once = choice == 3 ? this->random.Below(2) == 0 : this->random.Below(8) == 0;
    made.deadline = made.received + milliseconds(500 + this->random.Below(20'000));
    made.streaming = this->random.Below(3) != 0;
    if (this->random.Below(2) == 0) {
      made.session = SessionId("session-" + std::to_string(seed));
    }
    if (this->random.Below(4) == 0) {
      made.pins = {{kCheap, this->random.Below(2) == 0 ? kOld : kNew}};
    }
    return made;
  }

  void StartRollout() {
    this->configuration.models[kCheap].rollout =
        config::Rollout{kNew, 5000, config::RolloutState::kRunning, ""};
    this->directory = fakes::DirectoryOf(this->configuration);
  }

  /// Sometimes changes the configuration or the validity of the lease.
  void ChangeEnvironment() {
    switch (this->random.Below(12)) {
      case 0: {
        auto& model = this->configuration.models[kCheap];
        model.versions[this->random.Below(2) == 0 ? kOld : kNew].state =
            config::VersionState::kWithdrawn;
        break;
      }
      case 1: {
        const std::string domain = "domain-" + std::to_string(this->random.Below(3));
        this->configuration.failure_domains[FailureDomainId(domain)].state =
            this->random.Below(2) == 0 ? config::DomainState::kOut : config::DomainState::kIn;
        break;
      }
      case 2: {
        const std::string worker = "worker-" + std::to_string(this->random.Below(10));
        this->configuration.upstreams[UpstreamId(worker)].state = config::UpstreamState::kLeaving;
        break;
      }
      case 3:
        this->StartRollout();
        break;
      case 4:
        this->lease_valid = this->random.Below(3) != 0;
        return;
      case 5:
        this->configuration.teams[fakes::kTeam].models[kCheap] = {kOld};
        break;
      default:
        return;
    }
    this->directory = fakes::DirectoryOf(this->configuration);
  }

  RequestEvent NextEvent() {
    if (this->attempts.empty()) {
      return CallerDisconnected{};
    }
    // The event is mostly for the newest attempt, sometimes for an older or unknown one.
    AttemptNumber number = static_cast<AttemptNumber>(this->attempts.size());
    if (this->random.Below(5) == 0) {
      number = static_cast<AttemptNumber>(this->random.Below(this->attempts.size() + 2));
    }
    static ActualAttempt unknown;
    unknown = {};
    const bool known = number >= 1 && number <= this->attempts.size();
    ActualAttempt& actual = known ? this->attempts[number - 1] : unknown;
    if (this->machine.MayHandOver(number) && this->random.Below(3) != 0) {
      actual.handed_over = true;
      actual.ran = this->random.Below(3) != 0;
      return AttemptStarted{number};
    }
    return this->EventFor(number, actual);
  }

  RequestEvent EventFor(AttemptNumber number, ActualAttempt& actual) {
    switch (this->random.Below(16)) {
      case 0:
      case 1:
        // A sidecar refuses only attempts that never start; a lost connection proves nothing.
        if (!actual.ran) {
          actual.refused = true;
          const auto refusal = static_cast<AttemptRefusal>(1 + this->random.Below(6));
          return AttemptRefused{number, refusal, milliseconds(50)};
        }
        return AttemptRefused{number, AttemptRefusal::kUnreachable, std::nullopt};
      case 2:
      case 3:
      case 4:
        return AttemptFailed{
            number,
            this->random.Below(2) == 0 ? AttemptOutcome::kBroken : AttemptOutcome::kTimedOut,
            false};
      case 5:
        return actual.ran
                   ? RequestEvent(AttemptFailed{number, AttemptOutcome::kFailed, true})
                   : RequestEvent(AttemptFailed{number, AttemptOutcome::kUnreachable, false});
      case 6:
        return actual.ran ? RequestEvent(StreamBroken{
                                number, static_cast<std::uint32_t>(this->random.Below(50))})
                          : RequestEvent(HedgeDue{number});
      case 7:
      case 8:
        return actual.ran ? RequestEvent(FirstTokenReceived{number})
                          : RequestEvent(HedgeDue{number});
      case 9:
        return actual.ran ? RequestEvent(AttemptFinished{number, 100})
                          : RequestEvent(HedgeDue{number});
      case 10:
      case 11:
        return this->FenceResultFor(number, actual);
      case 12:
        return RatingReceived{number, this->RandomRating()};
      case 13:
        return this->random.Below(4) == 0 ? RequestEvent(LeaseLost{})
                                          : RequestEvent(HedgeDue{number});
      case 14:
        return ClaimRefused{number, RefusalKind::kControlUnavailable};
      default:
        return HedgeDue{number};
    }
  }

  Rating RandomRating() {
    if (this->random.Below(8) == 0) {
      return {RatingOutcome::kLate, 0};
    }
    // About one score in eleven is above the range.
    return {RatingOutcome::kScore, this->random.Uniform() * 1.1};
  }

  RequestEvent FenceResultFor(AttemptNumber number, ActualAttempt& actual) {
    if (this->random.Below(4) == 0) {
      return FenceResultReceived{number, FenceResult::kUnknownIncarnation};
    }
    if (actual.ran) {
      return FenceResultReceived{
          number, this->random.Below(2) == 0 ? FenceResult::kRunning : FenceResult::kDone};
    }
    actual.fenced = true;
    return FenceResultReceived{number, FenceResult::kNeverStarted};
  }

  template <typename Step>
  void Apply(Step&& step) {
    const RequestSettings settings;
    TransitionContext context{this->directory, this->table, this->budget, this->cascades,
                              this->random,    settings,    nullptr,      this->lease_valid};
    const bool was_ended = this->machine.Ended();
    const Actions actions = step(context);
    if (was_ended) {
      CHECK(actions.empty());
    }
    for (const Action& action : actions) {
      std::visit([&](const auto& kind) { this->CheckAction(kind); }, action);
    }
  }

  /// Tracks the part of the answer that the caller has. Events of closed attempts are ignored.
  void TrackEvent(const RequestEvent& event) {
    std::visit([&](const auto& kind) { this->Track(kind); }, event);
  }
  ActualAttempt* FindOpenAttempt(AttemptNumber number) {
    const bool known = number >= 1 && number <= this->attempts.size();
    return known && !this->attempts[number - 1].closed ? &this->attempts[number - 1] : nullptr;
  }
  void Track(const FirstTokenReceived& event) {
    if (const ActualAttempt* attempt = this->FindOpenAttempt(event.attempt);
        attempt != nullptr && attempt->streams_to_caller && !this->stream_version) {
      this->stream_version = attempt->version;
    }
  }
  void Track(const StreamBroken& event) {
    if (ActualAttempt* attempt = this->FindOpenAttempt(event.attempt)) {
      this->broken_offset = event.token_offset;
      attempt->closed = true;
    }
  }
  void Track(const AttemptFailed& event) { this->Close(event.attempt); }
  void Track(const AttemptRefused& event) { this->Close(event.attempt); }
  void Track(const AttemptFinished& event) { this->Close(event.attempt); }
  template <typename Event>
  void Track(const Event& /*event*/) {}
  void Close(AttemptNumber number) {
    if (ActualAttempt* attempt = this->FindOpenAttempt(number)) {
      attempt->closed = true;
    }
  }

  void CheckAction(const Dispatch& dispatch) {
    CHECK(this->ends == 0);
    CHECK(this->lease_valid);
    CHECK(dispatch.lease_checked);
    CHECK(this->now < this->traits.deadline);
    const config::Upstream& upstream = this->configuration.upstreams.at(dispatch.upstream);
    CHECK(upstream.state == config::UpstreamState::kActive);
    CHECK(this->configuration.failure_domains.at(upstream.failure_domain).state ==
          config::DomainState::kIn);
    if (dispatch.version) {
      CHECK(VersionAllowed(this->configuration, this->traits.team, *dispatch.version));
      CHECK(upstream.serves.contains(*dispatch.version));
    }
    CHECK_FALSE(this->tried[dispatch.cascade_step].contains(dispatch.upstream));
    this->tried[dispatch.cascade_step].insert(dispatch.upstream);
    this->steps.insert(dispatch.cascade_step);
    if (!this->traits.Repeatable()) {
      for (const ActualAttempt& earlier : this->attempts) {
        const bool never_ran = !earlier.handed_over || earlier.fenced || earlier.refused;
        CHECK((never_ran || this->steps.size() > 1));
      }
    }
    if (this->stream_version) {
      CHECK(dispatch.version == *this->stream_version);
      CHECK(dispatch.resume_offset == this->broken_offset);
    } else {
      CHECK(dispatch.resume_offset == 0);
    }
    this->attempts.push_back({.upstream = dispatch.upstream,
                              .version = dispatch.version,
                              .streams_to_caller = dispatch.stream_to_caller});
  }

  void CheckAction(const Refuse& refuse) {
    ++this->ends;
    if (refuse.refusal.execution != Execution::kNotRun) {
      return;
    }
    for (const ActualAttempt& attempt : this->attempts) {
      CHECK((!attempt.handed_over || attempt.fenced || attempt.refused));
    }
  }
  void CheckAction(const Answer& answer) {
    ++this->ends;
    CHECK(answer.attempt >= 1);
    CHECK(answer.attempt <= this->attempts.size());
  }
  void CheckAction(const FenceAttempt& /*fence*/) { CHECK_FALSE(this->traits.Repeatable()); }
  void CheckAction(const RequestRating& /*rate*/) {}
  void CheckAction(const CancelAttempts& cancel) {
    for (const AttemptNumber number : cancel.attempts) {
      this->Close(number);
    }
  }
  void CheckAction(const Wait& /*wait*/) { CHECK(this->ends == 0); }

  Random random;
  config::Configuration configuration;
  UpstreamDirectory directory;
  UpstreamTable& table;
  RetryBudget& budget;
  CascadePolicy& cascades;
  RequestTraits traits;
  RequestStateMachine machine;
  TimePoint now;
  bool lease_valid = true;
  int ends = 0;
  std::optional<std::optional<ModelVersion>> stream_version;
  std::uint32_t broken_offset = 0;
  std::vector<ActualAttempt> attempts;
  std::map<std::size_t, std::set<UpstreamId>> tried;
  std::set<std::size_t> steps;
};

TEST_CASE("a request keeps every invariant under random schedules with the default retry budget") {
  constexpr std::uint64_t kSchedules = 20'000;
  RetryBudget budget;
  int attempts = 0;
  int steps = 0;
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    CAPTURE(seed);
    UpstreamTable table;
    CascadePolicy cascades;
    Schedule schedule(seed, table, budget, cascades);
    schedule.Run();
    attempts += schedule.Attempts();
    steps += schedule.Steps();
    const double retries_allowed = 0.1 * static_cast<double>(seed + 1);
    REQUIRE(attempts - steps <= retries_allowed + 1e-6);
  }
  // The schedules must cause retries: they use most of the retry budget.
  CHECK(attempts - steps > 0.08 * kSchedules);
}

TEST_CASE("a request keeps every invariant under random schedules with a large retry budget") {
  constexpr std::uint64_t kSchedules = 20'000;
  RetryBudget budget({.retries_per_request = 10});
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    CAPTURE(seed);
    UpstreamTable table;
    CascadePolicy cascades;
    Schedule(seed, table, budget, cascades).Run();
  }
}

}  // namespace
}  // namespace masticrill::routing
