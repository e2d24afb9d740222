#include "masticrill/config/lease.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "masticrill/common/random.h"

namespace masticrill::config {
namespace {

TimePoint At(Duration time) { return TimePoint(time); }

ConfigurationPtr Numbered(Number number) {
  Configuration configuration;
  configuration.number = number;
  return std::make_shared<const Configuration>(configuration);
}

TEST_CASE("a lease counts from when its request was sent") {
  LeaseHolder holder;
  CHECK_FALSE(holder.Valid(At(seconds(0))));
  const LeaseRequestId request = holder.OnRequestSent(At(seconds(10)));
  // The answer comes 3 s late, so less than 1 s is left of it.
  CHECK(holder.OnGrant(request, {1, seconds(4)}, Numbered(1)) == GrantVerdict::kTaken);
  CHECK(holder.Valid(At(milliseconds(13'900))));
  CHECK_FALSE(holder.Valid(At(milliseconds(13'993))));
  const LeaseCheck check = holder.Check(At(seconds(20)));
  CHECK(check.refusal == RefusalKind::kNoLease);
  CHECK(check.retry_after == milliseconds(1000));
}

TEST_CASE("grants are taken only in answer to a request and never lower the number") {
  LeaseHolder holder;
  CHECK(holder.OnGrant(1, {5, seconds(4)}, Numbered(5)) == GrantVerdict::kUnknownRequest);
  const LeaseRequestId first = holder.OnRequestSent(At(seconds(1)));
  const LeaseRequestId second = holder.OnRequestSent(At(seconds(2)));
  CHECK(holder.OnGrant(second, {5, seconds(4)}, nullptr) == GrantVerdict::kNeedsConfiguration);
  CHECK_FALSE(holder.Valid(At(seconds(2))));
  CHECK(holder.OnGrant(first, {5, seconds(4)}, Numbered(5)) == GrantVerdict::kUnknownRequest);
  const LeaseRequestId third = holder.OnRequestSent(At(seconds(3)));
  CHECK(holder.OnGrant(third, {5, seconds(4)}, Numbered(5)) == GrantVerdict::kTaken);
  CHECK(holder.OnGrant(third, {5, seconds(4)}, Numbered(5)) == GrantVerdict::kUnknownRequest);
  const LeaseRequestId fourth = holder.OnRequestSent(At(seconds(4)));
  CHECK(holder.OnGrant(fourth, {4, seconds(4)}, Numbered(4)) == GrantVerdict::kOlderNumber);
  CHECK(holder.KnownNumber() == 5);
  const LeaseRequestId fifth = holder.OnRequestSent(At(seconds(5)));
  CHECK(holder.OnGrant(fifth, {6, seconds(4)}, Numbered(7)) == GrantVerdict::kNeedsConfiguration);
  const LeaseRequestId sixth = holder.OnRequestSent(At(seconds(6)));
  CHECK(holder.OnGrant(sixth, {5, seconds(1000)}, nullptr) == GrantVerdict::kTaken);
  CHECK_FALSE(holder.Valid(At(seconds(10))));
}

TEST_CASE("a host grants only on fresh evidence and only what it has applied") {
  LeaseGranter granter;
  CHECK_FALSE(granter.Grant(At(seconds(0)), 9));
  const LeaseRequestId request = granter.OnEvidenceRequestSent(At(seconds(10)));
  CHECK(granter.OnEvidence(request, 3));
  CHECK_FALSE(granter.OnEvidence(request, 3));
  CHECK_FALSE(granter.Grant(At(seconds(11)), 2));
  CHECK(granter.Grant(At(seconds(11)), 3) == LeaseGrant{3, seconds(3)});
  CHECK_FALSE(granter.Grant(At(milliseconds(13'950)), 3));
  const LeaseRequestId later = granter.OnEvidenceRequestSent(At(seconds(12)));
  CHECK_FALSE(granter.OnEvidence(later, 2));
  CHECK_FALSE(granter.Grant(At(seconds(14)), 3));
}

/// Broken variants that the schedules must find.
enum class LeaseDefect {
  kNone,
  kHolderCountsFromReceipt,
  kGranterGivesFullLength,
  kEvidenceCountsFromReceipt,
  kGrantsUnapplied,
  kClockBeyondAllowance,
};

/// One holder, one control host and the numbers accepted by the leader, on a seeded schedule of
/// slow, lost and crossed messages and slow clocks. A message is one draw of a delay.
class LeaseSchedule {
 public:
  LeaseSchedule(LeaseDefect defect, std::uint64_t seed) : defect(defect), random(seed) {}

  /// The longest time after the acceptance of a number at which the holder still held a lease of an
  /// earlier one.
  Duration WorstOverrun() {
    constexpr int kTicks = 1200;
    constexpr std::uint64_t kTicksPerAcceptance = 150;
    constexpr int kRenewEveryTicks = 20;
    for (int tick = 1; tick <= kTicks; ++tick) {
      this->now = At(kTick * tick);
      if (this->random.Below(kTicksPerAcceptance) == 0) {
        this->accepted.push_back({this->now, this->now + this->Delay()});
      }
      if (tick % kRenewEveryTicks == 0) {
        this->AskForEvidence();
      }
      if (tick % kRenewEveryTicks == kRenewEveryTicks / 2) {
        this->AskForLease();
      }
      this->Deliver();
      this->Observe();
    }
    return this->worst;
  }

 private:
  static constexpr Duration kTick = milliseconds(50);

  enum class Kind { kEvidence, kLeaseRequest, kLeaseGrant };

  struct Message {
    Kind kind = Kind::kEvidence;
    TimePoint arrives;
    LeaseRequestId request = 0;
    LeaseGrant grant;
  };

  /// When a number was accepted, and when the control host had applied it.
  struct Acceptance {
    TimePoint at;
    TimePoint applied;
  };

  Duration Delay() {
    return random.Below(4) == 0 ? milliseconds(random.Below(6000)) : milliseconds(random.Below(40));
  }

  /// The time on a clock that is slow by the allowance, or by more.
  TimePoint Clock() const {
    const int slowness = this->defect == LeaseDefect::kClockBeyondAllowance ? 20 : 1000;
    return this->now - this->now.time_since_epoch() / slowness;
  }

  void Send(Message message) {
    if (this->random.Below(6) != 0) {
      message.arrives = this->now + this->Delay();
      this->messages.push_back(message);
    }
  }

  void AskForEvidence() {
    const LeaseRequestId request = this->granter.OnEvidenceRequestSent(this->Clock());
    this->Send({Kind::kEvidence, {}, request, {this->accepted.size(), {}}});
  }

  void AskForLease() {
    this->Send({Kind::kLeaseRequest, {}, this->holder.OnRequestSent(this->Clock()), {}});
  }

  void Deliver() {
    std::vector<Message> arrived;
    for (const Message& message : this->messages) {
      if (message.arrives <= this->now) {
        arrived.push_back(message);
      }
    }
    std::erase_if(this->messages,
                  [this](const Message& message) { return message.arrives <= this->now; });
    for (const Message& message : arrived) {
      this->OnMessage(message);
    }
  }

  void OnMessage(const Message& message) {
    LeaseRequestId request = message.request;
    switch (message.kind) {
      case Kind::kEvidence:
        if (this->defect == LeaseDefect::kEvidenceCountsFromReceipt) {
          request = this->granter.OnEvidenceRequestSent(this->Clock());
        }
        if (this->granter.OnEvidence(request, message.grant.number)) {
          this->evidence_number = message.grant.number;
        }
        return;
      case Kind::kLeaseRequest:
        this->Grant(request);
        return;
      case Kind::kLeaseGrant:
        if (this->defect == LeaseDefect::kHolderCountsFromReceipt) {
          request = this->holder.OnRequestSent(this->Clock());
        }
        this->holder.OnGrant(request, message.grant, Numbered(message.grant.number));
        return;
    }
  }

  void Grant(LeaseRequestId request) {
    const Number applied = static_cast<Number>(
        std::count_if(this->accepted.begin(), this->accepted.end(),
                      [this](const Acceptance& number) { return number.applied <= this->now; }));
    const bool lies = this->defect == LeaseDefect::kGrantsUnapplied;
    auto grant = this->granter.Grant(this->Clock(),
                                     lies ? std::max(applied, this->evidence_number) : applied);
    if (!grant) {
      return;
    }
    grant->number = applied;
    if (this->defect == LeaseDefect::kGranterGivesFullLength) {
      grant->length = kLeaseLength;
    }
    this->Send({Kind::kLeaseGrant, {}, request, *grant});
  }

  void Observe() {
    const Number held = this->holder.KnownNumber();
    if (this->holder.Valid(this->Clock()) && held < this->accepted.size()) {
      this->worst = std::max(this->worst, this->now - this->accepted[held].at);
    }
  }

  LeaseDefect defect;
  Random random;
  TimePoint now;
  LeaseHolder holder;
  LeaseGranter granter;
  Number evidence_number = 0;
  std::vector<Acceptance> accepted;
  std::vector<Message> messages;
  Duration worst{0};
};

Duration WorstOfSeeds(LeaseDefect defect) {
  constexpr std::uint64_t kSeeds = 400;
  Duration worst{0};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    worst = std::max(worst, LeaseSchedule(defect, seed).WorstOverrun());
  }
  return worst;
}

TEST_CASE("no node works under an old number longer than the lease") {
  const Duration worst = WorstOfSeeds(LeaseDefect::kNone);
  CHECK(worst <= kLeaseLength);
  // The schedules come near the bound, so they would show an overrun.
  CHECK(worst > kLeaseLength - milliseconds(500));
}

TEST_CASE("the schedules find every broken lease") {
  for (const LeaseDefect defect :
       {LeaseDefect::kHolderCountsFromReceipt, LeaseDefect::kGranterGivesFullLength,
        LeaseDefect::kEvidenceCountsFromReceipt, LeaseDefect::kGrantsUnapplied,
        LeaseDefect::kClockBeyondAllowance}) {
    CAPTURE(static_cast<int>(defect));
    CHECK(WorstOfSeeds(defect) > kLeaseLength);
  }
}

TEST_CASE("an acknowledgement leaves no earlier lease more than the bound") {
  for (const milliseconds bound : {milliseconds(0), milliseconds(250), milliseconds(2000),
                                   milliseconds(2500), milliseconds(4000), milliseconds(11'000)}) {
    CAPTURE(bound.count());
    const Duration delay = AcknowledgementDelay(Duration(bound));
    CHECK(delay >= Duration::zero());
    // A lease on evidence from right before the change, which is granted and taken at once.
    CHECK(kLeaseLength <= delay + Duration(bound));
    CHECK(delay <= kLeaseLength);
  }
  CHECK(AcknowledgementDelay(kLeaseLength) == Duration::zero());
}

}  // namespace
}  // namespace masticrill::config
