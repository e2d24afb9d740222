#ifndef MASTICRILL_TEST_FAKES_ROUTING_UPSTREAMS_H_
#define MASTICRILL_TEST_FAKES_ROUTING_UPSTREAMS_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <vector>

#include "fakes/routing_fleet.h"
#include "fakes/routing_tables.h"
#include "masticrill/routing/request_state_machine.h"
#include "masticrill/routing/rollout_evaluation.h"

namespace masticrill::routing::fakes {

/// One entry's decisions against a table of upstreams under a virtual clock.
template <typename Machine>
class Workbench {
 public:
  Workbench(config::Configuration start, std::uint64_t seed)
      : random(seed),
        decisions(seed + 1),
        configuration(std::move(start)),
        directory(DirectoryOf(this->configuration)) {
    for (const auto& [id, upstream] : this->configuration.upstreams) {
      this->upstreams[id].concurrency = upstream.max_concurrency;
      this->Report(id);
    }
  }

  void At(TimePoint time, std::function<void()> call) {
    this->calls.push({time, this->next_call++, std::move(call)});
  }

  /// Sends Poisson arrivals for the given time and runs until all requests have ended.
  void Run(double per_second, Duration length, const std::function<bool()>& done = {}) {
    const TimePoint end = TimePoint{} + length;
    this->stop_reports_at = end + seconds(60);
    this->Arrive(per_second, end);
    while (!this->calls.empty()) {
      const Call call = this->calls.top();
      this->calls.pop();
      this->now = call.time;
      call.call();
      if (done && done()) {
        return;
      }
    }
  }

  void ChangeConfiguration(const std::function<void(config::Configuration&)>& change) {
    change(this->configuration);
    ++this->configuration.number;
    this->directory = DirectoryOf(this->configuration);
  }

  void SetDown(const UpstreamId& id, bool down) {
    FakeUpstream& upstream = this->upstreams.at(id);
    upstream.down = down;
    ++upstream.incarnation;
    upstream.waiting.clear();
    upstream.running = 0;
    for (const auto& broken : std::exchange(this->breakers[id], {})) {
      if (down) {
        broken();
      }
    }
  }

  TimePoint now;
  RequestSettings settings;
  EvidenceTable evidence;
  std::map<UpstreamId, FakeUpstream> upstreams;
  std::map<ModelVersion, VersionTable> versions;
  std::map<RequestClass, ClassResult> results;
  double cost = 0;
  int requests = 0;
  int attempts = 0;
  std::map<ModelVersion, int> handed_over;
  /// Answers by the second in which their request arrived.
  std::map<int, int> answered_in;
  std::map<int, int> received_in;
  std::map<RefusalKind, int> refusals;

 private:
  struct Call {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Call& other) const {
      return std::pair(other.time, other.order) < std::pair(this->time, this->order);
    }
  };
  struct Request {
    RequestTraits traits;
    Machine machine;
    const ClassTable* table;
    std::map<AttemptNumber, ModelVersion> served;
    std::map<AttemptNumber, double> quality;
    std::set<AttemptNumber> cancelled;
  };
  using RequestPtr = std::shared_ptr<Request>;
  /// How far an attempt came on its upstream.
  struct Progress {
    bool over = false;
    TimePoint first;
    double token_seconds = 0;
    std::uint32_t tokens = 0;
  };

  static Duration Nanos(double value) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
  }

  void Report(const UpstreamId& id) {
    constexpr Duration kInterval = milliseconds(200);
    constexpr Duration kLag = milliseconds(100);
    const FakeUpstream& upstream = this->upstreams[id];
    if (!upstream.down) {
      const LoadReport report{id,
                              upstream.incarnation,
                              ++this->sequence,
                              0,
                              static_cast<std::uint32_t>(upstream.running),
                              static_cast<std::uint32_t>(upstream.waiting.size()),
                              static_cast<std::uint32_t>(upstream.concurrency),
                              false};
      this->At(this->now + kLag, [=, this] { this->table.OnLoadReport(report, this->now); });
    }
    this->At(this->now + kInterval, [=, this] {
      if (this->now < this->stop_reports_at) {
        this->Report(id);
      }
    });
  }

  void Arrive(double per_second, TimePoint end) {
    const double gap = -std::log(1 - this->random.Uniform()) / per_second;
    this->At(this->now + Nanos(gap), [=, this] {
      if (this->now >= end) {
        return;
      }
      this->Begin();
      this->Arrive(per_second, end);
    });
  }

  void Begin() {
    double pick = this->random.Uniform();
    const ClassTable* table = &kClasses.back();
    for (const ClassTable& each : kClasses) {
      if (pick < each.share) {
        table = &each;
        break;
      }
      pick -= each.share;
    }
    RequestTraits traits = TraitsFor(this->target, this->requests);
    traits.request_class = table->request_class;
    traits.expected_tokens = table->tokens;
    traits.received = this->now;
    traits.deadline = this->now + table->deadline;
    auto request = std::make_shared<Request>(Request{traits, Machine(traits), table, {}, {}, {}});
    ++this->requests;
    ++this->results[table->request_class].received;
    ++this->received_in[this->Second(this->now)];
    this->Do(request, [&](TransitionContext& context) {
      return request->machine.Start(context, this->now);
    });
    this->At(traits.deadline, [=, this] { this->Tell(request, DeadlinePassed{}); });
  }

  static int Second(TimePoint time) {
    return static_cast<int>(std::chrono::duration_cast<seconds>(time.time_since_epoch()).count());
  }

  void Tell(const RequestPtr& request, const RequestEvent& event) {
    this->Do(request, [&](TransitionContext& context) {
      return request->machine.OnEvent(context, event, this->now);
    });
  }

  template <typename Step>
  void Do(const RequestPtr& request, Step&& step) {
    TransitionContext context{this->directory, this->table,    this->budget,    this->cascades,
                              this->decisions, this->settings, &this->evidence, true};
    for (const Action& action : step(context)) {
      std::visit([&](const auto& kind) { this->Act(request, kind); }, action);
    }
  }

  void Act(const RequestPtr& request, const Dispatch& dispatch) {
    ++this->attempts;
    FakeUpstream& upstream = this->upstreams.at(dispatch.upstream);
    constexpr Duration kOneWay = milliseconds(1);
    if (dispatch.hedge_after) {
      this->At(this->now + *dispatch.hedge_after,
               [=, this] { this->Tell(request, HedgeDue{dispatch.attempt}); });
    }
    if (upstream.down) {
      this->At(this->now + kOneWay, [=, this] {
        this->Tell(request, AttemptRefused{dispatch.attempt, AttemptRefusal::kUnreachable, {}});
      });
      return;
    }
    if (upstream.running >= upstream.concurrency && upstream.waiting.size() >= upstream.queue) {
      this->At(this->now + kOneWay, [=, this] {
        this->Tell(request,
                   AttemptRefused{dispatch.attempt, AttemptRefusal::kFull, milliseconds(200)});
      });
      return;
    }
    this->Tell(request, AttemptStarted{dispatch.attempt});
    ++this->handed_over[*dispatch.version];
    request->served[dispatch.attempt] = *dispatch.version;
    auto progress = std::make_shared<Progress>();
    this->breakers[dispatch.upstream].push_back(
        [=, this] { this->Break(request, dispatch, *progress); });
    const auto run = [=, this] { this->RunAttempt(request, dispatch, progress); };
    if (upstream.running < upstream.concurrency) {
      run();
    } else {
      upstream.waiting.push_back(run);
    }
  }

  void RunAttempt(const RequestPtr& request, const Dispatch& dispatch,
                  const std::shared_ptr<Progress>& progress) {
    FakeUpstream& upstream = this->upstreams.at(dispatch.upstream);
    if (request->cancelled.contains(dispatch.attempt)) {
      this->StartNext(dispatch.upstream);
      return;
    }
    ++upstream.running;
    const VersionTable& version = this->versions[*dispatch.version];
    const double batch =
        static_cast<double>(upstream.running) / static_cast<double>(upstream.concurrency);
    const double noise = 0.7 + 0.6 * this->random.Uniform();
    const double pace = upstream.slowness * (1 + 0.5 * batch) * noise;
    const std::uint32_t tokens =
        request->table->tokens - std::min(request->table->tokens, dispatch.resume_offset);
    const TimePoint first = this->now + Nanos(version.first_token_seconds * pace);
    const TimePoint last = first + Nanos(version.token_seconds * pace * tokens);
    const std::uint64_t incarnation = upstream.incarnation;
    const bool fails = this->random.Uniform() < version.error_rate;
    const auto alive = [=, this] {
      return this->upstreams.at(dispatch.upstream).incarnation == incarnation;
    };
    this->At(first, [=, this] {
      if (alive() && !fails) {
        this->Tell(request, FirstTokenReceived{dispatch.attempt});
      }
    });
    this->At(fails ? first : last, [=, this] {
      if (!alive()) {
        return;
      }
      progress->over = true;
      --this->upstreams.at(dispatch.upstream).running;
      this->StartNext(dispatch.upstream);
      this->cost += fails ? 0 : this->Price(*dispatch.version) * tokens;
      request->quality[dispatch.attempt] = this->QualityOf(*request, *dispatch.version);
      this->Tell(request, fails ? RequestEvent(AttemptFailed{dispatch.attempt,
                                                             AttemptOutcome::kFailed, true})
                                : RequestEvent(AttemptFinished{dispatch.attempt, tokens}));
    });
    progress->first = first;
    progress->token_seconds = version.token_seconds * pace;
    progress->tokens = tokens;
  }

  /// What the caller of a broken attempt has of its answer.
  void Break(const RequestPtr& request, const Dispatch& dispatch, const Progress& progress) {
    if (progress.over) {
      return;
    }
    if (progress.first > this->now || progress.token_seconds == 0) {
      this->Tell(request, AttemptFailed{dispatch.attempt, AttemptOutcome::kBroken, false});
      return;
    }
    const double streamed =
        std::chrono::duration<double>(this->now - progress.first).count() / progress.token_seconds;
    const auto given = static_cast<std::uint32_t>(std::clamp<double>(streamed, 0, progress.tokens));
    this->Tell(request, StreamBroken{dispatch.attempt, dispatch.resume_offset + given});
  }

  void StartNext(const UpstreamId& id) {
    FakeUpstream& upstream = this->upstreams.at(id);
    if (!upstream.waiting.empty() && upstream.running < upstream.concurrency) {
      const auto run = upstream.waiting.front();
      upstream.waiting.pop_front();
      run();
    }
  }

  double Price(const ModelVersion& version) const {
    const auto& model = this->configuration.models.at(version.model);
    return static_cast<double>(model.versions.at(version.version).cost_per_1k_tokens);
  }

  double QualityOf(const Request& request, const ModelVersion& version) {
    const double pass =
        version.model == kCheap ? request.table->cheap_pass : request.table->strong_pass;
    const bool good = this->random.Uniform() < pass;
    return good ? 0.7 + 0.3 * this->random.Uniform() : 0.3 + 0.4 * this->random.Uniform();
  }

  void Act(const RequestPtr& request, const RequestRating& rate) {
    constexpr Duration kRatingTime = milliseconds(50);
    const double noise = 0.04 * (this->random.Uniform() - 0.5);
    const double score = std::clamp(request->quality.at(rate.attempt) + noise, 0.0, 1.0);
    this->At(this->now + kRatingTime, [=, this] {
      this->Tell(request, RatingReceived{rate.attempt, {RatingOutcome::kScore, score}});
    });
  }
  void Act(const RequestPtr& request, const Answer& answer) {
    ClassResult& result = this->results[request->table->request_class];
    ++result.answered;
    result.good += request->quality[answer.attempt] >= 0.7 ? 1 : 0;
    result.seconds.push_back(
        std::chrono::duration<double>(this->now - request->traits.received).count());
    ++this->answered_in[this->Second(request->traits.received)];
  }
  void Act(const RequestPtr& request, const Refuse& refuse) {
    ++this->refusals[refuse.refusal.kind];
    ++this->results[request->table->request_class].refused;
  }
  void Act(const RequestPtr& request, const CancelAttempts& cancel) {
    request->cancelled.insert(cancel.attempts.begin(), cancel.attempts.end());
  }
  void Act(const RequestPtr& /*request*/, const FenceAttempt& /*fence*/) {}
  void Act(const RequestPtr& /*request*/, const Wait& /*wait*/) {}

  Random random;
  Random decisions;
  config::Configuration configuration;
  UpstreamDirectory directory;
  UpstreamTable table;
  RetryBudget budget;
  CascadePolicy cascades;
  std::priority_queue<Call> calls;
  std::uint64_t next_call = 0;
  std::uint64_t sequence = 0;
  TimePoint stop_reports_at;
  std::map<UpstreamId, std::vector<std::function<void()>>> breakers;

 public:
  RequestTarget target = CascadeTarget{kCascade};
};

}  // namespace masticrill::routing::fakes

#endif  // MASTICRILL_TEST_FAKES_ROUTING_UPSTREAMS_H_
