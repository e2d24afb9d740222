#ifndef MASTICRILL_CONTROL_CRASHING_FLEET_H_
#define MASTICRILL_CONTROL_CRASHING_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/entry_report_controller.h"
#include "masticrill/common/random.h"
#include "masticrill/gateway/prompt_guard.h"

namespace masticrill::control {

inline const PromptPartId kBad("bad");
/// The bounds of the users' rules, in milliseconds.
constexpr int kContactMs = 3000;
constexpr int kMaxLateArrivals = 3;
/// Crashes under one part, and under one whole request, from which late arrivals count.
constexpr std::size_t kCountedCrashesOfPart = 5;
constexpr std::size_t kCountedCrashesOfRequest = 3;

constexpr int kCutOffAtMs = 3500;
constexpr int kLeaseMs = 4000;

struct Scenario {
  int entries = 8;
  int upstreams = 9;
  /// When bad requests begin to come.
  int bad_from_ms = 3000;
  /// Bad requests, and sound ones, a second over all entries.
  double bad_per_s = 5;
  double sound_per_s = 60;
  /// Bad are requests with the bad part or, if this is not zero, so many requests that come again
  /// and again.
  int bad_requests = 0;
  /// The share of requests that reach the first entry; the others share the rest.
  double share_of_first = 0;
  /// The share of lease requests that are lost.
  double lost_reports = 0;
  /// An entry that is restarted, and one that hears no control host, from some time on.
  int restarted = -1;
  int cut_off = -1;
  /// The share of first answers that their entry discards at once for a stronger model's.
  double discarded = 0.4;
  /// Parts of sound prompts: few first ones, which requests with the bad part share, and many
  /// others.
  int first_parts = 4;
  int other_parts = 250;
  /// A plain service: no prompts, and an answer comes whole or not at all.
  bool is_plain = false;
  int max_attempts = 3;
  /// How often a caller whose request failed sends it again at once.
  int caller_retries = 0;
  /// The share of sound requests that are one and the same.
  double popular_share = 0;
  /// How often an upstream ends by itself, in milliseconds; 0 for never.
  int own_end_every_ms = 0;
  /// When every third upstream ends at once; -1 for never.
  int domain_lost_at_ms = -1;
  /// When half of all upstreams end, and half a second later the others; -1 for never.
  int all_lost_at_ms = -1;
  /// How long answers to prompts with a first part take to begin, if not 0: half of the sound
  /// requests then have short prompts without one, and the others share one.
  int long_prompt_ms = 0;
};

/// Entries with their guards, upstreams that end, and one control host, in simulated time. Requests
/// arrive at random; bad ones end their upstream within moments and are tried at others.
class SimulatedFleet {
 public:
  SimulatedFleet(const Scenario& scenario, std::uint64_t seed)
      : scenario(scenario), random(seed), upstreams(static_cast<std::size_t>(scenario.upstreams)) {
    for (int entry = 0; entry < scenario.entries; ++entry) {
      this->entries.push_back({std::make_unique<gateway::PromptGuard>()});
      this->entries.back().next_renewal = static_cast<int>(this->random.Below(500));
    }
  }

  void Run(int until_ms) {
    for (; this->now < until_ms; ++this->now) {
      this->Arrive();
      this->EndUpstreams();
      this->EndAnswers();
      for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
        if (this->now >= this->entries[entry].next_renewal) {
          this->Renew(entry);
        }
      }
      if (this->now % 250 == 0) {
        this->Control();
      }
      if (this->now == 5000 && this->scenario.restarted >= 0) {
        auto& entry = this->entries[static_cast<std::size_t>(this->scenario.restarted)];
        entry.guard = std::make_unique<gateway::PromptGuard>();
        ++entry.starts;
      }
    }
  }

  /// Arrivals of bad requests at upstreams that were sent too late, from entries that reach the
  /// control hosts: the most of any part or request.
  int LateArrivals() const {
    int most = 0;
    for (const auto& [name, history] : this->bad) {
      const std::size_t counted =
          name == kBad.Value() ? kCountedCrashesOfPart : kCountedCrashesOfRequest;
      if (history.crashes.size() < counted) {
        continue;
      }
      const int bound = history.crashes[counted - 1] + kContactMs;
      most = std::max(
          most, static_cast<int>(std::count_if(history.arrivals.begin(), history.arrivals.end(),
                                               [&](int at) { return at > bound; })));
    }
    return most;
  }
  /// The fewest upstreams that any bad part or request has ended.
  std::size_t Crashes() const {
    std::size_t fewest = this->bad.empty() ? 0 : SIZE_MAX;
    for (const auto& [name, history] : this->bad) {
      fewest = std::min(fewest, history.crashes.size());
    }
    return fewest;
  }
  /// What is known to end upstreams, other than whole requests that do.
  std::string Blocked() const {
    std::string text;
    for (const auto& [part, at] : this->blocked) {
      if (!this->bad_wholes.contains(part) && !this->uncertain.contains(part)) {
        text += (text.empty() ? "" : " ") + part.Value();
      }
    }
    return text;
  }
  /// Sound requests that are held back for a short time, since another cause is possible.
  std::string HeldBack() const {
    std::string text;
    for (const PromptPartId& part : this->uncertain) {
      if (!this->bad_wholes.contains(part)) {
        text += (text.empty() ? "" : " ") + part.Value();
      }
    }
    return text;
  }
  /// Sound requests that a block kept from the upstreams.
  int Refused() const { return this->refused; }
  /// How many of the requests that come again and again are blocked.
  int BlockedRequests() const {
    return static_cast<int>(
        std::count_if(this->blocked.begin(), this->blocked.end(),
                      [&](const auto& entry) { return this->bad_wholes.contains(entry.first); }));
  }

 private:
  struct Entry {
    std::unique_ptr<gateway::PromptGuard> guard;
    int next_renewal = 0;
    int starts = 0;
  };
  struct Upstream {
    int starts = 0;
    int back_at = 0;
    /// When the crash that is under way happens; -1 for none.
    int crash_at = -1;
    /// The bad parts and requests under which it happens.
    std::set<std::string> culprits;
  };
  struct History {
    std::vector<int> crashes;
    std::vector<int> arrivals;
  };
  struct Request {
    /// The same for a request that comes again.
    std::string name;
    gateway::RequestParts parts;
    /// The bad part or request; empty for a sound one.
    std::string culprit;
    int sent = 1;
  };
  struct Running {
    std::size_t entry = 0;
    std::size_t upstream = 0;
    int start = 0;
    int begun_at = 0;
    int ends_at = 0;
    Request request;
    int attempts = 1;
    bool survived = false;
  };

  static TimePoint At(int in_milliseconds) {
    return TimePoint() + std::chrono::hours(1) + milliseconds(in_milliseconds);
  }
  bool IsCutOff(std::size_t entry) const {
    return static_cast<int>(entry) == this->scenario.cut_off && this->now >= kCutOffAtMs;
  }
  std::size_t DrawEntry() {
    if (this->random.Uniform() < this->scenario.share_of_first) {
      return 0;
    }
    return this->random.Below(this->entries.size());
  }
  PromptPartId Draw(const std::string& name, int count) {
    return PromptPartId(name + std::to_string(this->random.Below(static_cast<unsigned>(count))));
  }
  /// The whole request, and two parts of its prompt.
  gateway::RequestParts MakeParts(const std::string& name, bool has_bad_part) {
    gateway::RequestParts parts{PromptPartId("request." + name), {}};
    if (this->scenario.long_prompt_ms > 0) {
      const bool is_short = !has_bad_part && this->random.Uniform() < 0.5;
      parts.shared.push_back(is_short ? this->Draw("short", 8) : PromptPartId("first0"));
      if (!is_short) {
        parts.shared.push_back(has_bad_part ? kBad
                                            : this->Draw("other", this->scenario.other_parts));
      }
    } else if (!this->scenario.is_plain) {
      parts.shared.push_back(this->Draw("first", this->scenario.first_parts));
      parts.shared.push_back(has_bad_part ? kBad : this->Draw("other", this->scenario.other_parts));
    }
    return parts;
  }

  void Arrive() {
    constexpr double kMsPerS = 1000;
    if (this->random.Uniform() < this->scenario.sound_per_s / kMsPerS) {
      std::string name = "s" + std::to_string(++this->requests);
      if (this->scenario.popular_share > 0 &&
          this->random.Uniform() < this->scenario.popular_share) {
        name = "popular";
      }
      const gateway::RequestParts parts = this->MakeParts(name, false);
      this->Start(this->DrawEntry(), {name, parts, "", 1}, 1);
    }
    if (this->now >= this->scenario.bad_from_ms &&
        this->random.Uniform() < this->scenario.bad_per_s / kMsPerS) {
      this->SendBad();
    }
  }

  void SendBad() {
    if (this->scenario.bad_requests == 0) {
      const std::string name = "b" + std::to_string(++this->requests);
      this->bad_wholes.emplace("request." + name);
      const gateway::RequestParts parts = this->MakeParts(name, true);
      this->Start(this->DrawEntry(), {name, parts, kBad.Value(), 1}, 1);
      return;
    }
    const std::string name =
        "d" +
        std::to_string(this->random.Below(static_cast<unsigned>(this->scenario.bad_requests)));
    gateway::RequestParts& parts = this->parts_of_repeated[name];
    if (parts.whole.Empty()) {
      parts = this->MakeParts(name, false);
      this->bad_wholes.emplace("request." + name);
    }
    this->Start(this->DrawEntry(), {name, parts, name, 1}, 1);
  }

  void Start(std::size_t entry, const Request& request, int attempt) {
    // Without a lease, no keyed request is served.
    const bool has_lease = !this->IsCutOff(entry) || this->now < kCutOffAtMs + kLeaseMs;
    if (!has_lease) {
      return;
    }
    if (this->entries[entry].guard->FindBlocked(request.parts, At(this->now))) {
      this->refused += request.culprit.empty() ? 1 : 0;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
      if (this->now >= this->upstreams[number].back_at) {
        up.push_back(number);
      }
    }
    if (up.empty()) {
      return;
    }
    const std::size_t chosen = up[this->random.Below(up.size())];
    if (!request.culprit.empty() && !this->IsCutOff(entry)) {
      this->bad[request.culprit].arrivals.push_back(this->now);
    }
    const bool is_long = request.parts.shared.size() > 1 && this->scenario.long_prompt_ms > 0;
    const int begun_at = this->now + 20 + static_cast<int>(this->random.Below(100)) +
                         (is_long ? this->scenario.long_prompt_ms : 0);
    const int lasts_ms =
        this->scenario.is_plain ? 0 : 200 + static_cast<int>(this->random.Below(2000));
    this->running.push_back({entry, chosen, this->upstreams[chosen].starts, begun_at,
                             begun_at + lasts_ms, request, attempt, false});
  }

  void Crash(Upstream& upstream) {
    ++upstream.starts;
    upstream.crash_at = -1;
    upstream.back_at = this->now + 3000 + static_cast<int>(this->random.Below(1000));
    for (const std::string& culprit : upstream.culprits) {
      this->bad[culprit].crashes.push_back(this->now);
    }
    upstream.culprits.clear();
  }

  void EndUpstreams() {
    for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
      Upstream& upstream = this->upstreams[number];
      const bool ends_with_domain =
          this->now == this->scenario.domain_lost_at_ms && number % 3 == 0;
      const bool ends_with_all =
          this->scenario.all_lost_at_ms >= 0 &&
          this->now == this->scenario.all_lost_at_ms + (number % 2 == 0 ? 0 : 500);
      if (upstream.crash_at == this->now ||
          ((ends_with_domain || ends_with_all) && this->now >= upstream.back_at)) {
        this->Crash(upstream);
      }
    }
    if (const int every = this->scenario.own_end_every_ms; every > 0 && this->now % every == 0) {
      Upstream& upstream = this->upstreams[this->random.Below(this->upstreams.size())];
      if (this->now >= upstream.back_at) {
        this->Crash(upstream);
      }
    }
  }

  /// A bad request ends its upstream shortly after it begins to run, before a plain service
  /// answers.
  void Run(const Running& run) {
    Upstream& upstream = this->upstreams[run.upstream];
    if (run.request.culprit.empty()) {
      return;
    }
    upstream.culprits.insert(run.request.culprit);
    if (upstream.crash_at < 0) {
      constexpr int kCrashDelay = 55;
      upstream.crash_at = this->now + kCrashDelay;
    }
  }

  void EndAnswers() {
    std::vector<Running> lost;
    std::vector<Running> discarded;
    std::erase_if(this->running, [&](Running& run) {
      gateway::PromptGuard& guard = *this->entries[run.entry].guard;
      const Upstream& upstream = this->upstreams[run.upstream];
      if (run.start != upstream.starts) {
        lost.push_back(run);
        return true;
      }
      if (this->now == run.begun_at) {
        this->Run(run);
        if (this->scenario.is_plain && !run.request.culprit.empty()) {
          // It would answer after the end of its upstream.
          run.begun_at = INT32_MAX;
          run.ends_at = INT32_MAX;
          return false;
        }
        if (run.attempts == 1 && !this->scenario.is_plain &&
            this->random.Uniform() < this->scenario.discarded &&
            guard.MayRetry(run.request.parts)) {
          discarded.push_back(run);
          return true;
        }
      }
      if (!run.survived && (this->now >= run.ends_at || milliseconds(this->now - run.begun_at) >=
                                                            this->settings.survival_time)) {
        run.survived = true;
        guard.OnSurvived(run.request.parts, At(run.begun_at), At(this->now));
      }
      return this->now >= run.ends_at;
    });
    for (const Running& run : discarded) {
      this->entries[run.entry].guard->OnDiscarded(IdOf(run), run.request.parts, At(this->now));
      this->Start(run.entry, run.request, run.attempts + 1);
    }
    for (const Running& run : lost) {
      this->OnLost(run);
    }
  }

  static gateway::ListedUpstream IdOf(const Running& run) {
    gateway::ListedUpstream upstream;
    upstream.id = UpstreamId(std::to_string(run.upstream) + "-" + std::to_string(run.start));
    return upstream;
  }

  void OnLost(const Running& run) {
    const auto age = this->now >= run.begun_at
                         ? std::optional<Duration>(milliseconds(this->now - run.begun_at))
                         : std::nullopt;
    Entry& entry = this->entries[run.entry];
    entry.guard->OnLost(IdOf(run), run.request.parts, age, At(this->now));
    entry.next_renewal = std::min(entry.next_renewal, this->now + 100);
    if (run.attempts < this->scenario.max_attempts && entry.guard->MayRetry(run.request.parts)) {
      this->Start(run.entry, run.request, run.attempts + 1);
    } else if (run.request.sent <= this->scenario.caller_retries) {
      Request again = run.request;
      ++again.sent;
      this->Start(this->DrawEntry(), again, 1);
    }
  }

  void Renew(std::size_t index) {
    Entry& entry = this->entries[index];
    entry.next_renewal = this->now + 500;
    if (this->IsCutOff(index) || this->random.Uniform() < this->scenario.lost_reports) {
      return;
    }
    net::EntryReport report;
    report.node = NodeId("e" + std::to_string(index));
    report.incarnation = IncarnationId(std::to_string(entry.starts));
    report.prompts = entry.guard->Report(At(this->now));
    this->nodes.RecordReport(report, At(this->now));
    std::set<PromptPartId> parts;
    for (const auto& [part, at] : this->blocked) {
      parts.insert(part);
    }
    entry.guard->OnLease(parts, this->suspects, At(this->now));
  }

  void Control() {
    const routing::PromptEvidence evidence =
        MergePromptEvidence(this->nodes.EntryReports(At(this->now)), this->settings);
    routing::BlockedParts known;
    for (const auto& [part, at] : this->blocked) {
      known.emplace(part, this->now - at);
    }
    this->suspects = routing::FindSuspects(evidence, known, this->settings);
    for (const routing::PartVerdict& verdict :
         routing::FindVerdicts(evidence, known, this->settings)) {
      this->blocked.emplace(verdict.part, this->now);
      if (!verdict.is_certain) {
        this->uncertain.insert(verdict.part);
      }
    }
  }

  Scenario scenario;
  Random random;
  int now = 0;
  int requests = 0;
  std::vector<Upstream> upstreams;
  std::vector<Entry> entries;
  std::vector<Running> running;
  /// By bad part or request.
  std::map<std::string, History> bad;
  std::set<PromptPartId> bad_wholes;
  std::map<std::string, gateway::RequestParts> parts_of_repeated;
  NodeRegistry nodes{NodeId("c")};
  std::map<PromptPartId, int> blocked;
  /// Those that are held back for a short time, since another cause is possible.
  std::set<PromptPartId> uncertain;
  int refused = 0;
  std::vector<PromptPartId> suspects;
  routing::PromptSettings settings;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CRASHING_FLEET_H_
