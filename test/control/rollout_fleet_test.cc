#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "control/rollout_controller.h"
#include "masticrill/common/random.h"
#include "masticrill/routing/evidence_table.h"

namespace masticrill::control {
namespace {

const ServiceId kService("s");
const ModelVersion kOld{ModelId("s"), VersionId("v1")};
const ModelVersion kNew{ModelId("s"), VersionId("v2")};
const FailureDomainId kDomain("d");

/// The bounds of the users' rule, the smallest of their deployments.
constexpr double kExposeShare = 0.12;
constexpr std::uint64_t kExposeSlack = 30;
constexpr std::size_t kSessions = 3000;

struct Scenario {
  int entries = 3;
  double requests_per_s = 400;
  int duration_ms = 15'000;
  /// The median times to the first token of two kinds of requests.
  std::array<double, 2> first_token_ms = {300, 1500};
  /// The share of the candidate's answers that are slower, and by which factor.
  double slow_share = 0;
  double slow_factor = 5;
  /// How late reports reach the leader, and those of every third entry.
  int report_delay_ms = 100;
  int late_report_delay_ms = 1000;
};

/// Entries that move sessions and report evidence, and the leader that judges it, in simulated
/// time.
class SimulatedRollout {
 public:
  SimulatedRollout(const Scenario& scenario, std::uint64_t seed)
      : scenario(scenario), random(seed), entries(static_cast<std::size_t>(scenario.entries)) {
    this->committed = {kNew.version, milliseconds(scenario.duration_ms), 0,
                       config::ServiceRolloutState::kRunning, ""};
    for (std::size_t place = 0; place < kSessions; ++place) {
      this->session_draws.push_back(this->random.Uniform());
    }
    double weight = 0;
    for (std::size_t place = 0; place < this->entries.size(); ++place) {
      // The first entries get many times as many requests as the last ones.
      weight += 1 / std::sqrt(static_cast<double>(place + 1));
      this->weights.push_back(weight);
      this->entries[place].rollout = this->committed;
      this->entries[place].next_report = static_cast<int>(this->random.Below(kReportMs));
    }
  }

  void Run() {
    for (; this->now < this->scenario.duration_ms; ++this->now) {
      if (this->random.Uniform() * 1000 < this->scenario.requests_per_s) {
        this->Arrive();
      }
      this->Answer();
      for (std::size_t place = 0; place < this->entries.size(); ++place) {
        if (this->now >= this->entries[place].next_report) {
          this->Report(place);
        }
      }
      if (this->now % 250 == 0) {
        this->Judge();
      }
    }
  }

  std::uint64_t Requests() const { return this->requests; }
  std::uint64_t Exposed() const { return this->exposed; }
  bool KeepsBound() const {
    return static_cast<double>(this->exposed) <=
           kExposeShare * static_cast<double>(this->requests) + kExposeSlack;
  }
  config::ServiceRolloutState State() const { return this->committed.state; }

 private:
  static constexpr int kReportMs = 500;

  struct Entry {
    routing::EvidenceTable evidence;
    config::ServiceRollout rollout;
    int next_report = 0;
  };
  struct Request {
    std::size_t entry = 0;
    ModelVersion version;
    routing::RequestGroup group;
    int started = 0;
    routing::EvidenceTable::WaitId wait = 0;
  };
  struct SentReport {
    int arrives = 0;
    net::RolloutReport report;
  };

  static TimePoint At(int in_milliseconds) {
    return TimePoint() + std::chrono::hours(1) + milliseconds(in_milliseconds);
  }

  /// A factor with median 1 that is seldom above 2.
  double Spread() {
    double sum = 0;
    for (int draw = 0; draw < 6; ++draw) {
      sum += this->random.Uniform() - 0.5;
    }
    return std::exp(0.6 * sum);
  }

  void Arrive() {
    Request request;
    const double at = this->random.Uniform() * this->weights.back();
    request.entry = static_cast<std::size_t>(
        std::upper_bound(this->weights.begin(), this->weights.end(), at) - this->weights.begin());
    Entry& entry = this->entries.at(request.entry);
    // Few sessions make most of the requests.
    const double session = this->random.Uniform() * this->random.Uniform() * kSessions;
    const double draw = this->session_draws.at(static_cast<std::size_t>(session));
    const bool is_moved = draw < routing::TargetShare(entry.rollout, this->plan, this->now);
    request.version = is_moved ? kNew : kOld;
    ++this->requests;
    this->exposed += is_moved ? 1 : 0;
    const std::size_t kind = this->random.Below(2);
    request.group = routing::GroupOf("route", kind == 0 ? 10 : 1000);
    request.started = this->now;
    double wait = this->scenario.first_token_ms.at(kind) * this->Spread();
    if (is_moved && this->random.Uniform() < this->scenario.slow_share) {
      wait *= this->scenario.slow_factor;
    }
    request.wait = entry.evidence.BeginWait(request.version, request.group, At(this->now));
    this->waiting.emplace(this->now + static_cast<int>(wait), request);
  }

  void Answer() {
    while (!this->waiting.empty() && this->waiting.begin()->first <= this->now) {
      const Request request = this->waiting.begin()->second;
      this->waiting.erase(this->waiting.begin());
      const int wait = this->now - request.started;
      this->entries.at(request.entry).evidence.EndWait(request.wait);
      this->entries.at(request.entry)
          .evidence.AddFirstToken(request.version, kDomain, request.group, milliseconds(wait));
      // The answer ends much later than it begins.
      this->ending.emplace(this->now + 2 * wait, request);
    }
    while (!this->ending.empty() && this->ending.begin()->first <= this->now) {
      const Request request = this->ending.begin()->second;
      this->ending.erase(this->ending.begin());
      routing::AttemptResult result;
      result.outcome = routing::AttemptOutcome::kAnswered;
      this->entries.at(request.entry).evidence.Add(request.version, kDomain, result);
    }
  }

  void Report(std::size_t place) {
    Entry& entry = this->entries.at(place);
    entry.next_report = this->now + kReportMs;
    entry.rollout = this->committed;
    const bool is_late = place % 3 == 2;
    SentReport sent;
    sent.arrives = this->now +
                   (is_late ? this->scenario.late_report_delay_ms : this->scenario.report_delay_ms);
    sent.report = {kService, kNew.version, entry.evidence.Read(kNew, At(this->now)),
                   entry.evidence.ReadOtherVersions(kNew, At(this->now))};
    this->sent[place].push_back(std::move(sent));
  }

  /// The evidence of the last report of each entry that has arrived.
  RolloutEvidence Merged() {
    RolloutEvidence merged;
    for (auto& [place, reports] : this->sent) {
      const auto unread = std::find_if(reports.begin(), reports.end(), [&](const SentReport& sent) {
        return sent.arrives > this->now;
      });
      if (unread == reports.begin()) {
        continue;
      }
      reports.erase(reports.begin(), unread - 1);
      merged.candidate.Merge(reports.front().report.candidate);
      merged.baseline.Merge(reports.front().report.baseline);
    }
    return merged;
  }

  void Judge() {
    if (this->committed.state != config::ServiceRolloutState::kRunning) {
      return;
    }
    switch (JudgeServiceRollout(this->committed, this->Merged(), this->plan, this->now).verdict) {
      case RolloutVerdict::kContinue:
        break;
      case RolloutVerdict::kMoveAll:
        this->committed.moved_at = this->now + this->plan.move_notice.count();
        break;
      case RolloutVerdict::kComplete:
        this->committed.state = config::ServiceRolloutState::kCompleted;
        break;
      case RolloutVerdict::kRollBack:
        this->committed.state = config::ServiceRolloutState::kRolledBack;
        break;
    }
  }

  Scenario scenario;
  Random random;
  routing::RolloutPlan plan;
  std::vector<Entry> entries;
  std::vector<double> weights;
  std::vector<double> session_draws;
  config::ServiceRollout committed;
  std::multimap<int, Request> waiting;
  std::multimap<int, Request> ending;
  std::map<std::size_t, std::vector<SentReport>> sent;
  int now = 0;
  std::uint64_t requests = 0;
  std::uint64_t exposed = 0;
};

constexpr std::array kFleets = {3, 30, 100};
constexpr int kSeeds = 10;

TEST_CASE("a slow candidate keeps the bound on exposed requests, summed over all entries") {
  // Failure: a candidate was judged by the answers that had begun, the fast ones, while the slow
  // ones were still awaited, and all sessions moved to it.
  const std::array<std::pair<double, double>, 3> slowness = {{{0.5, 4}, {0.5, 8}, {1, 5}}};
  const std::array<std::array<double, 2>, 3> first_tokens = {
      {{100, 400}, {300, 1500}, {900, 2500}}};
  for (const int entries : kFleets) {
    for (const auto& slow : slowness) {
      const double share = slow.first;
      const double factor = slow.second;
      for (const auto& first_token : first_tokens) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
          CAPTURE(entries);
          CAPTURE(share);
          CAPTURE(factor);
          CAPTURE(first_token[0]);
          CAPTURE(seed);
          SimulatedRollout rollout({.entries = entries,
                                    .first_token_ms = first_token,
                                    .slow_share = share,
                                    .slow_factor = factor},
                                   seed);
          rollout.Run();
          CAPTURE(rollout.Exposed());
          CAPTURE(rollout.Requests());
          CHECK(rollout.KeepsBound());
          CHECK(rollout.State() == config::ServiceRolloutState::kRolledBack);
        }
      }
    }
  }
}

TEST_CASE("a sound candidate is completed by its deadline under the same load") {
  const std::array<std::array<double, 2>, 3> first_tokens = {
      {{100, 400}, {300, 1500}, {900, 2500}}};
  for (const int entries : kFleets) {
    for (const auto& first_token : first_tokens) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(entries);
        CAPTURE(first_token[0]);
        CAPTURE(seed);
        SimulatedRollout rollout({.entries = entries, .first_token_ms = first_token}, seed);
        rollout.Run();
        CHECK(rollout.State() == config::ServiceRolloutState::kCompleted);
      }
    }
  }
}

}  // namespace
}  // namespace masticrill::control
