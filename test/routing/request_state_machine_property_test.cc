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

/// What really happened to one attempt, whatever the machine was told.
struct TrueAttempt {
  UpstreamId upstream;
  bool handed_over = false;
  bool fenced = false;
  bool ran = false;
  bool refused = false;
  std::optional<ModelVersion> version;
  bool streams_to_caller = false;
  bool closed = false;
};

/// Drives one request with a seeded schedule of plausible, late, doubled, crossed and wrong events
/// and checks each decision against what is allowed at that moment.
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
      this->Disturb();
      this->now += milliseconds(this->random.Below(400));
      const RequestEvent event = this->NextEvent();
      this->Note(event);
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

  /// Operators change the configuration, or the lease comes and goes.
  void Disturb() {
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
    // Mostly about the newest attempt, sometimes late or about none at all.
    AttemptNumber number = static_cast<AttemptNumber>(this->attempts.size());
    if (this->random.Below(5) == 0) {
      number = static_cast<AttemptNumber>(this->random.Below(this->attempts.size() + 2));
    }
    static TrueAttempt nobody;
    nobody = {};
    const bool known = number >= 1 && number <= this->attempts.size();
    TrueAttempt& truth = known ? this->attempts[number - 1] : nobody;
    if (this->machine.MayHandOver(number) && this->random.Below(3) != 0) {
      truth.handed_over = true;
      truth.ran = this->random.Below(3) != 0;
      return AttemptStarted{number};
    }
    return this->EventFor(number, truth);
  }

  RequestEvent EventFor(AttemptNumber number, TrueAttempt& truth) {
    switch (this->random.Below(16)) {
      case 0:
      case 1:
        // A sidecar refuses only what never starts; a lost connection proves nothing.
        if (!truth.ran) {
          truth.refused = true;
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
        return truth.ran ? RequestEvent(AttemptFailed{number, AttemptOutcome::kFailed, true})
                         : RequestEvent(AttemptFailed{number, AttemptOutcome::kUnreachable, false});
      case 6:
        return truth.ran ? RequestEvent(StreamBroken{
                               number, static_cast<std::uint32_t>(this->random.Below(50))})
                         : RequestEvent(HedgeDue{number});
      case 7:
      case 8:
        return truth.ran ? RequestEvent(FirstTokenReceived{number})
                         : RequestEvent(HedgeDue{number});
      case 9:
        return truth.ran ? RequestEvent(AttemptFinished{number, 100})
                         : RequestEvent(HedgeDue{number});
      case 10:
      case 11:
        return this->FenceResultFor(number, truth);
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
    // Now and then beyond what is possible.
    return {RatingOutcome::kScore, this->random.Uniform() * 1.1};
  }

  RequestEvent FenceResultFor(AttemptNumber number, TrueAttempt& truth) {
    if (this->random.Below(4) == 0) {
      return FenceResultReceived{number, FenceResult::kUnknownIncarnation};
    }
    if (truth.ran) {
      return FenceResultReceived{
          number, this->random.Below(2) == 0 ? FenceResult::kRunning : FenceResult::kDone};
    }
    truth.fenced = true;
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

  /// Remembers what the caller has of the answer. Events of closed attempts change nothing.
  void Note(const RequestEvent& event) {
    std::visit([&](const auto& kind) { this->NoteEvent(kind); }, event);
  }
  TrueAttempt* Open(AttemptNumber number) {
    const bool known = number >= 1 && number <= this->attempts.size();
    return known && !this->attempts[number - 1].closed ? &this->attempts[number - 1] : nullptr;
  }
  void NoteEvent(const FirstTokenReceived& event) {
    if (const TrueAttempt* attempt = this->Open(event.attempt);
        attempt != nullptr && attempt->streams_to_caller && !this->stream_version) {
      this->stream_version = attempt->version;
    }
  }
  void NoteEvent(const StreamBroken& event) {
    if (TrueAttempt* attempt = this->Open(event.attempt)) {
      this->broken_offset = event.token_offset;
      attempt->closed = true;
    }
  }
  void NoteEvent(const AttemptFailed& event) { this->Close(event.attempt); }
  void NoteEvent(const AttemptRefused& event) { this->Close(event.attempt); }
  void NoteEvent(const AttemptFinished& event) { this->Close(event.attempt); }
  template <typename Event>
  void NoteEvent(const Event& /*event*/) {}
  void Close(AttemptNumber number) {
    if (TrueAttempt* attempt = this->Open(number)) {
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
      for (const TrueAttempt& earlier : this->attempts) {
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
    for (const TrueAttempt& attempt : this->attempts) {
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
  std::vector<TrueAttempt> attempts;
  std::map<std::size_t, std::set<UpstreamId>> tried;
  std::set<std::size_t> steps;
};

TEST_CASE("a request keeps every invariant under random schedules") {
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
  // The schedules do reach retries: they use up the budget that they earn.
  CHECK(attempts - steps > 0.08 * kSchedules);
}

TEST_CASE("a request keeps every invariant where retries are plenty") {
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
