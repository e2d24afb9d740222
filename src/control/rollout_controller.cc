#include "control/rollout_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "control/node_registry.h"
#include "masticrill/common/log.h"
#include "masticrill/routing/rollout_soundness.h"

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

std::string Describe(const RolloutEvidence& evidence) {
  const routing::LateCounts late = routing::CountLate(evidence.candidate, evidence.baseline, {});
  return std::to_string(TrialsOf(evidence.candidate)) + " trials, late " +
         std::to_string(late.candidate.bad) + "/" + std::to_string(late.candidate.trials) +
         ", baseline " + std::to_string(late.baseline.bad) + "/" +
         std::to_string(late.baseline.trials);
}

/// Judges a candidate that has only its trial share and for whose stop the evidence does not
/// suffice.
RolloutJudgement JudgeTrial(const routing::RolloutDecision& decision,
                            const RolloutEvidence& evidence, const config::ServiceRollout& rollout,
                            double progress, const routing::RolloutPlan& plan) {
  const routing::Soundness soundness =
      routing::JudgeSoundness(evidence.candidate, evidence.baseline, {});
  if (decision.trend > 0 || soundness == routing::Soundness::kDoubtful) {
    return progress < plan.complete_at
               ? RolloutJudgement{}
               : RolloutJudgement{RolloutVerdict::kRollBack,
                                  "undecided at the end of the trial: " + Describe(evidence)};
  }
  const bool is_shown = soundness == routing::Soundness::kShown;
  if (progress < (is_shown ? plan.judge_from : plan.judge_any_from)) {
    return {};
  }
  const std::uint64_t to_candidate = routing::CountStarted(evidence.candidate);
  const std::uint64_t to_both = to_candidate + routing::CountStarted(evidence.baseline);
  if (!is_shown && !routing::MayMoveUnproven({to_candidate, to_both}, rollout, plan, progress)) {
    return {};
  }
  return {RolloutVerdict::kMoveAll,
          std::string(is_shown ? "sound in " : "likely sound in ") + Describe(evidence)};
}

}  // namespace

RolloutEvidence MergeEvidence(const std::vector<net::NodeReport>& reports,
                              const std::vector<net::AgedEntryReport>& entry_reports,
                              const ServiceId& service, const VersionId& target) {
  RolloutEvidence merged;
  std::set<NodeIncarnation> merged_nodes;
  for (const net::NodeReport& node : reports) {
    for (const net::RolloutReport& report : node.rollouts) {
      if (node.age_ms <= kMaxReportAgeMs && report.service == service && report.target == target) {
        merged.candidate.Merge(report.candidate);
        merged.baseline.Merge(report.baseline);
        merged_nodes.insert({node.node, node.incarnation});
      }
    }
  }
  for (const net::AgedEntryReport& aged : entry_reports) {
    if (aged.age_ms > kMaxReportAgeMs ||
        !merged_nodes.contains({aged.report.node, aged.report.incarnation})) {
      continue;
    }
    for (const net::RolloutWaits& waits : aged.report.waits) {
      if (waits.service == service && waits.target == target) {
        merged.candidate.Merge({.waits = waits.candidate});
        merged.baseline.Merge({.waits = waits.baseline});
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
  const double progress = routing::RolloutProgress(rollout, now);
  const std::uint64_t trials = TrialsOf(evidence.candidate);
  if (rollout.moved_at == 0) {
    return JudgeTrial(decision, evidence, rollout, progress, plan);
  }
  const double settled = routing::RolloutProgress(rollout, rollout.moved_at) + plan.settle;
  if (now >= rollout.moved_at && trials >= kMinTrials &&
      progress >= std::max(plan.complete_at, std::min(settled, plan.latest_complete_at))) {
    return {RolloutVerdict::kComplete, "good in " + std::to_string(trials) + " trials"};
  }
  return {};
}

RolloutController::RolloutController(ReplicaRunner& replica, const state::ReplicatedState& state,
                                     FleetView& fleet, OperatorAccess& access,
                                     const routing::RolloutPlan& plan)
    : replica(replica), state(state), fleet(fleet), access(access), plan(plan), thread([this] {
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
  const EntryReports collected = this->fleet.CollectEntryReports();
  for (const auto& [service, rollout] : current->service_rollouts) {
    if (rollout.state != config::ServiceRolloutState::kRunning) {
      continue;
    }
    const RolloutJudgement judgement = JudgeServiceRollout(
        rollout, MergeEvidence(reports, collected.reports, service, rollout.target), this->plan,
        this->clock.WallNow());
    if (judgement.verdict == RolloutVerdict::kMoveAll) {
      this->MoveAll(service, rollout, judgement);
    } else if (judgement.verdict != RolloutVerdict::kContinue) {
      this->EndRollout(service, rollout, judgement);
    }
  }
  return kCheckInterval;
}

void RolloutController::MoveAll(const ServiceId& service, const config::ServiceRollout& rollout,
                                const RolloutJudgement& judgement) {
  const WallTimeMs moved_at = this->clock.WallNow() + this->plan.move_notice.count();
  kLog.Info("The trial of a roll-out was judged good; all sessions move.",
            {{"service", service}, {"target", rollout.target}, {"evidence", judgement.reason}});
  this->CommitUnlessChanged(service, rollout, {{"moved_at", moved_at}},
                            "move of " + service.Value());
}

void RolloutController::EndRollout(const ServiceId& service, const config::ServiceRollout& rollout,
                                   const RolloutJudgement& judgement) {
  const char* const next =
      judgement.verdict == RolloutVerdict::kComplete ? "completed" : "rolled_back";
  kLog.Info("Ending a roll-out of a service.", {{"service", service},
                                                {"target", rollout.target},
                                                {"state", next},
                                                {"evidence", judgement.reason}});
  this->CommitUnlessChanged(service, rollout, {{"state", next}, {"reason", judgement.reason}},
                            "end of the roll-out of " + service.Value());
}

/// Commits a change of a roll-out, unless the roll-out has changed in the meantime.
void RolloutController::CommitUnlessChanged(const ServiceId& service,
                                            const config::ServiceRollout& rollout,
                                            const nlohmann::json& change,
                                            const std::string& reason) {
  const ChangeOutcome outcome = this->access.Change(
      [&](const config::Configuration& configuration) {
        const auto place = configuration.service_rollouts.find(service);
        if (place == configuration.service_rollouts.end() || place->second != rollout) {
          return PlannedChange{};
        }
        const nlohmann::json patch = {{"service_rollouts", {{service.Value(), change}}}};
        return PlannedChange{patch.dump(), std::nullopt};
      },
      kAuthor, reason);
  if (!outcome.acknowledged) {
    kLog.Warning("A change of a roll-out was not committed; retrying at the next check.",
                 {{"service", service}, {"cause", outcome.error.message}});
  }
}

}  // namespace masticrill::control
