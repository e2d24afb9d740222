#include "entry/rollout_guard.h"

#include "masticrill/common/log.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
constexpr milliseconds kJudgeInterval{500};
constexpr seconds kCommitTimeout{2};
/// The author under which the history shows the change.
constexpr std::string_view kAuthor = "rollout-guard";

}  // namespace

RolloutGuard::RolloutGuard(EntryServices& services) : services(services) {
  this->thread = std::thread([this] { this->Run(); });
}

RolloutGuard::~RolloutGuard() { this->Stop(); }

void RolloutGuard::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->stopping.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void RolloutGuard::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    lock.unlock();
    this->JudgeAll();
    lock.lock();
    this->stopping.wait_for(lock, kJudgeInterval, [this] { return this->stopped; });
  }
}

void RolloutGuard::JudgeAll() {
  const auto directory = this->services.Directory();
  if (directory == nullptr) {
    return;
  }
  const config::Configuration& configuration = directory->Config();
  for (const auto& [id, model] : configuration.models) {
    if (model.rollout && model.rollout->state == config::RolloutState::kRunning) {
      this->Judge(configuration, id, model);
    } else {
      this->candidates.erase(id);
    }
  }
}

void RolloutGuard::Judge(const config::Configuration& configuration, const ModelId& id,
                         const config::Model& model) {
  const ModelVersion candidate{id, model.rollout->candidate};
  const ModelVersion baseline{id, model.default_version};
  if (const auto known = this->candidates.find(id);
      known == this->candidates.end() || known->second != candidate.version) {
    // Evidence of an earlier roll-out says nothing about this one.
    this->services.evidence.Reset(candidate);
    this->services.evidence.Reset(baseline);
    this->candidates[id] = candidate.version;
    return;
  }
  const routing::RolloutDecision decision =
      routing::EvaluateRollout(this->services.evidence.Read(candidate, this->services.clock.Now()),
                               this->services.evidence.Read(baseline, this->services.clock.Now()),
                               routing::RolloutSettings{});
  if (decision.stop) {
    this->Halt(configuration, id, candidate.version, decision);
  }
}

void RolloutGuard::Halt(const config::Configuration& configuration, const ModelId& id,
                        const VersionId& candidate, const routing::RolloutDecision& decision) {
  state::PatchConfiguration patch;
  patch.patch_id =
      state::PatchId("rollout-guard " + this->services.options.name + " " + id.Value() + "@" +
                     candidate.Value() + " " + std::to_string(configuration.number));
  patch.expected_number = configuration.number;
  patch.merge_patch = routing::HaltPatch(id, candidate, decision);
  patch.author = OperatorId(std::string(kAuthor));
  patch.reason = "roll-out of " + id.Value() + "@" + candidate.Value() + ": " +
                 std::string(ToString(decision.reason));
  patch.at = this->services.clock.WallNow();
  const std::string outcome = HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(committed, this->services.sender->Commit(patch, kCommitTimeout));
        const auto* result = std::get_if<state::PatchResult>(&committed);
        if (result != nullptr && result->status == state::PatchStatus::kAccepted) {
          return "accepted as number " + std::to_string(result->number);
        }
        return std::string(result == nullptr ? "rejected" : result->message);
      },
      [](const Error& error) { return error.message; });
  kLog.Warning("A roll-out is halted.", {{"model", id},
                                         {"candidate", candidate},
                                         {"reason", ToString(decision.reason)},
                                         {"exposed", decision.candidate.trials},
                                         {"change", outcome}});
}

}  // namespace masticrill::entry
