#include "control/entry_report_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "masticrill/common/log.h"
#include "masticrill/routing/request_identity.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Intervals without and with evidence on prompt parts.
constexpr Duration kIdleInterval = milliseconds(500);
constexpr Duration kBusyInterval = milliseconds(200);
/// A block ends by itself after this time, so that a verdict that has become wrong does not last.
constexpr std::int64_t kBlockLifetimeMs = 60LL * 60 * 1000;
constexpr std::size_t kMaxBlocks = 256;
constexpr const char* kAuthor = "prompt-guard";

/// Whether an upstream was lost lately.
bool HasEvidence(const std::vector<net::AgedEntryReport>& reports) {
  constexpr std::int64_t kLatelyMs = 10'000;
  return std::any_of(reports.begin(), reports.end(), [](const net::AgedEntryReport& aged) {
    const std::vector<routing::LostStart>& lost = aged.report.prompts.lost;
    return std::any_of(lost.begin(), lost.end(), [&](const routing::LostStart& start) {
      return aged.age_ms + start.age_ms <= kLatelyMs;
    });
  });
}

std::string Describe(const routing::PartVerdict& verdict) {
  const std::string subject = routing::IsWholeRequest(verdict.part)
                                  ? "the request"
                                  : std::to_string(verdict.requests) + " requests with it";
  return std::to_string(verdict.lost_upstreams) + " upstreams ended under " + subject +
         (verdict.is_certain ? "" : ", but maybe not by it");
}

}  // namespace

routing::PromptEvidence MergePromptEvidence(const std::vector<net::AgedEntryReport>& reports,
                                            const routing::PromptSettings& settings) {
  std::vector<routing::AgedPromptReport> aged;
  for (const net::AgedEntryReport& report : reports) {
    aged.push_back({report.report.prompts, report.age_ms});
  }
  return routing::MergePromptReports(aged, settings);
}

bool AllEntriesReport(const std::vector<net::NodeReport>& nodes,
                      const std::vector<net::AgedEntryReport>& reports) {
  const std::int64_t lease_ms = duration_cast<milliseconds>(config::kLeaseLength).count();
  return std::all_of(nodes.begin(), nodes.end(), [&](const net::NodeReport& node) {
    return node.role != net::NodeRole::kEntry || node.load_address.empty() ||
           node.age_ms > lease_ms ||
           std::any_of(reports.begin(), reports.end(), [&](const net::AgedEntryReport& aged) {
             return aged.report.node == node.node && aged.report.incarnation == node.incarnation;
           });
  });
}

std::vector<net::EntryDemand> DemandsOf(const std::vector<net::AgedEntryReport>& reports) {
  constexpr std::int64_t kRecentMs = 5000;
  std::vector<net::EntryDemand> demands;
  for (const net::AgedEntryReport& aged : reports) {
    if (aged.age_ms <= kRecentMs && !aged.report.load_address.empty()) {
      demands.push_back({aged.report.load_address, aged.report.demand});
    }
  }
  return demands;
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
                             const std::vector<routing::PartVerdict>& verdicts, WallTimeMs now) {
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
  const std::size_t room = kMaxBlocks - std::min(verdicts.size(), kMaxBlocks);
  for (std::size_t index = 0; index + room < kept.size(); ++index) {
    changes[kept[index].second.Value()] = nullptr;
  }
  for (const routing::PartVerdict& verdict : verdicts) {
    changes[verdict.part.Value()] = {
        {"state", "blocked"}, {"decided_at", now}, {"reason", Describe(verdict)}};
  }
  return changes.empty() ? "" : nlohmann::json{{"prompt_blocks", changes}}.dump();
}

std::string PlanEndOfHeldBlocks(const config::Configuration& current, const HeldBlocks& held,
                                TimePoint now) {
  nlohmann::json changes = nlohmann::json::object();
  for (const auto& [part, block] : held) {
    const auto found = current.prompt_blocks.find(part);
    const bool is_blocked = found != current.prompt_blocks.end() &&
                            found->second.state == config::PromptBlockState::kBlocked;
    if (is_blocked && !block.has_ended && now - block.since > kHeldLifetime) {
      changes[part.Value()] = nullptr;
    }
  }
  return changes.empty() ? "" : nlohmann::json{{"prompt_blocks", changes}}.dump();
}

EntryReportController::EntryReportController(ReplicaRunner& replica,
                                             const state::ReplicatedState& state, FleetView& fleet,
                                             LeaseService& leases, OperatorAccess& access)
    : replica(replica), state(state), fleet(fleet), leases(leases), access(access), thread([this] {
        return this->RunOnce();
      }) {}

Duration EntryReportController::RunOnce() {
  const config::ConfigurationPtr current = this->state.Configuration();
  const bool is_leader = this->replica.Status().replica.role == consensus::Role::kLeader;
  if (is_leader) {
    this->EndHeldBlocks(*current);
  }
  const EntryReports collected = this->fleet.CollectEntryReports();
  net::EntryReportReply reply{{}, DemandsOf(collected.reports)};
  if (!HasEvidence(collected.reports)) {
    this->leases.SetReportReply(std::move(reply));
    if (is_leader && !PlanPromptBlocks(*current, {}, this->clock.WallNow()).empty()) {
      this->Commit({});
    }
    return kIdleInterval;
  }
  routing::PromptEvidence evidence = MergePromptEvidence(collected.reports, this->settings);
  this->ForgetLifted(evidence, *current);
  const routing::BlockedParts blocked = BlockedPartsOf(*current, this->clock.WallNow());
  reply.suspect_parts = routing::FindSuspects(evidence, blocked, this->settings);
  this->leases.SetReportReply(std::move(reply));
  if (is_leader) {
    if (const std::vector<routing::PartVerdict> verdicts =
            routing::FindVerdicts(evidence, blocked, this->settings);
        !verdicts.empty()) {
      this->Block(verdicts, collected);
    }
  }
  return kBusyInterval;
}

/// Commits blocks unless earlier programs run: they cannot read a configuration with one.
void EntryReportController::Block(const std::vector<routing::PartVerdict>& verdicts,
                                  const EntryReports& collected) {
  const bool is_readable = !collected.has_older_host &&
                           AllEntriesReport(this->fleet.CollectReports(), collected.reports);
  for (const routing::PartVerdict& verdict : verdicts) {
    kLog.Warning(is_readable ? "Upstreams end under a request or a part of prompts; requests with "
                               "it are refused."
                             : "A request or a part of prompts under which upstreams end is not "
                               "blocked, since processes of an earlier program run. Upgrade them.",
                 {{"part", verdict.part},
                  {"lost_upstreams", verdict.lost_upstreams},
                  {"requests", verdict.requests}});
  }
  if (!is_readable) {
    return;
  }
  this->Commit(verdicts);
  for (const routing::PartVerdict& verdict : verdicts) {
    if (!verdict.is_certain) {
      this->held.try_emplace(verdict.part, HeldBlock{this->clock.Now()});
    }
  }
}

void EntryReportController::EndHeldBlocks(const config::Configuration& current) {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->held, [&](const auto& entry) {
    return now - entry.second.since > milliseconds(kBlockLifetimeMs);
  });
  const std::string patch = PlanEndOfHeldBlocks(current, this->held, now);
  if (patch.empty()) {
    return;
  }
  const ChangeOutcome outcome = this->access.Change(
      [&](const config::Configuration&) {
        return PlannedChange{patch, std::nullopt};
      },
      kAuthor, "requests that may not be the cause are no longer held back");
  if (!outcome.acknowledged) {
    return;
  }
  for (auto& [part, block] : this->held) {
    block.has_ended = block.has_ended || now - block.since > kHeldLifetime;
  }
}

void EntryReportController::ForgetLifted(routing::PromptEvidence& evidence,
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

void EntryReportController::Commit(const std::vector<routing::PartVerdict>& verdicts) {
  const ChangeOutcome outcome = this->access.Change(
      [&](const config::Configuration& configuration) {
        const std::string patch = PlanPromptBlocks(configuration, verdicts, this->clock.WallNow());
        return PlannedChange{patch.empty() ? std::nullopt : std::optional(patch), std::nullopt};
      },
      kAuthor, verdicts.empty() ? "expired blocks" : "upstreams end under requests");
  if (!outcome.acknowledged) {
    kLog.Warning(
        "Blocks of requests and prompt parts were not committed; retrying at the next check.",
        {{"cause", outcome.error.message}});
  }
}

}  // namespace masticrill::control
