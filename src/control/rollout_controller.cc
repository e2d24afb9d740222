#include "control/rollout_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "control/node_registry.h"
#include "masticrill/common/log.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kCheckInterval = milliseconds(250);
/// Trials of a candidate that are needed before its roll-out may be completed.
constexpr std::uint64_t kMinTrials = 10;
/// The report of an entry that has not requested a lease for longer than this is out of date.
constexpr std::int64_t kMaxReportAgeMs = 10'000;
constexpr const char* kAuthor = "rollout-keeper";

std::uint64_t TrialsOf(const routing::VersionEvidence& evidence) {
  const auto kind = static_cast<std::size_t>(routing::EvidenceKind::kErrors);
  return evidence.Total().counts.at(kind).trials;
}

std::string Describe(const routing::RolloutDecision& decision) {
  return std::string(routing::ToString(decision.reason)) + ": candidate " +
         std::to_string(decision.candidate.bad) + "/" + std::to_string(decision.candidate.trials) +
         ", baseline " + std::to_string(decision.baseline.bad) + "/" +
         std::to_string(decision.baseline.trials);
}

}  // namespace

RolloutEvidence MergeEvidence(const std::vector<net::NodeReport>& reports, const ServiceId& service,
                              const VersionId& target) {
  RolloutEvidence merged;
  for (const net::NodeReport& node : reports) {
    for (const net::RolloutReport& report : node.rollouts) {
      if (node.age_ms <= kMaxReportAgeMs && report.service == service && report.target == target) {
        merged.candidate.Merge(report.candidate);
        merged.baseline.Merge(report.baseline);
      }
    }
  }
  return merged;
}

RolloutJudgement JudgeServiceRollout(const config::ServiceRollout& rollout,
                                     const RolloutEvidence& evidence,
                                     const routing::RolloutPlan& plan, WallTimeMs now) {
  const routing::RolloutDecision decision =
      routing::EvaluateRollout(evidence.candidate, evidence.baseline, {});
  if (decision.stop) {
    return {RolloutVerdict::kRollBack, Describe(decision)};
  }
  if (routing::RolloutProgress(rollout, now) >= plan.complete_at &&
      TrialsOf(evidence.candidate) >= kMinTrials) {
    return {RolloutVerdict::kComplete,
            "good in " + std::to_string(TrialsOf(evidence.candidate)) + " trials"};
  }
  return {};
}

RolloutController::RolloutController(ReplicaRunner& replica, const state::ReplicatedState& state,
                                     FleetView& fleet, OperatorAccess& access)
    : replica(replica), state(state), fleet(fleet), access(access), thread([this] {
        return this->RunOnce();
      }) {}

Duration RolloutController::RunOnce() {
  if (this->replica.Status().replica.role != consensus::Role::kLeader) {
    return kCheckInterval;
  }
  const config::ConfigurationPtr current = this->state.Configuration();
  const bool any_running = std::any_of(
      current->service_rollouts.begin(), current->service_rollouts.end(), [](const auto& entry) {
        return entry.second.state == config::ServiceRolloutState::kRunning;
      });
  if (!any_running) {
    return kCheckInterval;
  }
  const std::vector<net::NodeReport> reports = LatestIncarnations(this->fleet.CollectReports());
  for (const auto& [service, rollout] : current->service_rollouts) {
    if (rollout.state != config::ServiceRolloutState::kRunning) {
      continue;
    }
    const RolloutJudgement judgement =
        JudgeServiceRollout(rollout, MergeEvidence(reports, service, rollout.target), this->plan,
                            this->clock.WallNow());
    if (judgement.verdict != RolloutVerdict::kContinue) {
      this->EndRollout(service, rollout, judgement);
    }
  }
  return kCheckInterval;
}

/// Commits the end of a roll-out, unless the roll-out has changed in the meantime.
void RolloutController::EndRollout(const ServiceId& service, const config::ServiceRollout& rollout,
                                   const RolloutJudgement& judgement) {
  const char* const next =
      judgement.verdict == RolloutVerdict::kComplete ? "completed" : "rolled_back";
  kLog.Info("Ending a roll-out of a service.", {{"service", service},
                                                {"target", rollout.target},
                                                {"state", next},
                                                {"evidence", judgement.reason}});
  const ChangeOutcome outcome = this->access.Change(
      [&](const config::Configuration& configuration) {
        const auto place = configuration.service_rollouts.find(service);
        if (place == configuration.service_rollouts.end() || place->second != rollout) {
          return PlannedChange{};
        }
        const nlohmann::json patch = {
            {"service_rollouts",
             {{service.Value(), {{"state", next}, {"reason", judgement.reason}}}}}};
        return PlannedChange{patch.dump(), std::nullopt};
      },
      kAuthor, "end of the roll-out of " + service.Value());
  if (!outcome.acknowledged) {
    kLog.Warning("The end of a roll-out was not committed; retrying at the next check.",
                 {{"service", service}, {"cause", outcome.error.message}});
  }
}

}  // namespace masticrill::control
