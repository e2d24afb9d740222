#ifndef MASTICRILL_BENCH_ROUTING_BASELINES_H_
#define MASTICRILL_BENCH_ROUTING_BASELINES_H_

#include <map>
#include <set>
#include <utility>

#include "masticrill/routing/request_state_machine.h"

namespace masticrill::routing {

enum class Pick { kRoundRobin, kLeastInFlight };
enum class Steps { kFixedCascade, kAlwaysStrong };

/// A router of the plain kind, with the interface of RequestStateMachine: no health, no budget, no
/// learning. A failed attempt is tried again on another upstream, at most `kRetries` times.
template <Pick kPick, Steps kSteps, int kRetries>
class BaselineMachine {
 public:
  explicit BaselineMachine(RequestTraits traits) : traits(std::move(traits)) {}

  Actions Start(TransitionContext& context, TimePoint now) {
    this->step = kSteps == Steps::kAlwaysStrong ? 1 : 0;
    return this->Launch(context, now);
  }

  Actions OnEvent(TransitionContext& context, const RequestEvent& event, TimePoint now) {
    if (this->ended) {
      return {};
    }
    const auto again = [&](AttemptNumber attempt) -> Actions {
      if (attempt != this->attempts) {
        return {Wait{}};
      }
      --InFlight()[this->upstream];
      return this->attempts <= static_cast<AttemptNumber>(kRetries) ? this->Launch(context, now)
                                                                    : this->Refused();
    };
    if (const auto* refused = std::get_if<AttemptRefused>(&event)) {
      return again(refused->attempt);
    }
    if (const auto* failed = std::get_if<AttemptFailed>(&event)) {
      return again(failed->attempt);
    }
    if (const auto* broken = std::get_if<StreamBroken>(&event)) {
      return again(broken->attempt);
    }
    if (const auto* finished = std::get_if<AttemptFinished>(&event)) {
      --InFlight()[this->upstream];
      if (this->step == 0) {
        return {RequestRating{finished->attempt, milliseconds(500)}};
      }
      this->ended = true;
      return {Answer{finished->attempt, this->step, false}};
    }
    if (const auto* rated = std::get_if<RatingReceived>(&event)) {
      constexpr double kTarget = 0.7;
      if (rated->rating.score < kTarget) {
        this->step = 1;
        return this->Launch(context, now);
      }
      this->ended = true;
      return {Answer{rated->attempt, this->step, false}};
    }
    return std::holds_alternative<DeadlinePassed>(event) ? this->Refused() : Actions{Wait{}};
  }

  /// Requests in flight by upstream, of all requests; emptied between runs.
  static std::map<UpstreamId, int>& InFlight() {
    static std::map<UpstreamId, int> in_flight;
    return in_flight;
  }

 private:
  Actions Refused() {
    this->ended = true;
    return {Refuse{}};
  }

  Actions Launch(TransitionContext& context, TimePoint now) {
    if (now >= this->traits.deadline) {
      return this->Refused();
    }
    const config::Configuration& configuration = context.directory.Config();
    const ModelId model =
        configuration.cascades.at(std::get<CascadeTarget>(this->traits.target).cascade)
            .steps[this->step];
    const VersionDecision version = SelectVersion(configuration, this->traits, {model, {}});
    const auto& candidates = context.directory.UpstreamsServing(*version.version);
    static std::size_t turn = 0;
    const RoutableUpstream* best = &candidates[turn++ % candidates.size()];
    if (kPick == Pick::kLeastInFlight) {
      for (const RoutableUpstream& entry : candidates) {
        best = InFlight()[entry.id] < InFlight()[best->id] ? &entry : best;
      }
    }
    this->upstream = best->id;
    ++InFlight()[best->id];
    Dispatch dispatch;
    dispatch.attempt = ++this->attempts;
    dispatch.upstream = best->id;
    dispatch.version = version.version;
    dispatch.cascade_step = this->step;
    dispatch.deadline = this->traits.deadline;
    return {dispatch};
  }

  RequestTraits traits;
  bool ended = false;
  std::size_t step = 0;
  AttemptNumber attempts = 0;
  UpstreamId upstream;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_BENCH_ROUTING_BASELINES_H_
