#include "control/prompt_block_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Intervals without and with evidence. Without, the reports of the fleet's upkeep are read again.
constexpr Duration kIdleInterval = milliseconds(250);
constexpr Duration kBusyInterval = milliseconds(200);
/// A block ends by itself after this time, so that a verdict that has become wrong does not last.
constexpr std::int64_t kBlockLifetimeMs = 60LL * 60 * 1000;
constexpr std::size_t kMaxBlocks = 256;
constexpr const char* kAuthor = "prompt-guard";

/// Whether an upstream was lost lately.
bool HasEvidence(const std::vector<net::NodeReport>& reports) {
  constexpr std::int64_t kLatelyMs = 10'000;
  return std::any_of(reports.begin(), reports.end(), [](const net::NodeReport& report) {
    return std::any_of(
        report.prompts.lost.begin(), report.prompts.lost.end(),
        [&](const routing::LostStart& lost) { return report.age_ms + lost.age_ms <= kLatelyMs; });
  });
}

std::string Describe(const routing::PartVerdict& verdict) {
  return std::to_string(verdict.lost_upstreams) + " upstreams ended under " +
         std::to_string(verdict.requests) + " requests with it";
}

}  // namespace

routing::PromptEvidence MergePromptEvidence(const std::vector<net::NodeReport>& reports,
                                            const routing::PromptSettings& settings) {
  std::vector<routing::AgedPromptReport> aged;
  for (const net::NodeReport& report : reports) {
    if (report.role == net::NodeRole::kEntry) {
      aged.push_back({report.prompts, report.age_ms});
    }
  }
  return routing::MergePromptReports(aged, settings);
}

routing::BlockedParts BlockedPartsOf(const config::Configuration& configuration, WallTimeMs now) {
  routing::BlockedParts parts;
  for (const auto& [part, block] : configuration.prompt_blocks) {
    if (block.state == config::PromptBlockState::kBlocked) {
      parts.emplace(part, std::max<std::int64_t>(now - block.decided_at, 0));
    }
  }
  return parts;
}

std::string PlanPromptBlocks(const config::Configuration& current,
                             const std::optional<routing::PartVerdict>& verdict, WallTimeMs now) {
  nlohmann::json changes = nlohmann::json::object();
  std::vector<std::pair<WallTimeMs, PromptPartId>> kept;
  for (const auto& [part, block] : current.prompt_blocks) {
    if (now - block.decided_at > kBlockLifetimeMs) {
      changes[part.Value()] = nullptr;
    } else {
      kept.emplace_back(block.decided_at, part);
    }
  }
  std::sort(kept.begin(), kept.end());
  const std::size_t room = kMaxBlocks - (verdict ? 1 : 0);
  for (std::size_t index = 0; index + room < kept.size(); ++index) {
    changes[kept[index].second.Value()] = nullptr;
  }
  if (verdict) {
    changes[verdict->part.Value()] = {
        {"state", "blocked"}, {"decided_at", now}, {"reason", Describe(*verdict)}};
  }
  return changes.empty() ? "" : nlohmann::json{{"prompt_blocks", changes}}.dump();
}

PromptBlockController::PromptBlockController(ReplicaRunner& replica,
                                             const state::ReplicatedState& state, FleetView& fleet,
                                             LeaseService& leases, OperatorAccess& access)
    : replica(replica), state(state), fleet(fleet), leases(leases), access(access), thread([this] {
        return this->RunOnce();
      }) {}

Duration PromptBlockController::RunOnce() {
  const config::ConfigurationPtr current = this->state.Configuration();
  const bool is_leader = this->replica.Status().replica.role == consensus::Role::kLeader;
  const bool has_evidence = HasEvidence(this->fleet.LatestReports());
  if (!has_evidence) {
    this->leases.SetSuspectParts({});
    if (is_leader && this->HasExpired(*current)) {
      this->Commit(std::nullopt);
    }
    return kIdleInterval;
  }
  routing::PromptEvidence evidence =
      MergePromptEvidence(this->fleet.CollectReports(), this->settings);
  this->ForgetLifted(evidence, *current);
  const routing::BlockedParts blocked = BlockedPartsOf(*current, this->clock.WallNow());
  this->leases.SetSuspectParts(routing::FindSuspects(evidence, blocked, this->settings));
  if (is_leader) {
    if (const auto verdict = routing::JudgePromptParts(evidence, blocked, this->settings)) {
      this->Commit(verdict);
    }
  }
  return kBusyInterval;
}

void PromptBlockController::ForgetLifted(routing::PromptEvidence& evidence,
                                         const config::Configuration& current) {
  const TimePoint now = this->clock.Now();
  std::set<PromptPartId> lifted;
  for (const auto& [part, block] : current.prompt_blocks) {
    if (block.state == config::PromptBlockState::kLifted) {
      lifted.insert(part);
    }
  }
  std::erase_if(this->lifted_at, [&](const auto& entry) { return !lifted.contains(entry.first); });
  for (const PromptPartId& part : lifted) {
    const auto [place, added] = this->lifted_at.try_emplace(part, now);
    routing::ForgetOlder(evidence, part, duration_cast<milliseconds>(now - place->second).count());
  }
}

bool PromptBlockController::HasExpired(const config::Configuration& current) const {
  return !PlanPromptBlocks(current, std::nullopt, this->clock.WallNow()).empty();
}

void PromptBlockController::Commit(const std::optional<routing::PartVerdict>& verdict) {
  if (verdict) {
    kLog.Warning("Upstreams end under a part of prompts; requests with it are refused.",
                 {{"part", verdict->part},
                  {"lost_upstreams", verdict->lost_upstreams},
                  {"requests", verdict->requests}});
  }
  const ChangeOutcome outcome = this->access.Change(
      [&](const config::Configuration& configuration) {
        const std::string patch = PlanPromptBlocks(configuration, verdict, this->clock.WallNow());
        return PlannedChange{patch.empty() ? std::nullopt : std::optional(patch), std::nullopt};
      },
      kAuthor, verdict ? "upstreams end under a part of prompts" : "expired blocks");
  if (!outcome.acknowledged) {
    kLog.Warning("The blocks of prompt parts were not committed; retrying at the next check.",
                 {{"cause", outcome.error.message}});
  }
}

}  // namespace masticrill::control
