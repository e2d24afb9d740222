#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "masticrill/common/random.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {
namespace {

const ServiceId kService("s");
constexpr WallTimeMs kWallBegin = 1'790'000'000'000;
/// The bounds of the users' rules, in milliseconds.
constexpr int kContactMs = 3000;
constexpr int kWindowMs = 4000;
constexpr int kToldMs = 500;

struct Scenario {
  int entries = 8;
  /// Upstreams, of which the first ones state a limit from kStatedAtMs on.
  int upstreams = 9;
  int limited = 1;
  double limit = 2.2;
  /// Requests a second over all entries.
  double requests_per_s = 60;
  /// The share of requests that reach the first entry; the others share the rest.
  double share_of_first = 0;
  /// The share of notices between entries that are lost.
  double lost_notices = 0;
  /// An entry that starts anew, and one that hears neither control hosts nor other entries from
  /// some time on.
  int restarted = -1;
  int cut_off = -1;
  /// Whether entries learn the demand of others late and inexactly.
  bool inexact_demand = false;
  /// The milliseconds by which the clocks of hosts differ at most.
  int clock_skew_ms = 0;
};

constexpr int kStatedAtMs = 1000;
constexpr int kLiftedAtMs = 16'000;

/// Entries with their pools before upstreams, in simulated time.
class SimulatedFleet {
 public:
  SimulatedFleet(const Scenario& scenario, std::uint64_t seed) : scenario(scenario), random(seed) {
    for (int number = 0; number < scenario.upstreams; ++number) {
      ListedUpstream upstream;
      upstream.id = UpstreamId("u" + std::to_string(number));
      upstream.service = kService;
      upstream.address = "127.0.0.1:1";
      this->list.push_back(upstream);
    }
    for (int number = 0; number < scenario.entries; ++number) {
      Entry entry;
      entry.address = "10.0.0." + std::to_string(number) + ":7000";
      entry.skew_ms =
          scenario.clock_skew_ms == 0
              ? 0
              : static_cast<int>(this->random.Below(static_cast<unsigned>(scenario.clock_skew_ms)));
      this->entries.push_back(std::move(entry));
      this->StartPool(this->entries.back());
    }
  }

  void Run(int until_ms) {
    for (; this->now < until_ms; ++this->now) {
      this->EndAnswers();
      this->Arrive();
      if (this->now % 100 == 0) {
        this->Notify();
      }
      if (this->now % 500 == 0) {
        this->RenewLeases();
      }
      if (this->now == 6000 && this->scenario.restarted >= 0) {
        this->StartPool(this->entries[static_cast<std::size_t>(this->scenario.restarted)]);
      }
    }
  }

  /// The most requests that one limited upstream got within a window, from entries that had read
  /// the limit `kToldMs` before.
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    for (int upstream = 0; upstream < this->scenario.limited; ++upstream) {
      std::vector<int> counted;
      for (const auto& [target, at] : this->told_arrivals) {
        if (target == upstream && at >= kStatedAtMs + kContactMs) {
          counted.push_back(at);
        }
      }
      for (std::size_t first = 0; first < counted.size(); ++first) {
        const auto end =
            std::lower_bound(counted.begin(), counted.end(), counted[first] + kWindowMs);
        most = std::max(most, static_cast<std::size_t>(end - counted.begin()) - first);
      }
    }
    return most;
  }
  /// Requests a second that the first upstream got between the two times.
  double RateOfFirst(int begin_ms, int end_ms) const {
    const auto count = std::count_if(
        this->arrivals.begin(), this->arrivals.end(), [&](const std::pair<int, int>& arrival) {
          return arrival.first == 0 && arrival.second >= begin_ms && arrival.second < end_ms;
        });
    return 1000.0 * static_cast<double>(count) / (end_ms - begin_ms);
  }

  std::ptrdiff_t RefusedSince(int begin_ms) const {
    return std::count_if(this->refused.begin(), this->refused.end(),
                         [&](int at) { return at >= begin_ms; });
  }

 private:
  struct Entry {
    std::string address;
    std::unique_ptr<UpstreamPool> pool;
    int skew_ms = 0;
    int demand = 0;
    std::vector<int> told_at;
  };
  struct Running {
    std::size_t entry = 0;
    UpstreamPool* pool = nullptr;
    UpstreamPick pick;
    int answers_at = 0;
  };

  static TimePoint At(int in_milliseconds) {
    return TimePoint() + std::chrono::hours(1) + milliseconds(in_milliseconds);
  }
  bool IsCutOff(std::size_t entry) const {
    return static_cast<int>(entry) == this->scenario.cut_off && this->now >= 4000;
  }

  void StartPool(Entry& entry) {
    std::erase_if(this->running, [&](const Running& run) { return run.pool == entry.pool.get(); });
    RouteTable table;
    table.services[kService] = {kService, 0, {}, true, 1, {}};
    entry.pool = std::make_unique<UpstreamPool>(PoolSettings{}, Random(this->random.Below(1000)));
    entry.pool->SetRules({std::make_shared<const RouteTable>(std::move(table)), {}, {}});
    entry.pool->SetList(this->list, At(this->now));
    entry.told_at.assign(this->list.size(), -1);
  }

  void RenewLeases() {
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
      if (this->IsCutOff(index)) {
        continue;
      }
      std::vector<EntryShare> shares;
      for (std::size_t other = 0; other < this->entries.size(); ++other) {
        // One that is cut off is no longer listed when its lease has ended.
        if (this->IsCutOff(other) && this->now >= 8000) {
          continue;
        }
        int demand = std::max(this->entries[other].demand, 1);
        if (this->scenario.inexact_demand) {
          demand = 1 + static_cast<int>(this->random.Below(2 * static_cast<std::uint64_t>(demand)));
        }
        shares.push_back({this->entries[other].address, static_cast<std::uint32_t>(demand)});
      }
      this->entries[index].pool->SetRequestTurns(
          RequestTurns(this->entries[index].address, shares));
    }
  }

  void Notify() {
    const bool forwards = this->entries.size() > 17;
    for (std::size_t from = 0; from < this->entries.size(); ++from) {
      const std::vector<StatedLimit> limits =
          this->entries[from].pool->RecentLimits(forwards, At(this->now));
      for (std::size_t step = 1; step < this->entries.size() && step <= 16; ++step) {
        const std::size_t to = (from + (forwards ? step * step : step)) % this->entries.size();
        if (to != from && !this->IsCutOff(from) && !this->IsCutOff(to) &&
            this->random.Uniform() >= this->scenario.lost_notices) {
          this->entries[to].pool->OnPeerLimits(limits, At(this->now));
        }
      }
    }
  }

  void Arrive() {
    constexpr double kMsPerS = 1000;
    if (this->random.Uniform() >= this->scenario.requests_per_s / kMsPerS) {
      return;
    }
    const std::size_t index = this->random.Uniform() < this->scenario.share_of_first
                                  ? 0
                                  : this->random.Below(this->entries.size());
    Entry& entry = this->entries[index];
    ++entry.demand;
    const UpstreamPick pick = entry.pool->Pick({kService, {}, "", {}, ""}, At(this->now),
                                               kWallBegin + this->now + entry.skew_ms);
    if (pick.status != PickStatus::kFound) {
      this->refused.push_back(this->now);
      return;
    }
    const int target = std::stoi(pick.upstream.id.Value().substr(1));
    this->arrivals.emplace_back(target, this->now);
    const int told_at = entry.told_at[static_cast<std::size_t>(target)];
    if (told_at >= 0 && told_at + kToldMs <= this->now && !this->IsCutOff(index)) {
      this->told_arrivals.emplace_back(target, this->now);
    }
    this->running.push_back(
        {index, entry.pool.get(), pick, this->now + 30 + static_cast<int>(this->random.Below(70))});
  }

  void EndAnswers() {
    std::erase_if(this->running, [&](const Running& run) {
      if (this->now < run.answers_at) {
        return false;
      }
      const int target = std::stoi(run.pick.upstream.id.Value().substr(1));
      const bool is_limited =
          target < this->scenario.limited && this->now >= kStatedAtMs && this->now < kLiftedAtMs;
      run.pool->OnLimitReport(run.pick.upstream.id,
                              is_limited ? std::optional(this->scenario.limit) : std::nullopt,
                              At(this->now));
      int& told_at = this->entries[run.entry].told_at[static_cast<std::size_t>(target)];
      if (is_limited && told_at < 0) {
        told_at = this->now;
      } else if (!is_limited) {
        told_at = -1;
      }
      run.pool->OnAnswerStarted(run.pick.upstream.id, run.pick.work);
      run.pool->Release(run.pick.upstream.id, 0, AttemptVerdict::kSuccess, At(this->now));
      return true;
    });
  }

  Scenario scenario;
  Random random;
  UpstreamList list;
  int now = 0;
  std::vector<Entry> entries;
  std::vector<Running> running;
  /// Upstream and time of each arrival; in the second, only those that count for the limit.
  std::vector<std::pair<int, int>> arrivals;
  std::vector<std::pair<int, int>> told_arrivals;
  std::vector<int> refused;
};

void CheckScenario(const Scenario& scenario) {
  constexpr double kTolerance = 1.5;
  constexpr double kSlack = 5;
  const double allowed = kTolerance * scenario.limit * kWindowMs / 1000 + kSlack;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(scenario, seed);
    fleet.Run(kLiftedAtMs);
    CHECK(static_cast<double>(fleet.MostInWindow()) <= allowed);
  }
}

TEST_CASE("all entries together keep the limit that an upstream states") {
  for (const int entries : {1, 3, 8, 100}) {
    for (const double limit : {0.0, 0.5, 2.2, 12.0}) {
      CAPTURE(entries);
      CAPTURE(limit);
      Scenario scenario;
      scenario.entries = entries;
      scenario.limit = limit;
      scenario.requests_per_s = 300;
      CheckScenario(scenario);
    }
  }
}

TEST_CASE("the limit is kept under uneven callers, and where all upstreams state one") {
  Scenario uneven;
  uneven.share_of_first = 0.8;
  uneven.requests_per_s = 300;
  CheckScenario(uneven);
  uneven.limited = uneven.upstreams;
  CheckScenario(uneven);
  uneven.inexact_demand = true;
  CheckScenario(uneven);
}

TEST_CASE("the limit is kept while an entry starts anew, is cut off, or hears little of others") {
  Scenario scenario;
  scenario.requests_per_s = 300;
  scenario.entries = 3;
  scenario.restarted = 1;
  CheckScenario(scenario);
  scenario.restarted = -1;
  scenario.cut_off = 2;
  CheckScenario(scenario);
  scenario.lost_notices = 1;
  CheckScenario(scenario);
  scenario.entries = 100;
  CheckScenario(scenario);
  Scenario skewed;
  skewed.requests_per_s = 300;
  skewed.clock_skew_ms = 5000;
  CheckScenario(skewed);
}

TEST_CASE("an upstream gets most of its limit, however uneven the callers are, and all after it") {
  for (const double share_of_first : {0.0, 0.9}) {
    CAPTURE(share_of_first);
    Scenario scenario;
    scenario.upstreams = 1;
    scenario.limit = 4;
    scenario.requests_per_s = 40;
    scenario.share_of_first = share_of_first;
    constexpr int kSeeds = 20;
    double rates = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      SimulatedFleet fleet(scenario, seed);
      fleet.Run(kLiftedAtMs + 4000);
      rates += fleet.RateOfFirst(6000, kLiftedAtMs);
      CHECK(fleet.RefusedSince(kLiftedAtMs + 2000) == 0);
    }
    // Requests do not wait here for a turn of their entry.
    CHECK(rates / kSeeds > scenario.limit * 0.6);
  }
}

}  // namespace
}  // namespace masticrill::gateway
