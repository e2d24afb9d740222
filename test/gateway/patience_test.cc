#include "masticrill/gateway/patience.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/gateway/answer_lateness.h"

namespace masticrill::gateway {
namespace {

const ServiceId kService("engines");
constexpr milliseconds kUrgentTarget{1000};
constexpr milliseconds kPatientTarget{4000};

TimePoint At(double in_seconds) {
  return TimePoint() + duration_cast<Duration>(std::chrono::duration<double>(in_seconds));
}

/// What callers send: requests a second of each kind, and how much work a long prompt is.
struct Load {
  double urgent_per_second = 120;
  double patient_per_second = 80;
  /// Patient requests come so many times as often from second 2 to second 7.
  double patient_burst = 1;
  double urgent_burst = 1;
  /// Of ten engines, until second 4.
  int lost_engines = 0;
  int entries = 1;
};

struct Kind {
  std::size_t count = 0;
  std::size_t in_time = 0;
  double longest_hold = 0;

  double Share() const {
    return this->count == 0 ? 1
                            : static_cast<double>(this->in_time) / static_cast<double>(this->count);
  }
};

struct Outcome {
  Kind urgent;
  Kind patient;
};

/// Ten engines that process the prompts of all requests one after the other. A short prompt takes
/// 5 ms, a long one 70 ms on average. Entries choose the engine that is free first and learn of
/// answers as they begin.
class Engines {
 public:
  Engines(const Load& load, bool gated, std::uint64_t seed)
      : load(load), gated(gated), random(seed), gates(load.entries), lateness(load.entries) {}

  Outcome Run() {
    this->Arrive(true, 0);
    this->Arrive(false, 0);
    while (!this->events.empty()) {
      const auto event = this->events.extract(this->events.begin());
      event.mapped()(event.key());
    }
    return this->outcome;
  }

 private:
  using Event = std::function<void(double)>;
  static constexpr double kEnd = 12;
  static constexpr int kEngines = 10;

  void Arrive(bool urgent, double after) {
    const bool in_burst = after >= 2 && after < 7;
    const double usual = urgent ? this->load.urgent_per_second : this->load.patient_per_second;
    const double burst = urgent ? this->load.urgent_burst : this->load.patient_burst;
    const double rate = usual * (in_burst ? burst : 1);
    if (rate <= 0) {
      return;
    }
    const double at = after - std::log(1 - this->random.Uniform()) / rate;
    if (at > kEnd) {
      return;
    }
    const int entry = static_cast<int>(this->random.Below(this->load.entries));
    this->events.emplace(at, [this, urgent, entry](double now) {
      this->Arrive(urgent, now);
      this->Start(urgent, entry, now, now);
    });
  }

  void Start(bool urgent, int entry, double arrived, double now) {
    const double late = this->lateness.at(entry).Read(kService, At(now));
    if (this->gated && !urgent &&
        !this->gates.at(entry).MayStart(kService, At(arrived), kPatientTarget, late, At(now))) {
      constexpr double kCheck = 0.04;
      this->events.emplace(now + kCheck,
                           [=, this](double later) { this->Start(urgent, entry, arrived, later); });
      return;
    }
    const int usable = now >= 2 && now < 4 ? kEngines - this->load.lost_engines : kEngines;
    double* const engine =
        &*std::min_element(this->free_at.begin(), this->free_at.begin() + usable);
    const double work = urgent ? 0.005 : 0.07 * -std::log(1 - this->random.Uniform());
    *engine = std::max(*engine, now) + work;
    this->events.emplace(*engine, [=, this](double begun) {
      const auto waited = duration_cast<Duration>(std::chrono::duration<double>(begun - now));
      this->lateness.at(entry).Add(kService, waited, kUrgentTarget, At(begun));
      this->gates.at(entry).OnAnswerStart(kService);
    });
    const double target =
        std::chrono::duration<double>(urgent ? kUrgentTarget : kPatientTarget).count();
    Kind& kind = urgent ? this->outcome.urgent : this->outcome.patient;
    ++kind.count;
    kind.in_time += *engine - arrived <= target ? 1 : 0;
    kind.longest_hold = std::max(kind.longest_hold, now - arrived);
  }

  Load load;
  bool gated;
  Random random;
  std::vector<PatienceGate> gates;
  std::vector<AnswerLateness> lateness;
  std::vector<double> free_at = std::vector<double>(kEngines, 0);
  std::multimap<double, Event> events;
  Outcome outcome;
};

Outcome Play(const Load& load, bool gated, std::uint64_t seed) {
  return Engines(load, gated, seed).Run();
}

// Pattern: long prompts come at 1.6 times what the engines take, for five seconds.
TEST_CASE(
    "a burst of long prompts delays neither urgent requests nor patient ones past their targets") {
  for (const int entries : {1, 29}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(entries);
      CAPTURE(seed);
      Load load;
      load.patient_burst = 2.4;
      load.entries = entries;
      const Outcome without = Play(load, false, seed);
      const Outcome with = Play(load, true, seed);
      CHECK(with.urgent.Share() >= 0.95);
      CHECK(with.urgent.Share() >= without.urgent.Share());
      CHECK(with.patient.Share() >= 0.95);
    }
  }
}

// Pattern: half of the engines are lost for two seconds under the usual load.
TEST_CASE("urgent requests begin in time while half of the engines are lost") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Load load;
    load.lost_engines = 5;
    const Outcome with = Play(load, true, seed);
    CHECK(with.urgent.Share() >= 0.95);
    CHECK(with.patient.Share() >= 0.95);
  }
}

// Pattern: shares of long work from none to nearly all, and bursts of short urgent requests.
TEST_CASE("patient requests are not held back where urgent ones begin early") {
  for (const double patient : {0.0, 20.0, 40.0, 80.0, 110.0}) {
    for (const double urgent_burst : {1.0, 3.0}) {
      CAPTURE(patient);
      CAPTURE(urgent_burst);
      Load load;
      load.patient_per_second = patient;
      load.urgent_burst = urgent_burst;
      const Outcome with = Play(load, true, 7);
      CHECK(with.urgent.Share() >= 0.99);
      CHECK(with.patient.Share() >= 0.99);
    }
  }
}

// Pattern: long prompts come at ten times what the engines take.
TEST_CASE("no patient request is held back for longer than a share of its latency target") {
  Load load;
  load.patient_burst = 15;
  const Outcome with = Play(load, true, 3);
  CHECK(with.patient.longest_hold > 1);
  // The share, and the interval at which requests that are held back look again.
  CHECK(with.patient.longest_hold <= 0.6 * 4 + 0.041);
}

// Pattern: answers begin early again after a burst, and many requests wait at one entry.
TEST_CASE("each answer that begins lets one of the requests go that were held back") {
  PatienceGate gate;
  gate.OnAnswerStart(kService);
  CHECK_FALSE(gate.MayStart(kService, At(0), kPatientTarget, 0.9, At(0.1)));
  const auto starts = [&] {
    int started = 0;
    for (int look = 0; look < 100; ++look) {
      started += gate.MayStart(kService, At(0), kPatientTarget, 0.1, At(0.2)) ? 1 : 0;
    }
    return started;
  };
  CHECK(starts() == 1);
  CHECK(starts() == 0);
  gate.OnAnswerStart(kService);
  gate.OnAnswerStart(kService);
  CHECK(starts() == 2);
  CHECK(gate.MayStart(ServiceId("other"), At(0), kPatientTarget, 0.1, At(0.2)));
  // Calm for a while: nothing waits for a turn.
  CHECK(gate.MayStart(kService, At(1.3), kPatientTarget, 0.1, At(1.4)));
}

// Pattern: second steps of cascades of all ranks compete for the same engines.
TEST_CASE("second steps of less urgent requests are left out before those of urgent ones") {
  for (const double lateness : {0.05, 0.2, 0.35, 0.5, 0.8}) {
    CAPTURE(lateness);
    const double urgent =
        ConfidenceTargetUnderLoad(0.6, LatenessForSecondStep(Urgency::kUrgent, lateness));
    const double patient =
        ConfidenceTargetUnderLoad(0.6, LatenessForSecondStep(Urgency::kPatient, lateness));
    CHECK(patient <= urgent);
  }
  CHECK(LatenessForSecondStep(Urgency::kAlike, 0.4) == 0.4);
  CHECK(ConfidenceTargetUnderLoad(0.6, LatenessForSecondStep(Urgency::kPatient, 0.05)) == 0.6);
  CHECK(ConfidenceTargetUnderLoad(0.6, LatenessForSecondStep(Urgency::kPatient, 0.4)) == 0);
  CHECK(ConfidenceTargetUnderLoad(0.6, LatenessForSecondStep(Urgency::kUrgent, 0.3)) == 0.6);
}

}  // namespace
}  // namespace masticrill::gateway
