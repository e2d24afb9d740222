#include "control/operator_access.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include "masticrill/common/log.h"
#include "masticrill/common/random.h"
#include "masticrill/common/result.h"
#include "masticrill/config/document.h"
#include "masticrill/config/lease.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr int kPatchIdBytes = 12;
/// Attempts that may fail because of concurrent changes before the operator is asked to retry.
constexpr int kMaxCommitAttempts = 16;
constexpr std::string_view kEmptyPatch = "{}";

/// The result of a committed patch.
Result<state::PatchResult> ReadPatchResult(const std::string& bytes) {
  BOOST_LEAF_AUTO(result, state::DecodeResult(bytes));
  if (const auto* patched = std::get_if<state::PatchResult>(&result)) {
    return *patched;
  }
  if (const auto* rejected = std::get_if<state::RejectedCommand>(&result)) {
    return Fail(rejected->kind, rejected->message);
  }
  return Fail(ErrorKind::kInternal,
              "The change has a result of an unexpected type. Report this bug.");
}

ChangeOutcome OvertakenEachTime() {
  return {false,
          {ErrorKind::kUnavailable,
           "In every attempt, another change was committed first; nothing was changed. Send the "
           "change again."}};
}

ChangeOutcome SenderLeft() {
  return {false,
          {ErrorKind::kUnavailable,
           "The sender closed its connection before the change was committed; nothing was "
           "changed."}};
}

}  // namespace

bool AwaitCurrentState(ReplicaRunner& replica, const ControlTimings& timings) {
  struct Waiter {
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<bool> confirmed;
  };
  if (!HasQuorum(replica.Status(), SystemClock().Now(), timings.election_timeout)) {
    return false;
  }
  const auto waiter = std::make_shared<Waiter>();
  replica.Read([waiter](const consensus::ReadResult& result) {
    const std::scoped_lock lock(waiter->mutex);
    waiter->confirmed = !result.rejected;
    waiter->changed.notify_one();
  });
  std::unique_lock lock(waiter->mutex);
  waiter->changed.wait_for(lock, timings.read_timeout,
                           [&] { return waiter->confirmed.has_value(); });
  return waiter->confirmed.value_or(false);
}

config::ConfigurationPtr ReplicatedOperatorAccess::ReadCurrent() {
  if (!AwaitCurrentState(this->replica, this->options.timings)) {
    return nullptr;
  }
  return this->state.Configuration();
}

ChangeOutcome ReplicatedOperatorAccess::Change(const Planner& plan, const std::string& author,
                                               const std::string& reason) {
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    const config::ConfigurationPtr current = this->ReadCurrent();
    if (current == nullptr) {
      return {false, ToError(CommitStatus::kNoQuorum)};
    }
    const PlannedChange change = plan(*current);
    if (change.refused) {
      return {false, *change.refused};
    }
    if (!change.merge_patch) {
      return {true, {}};
    }
    CommitEnd ended = this->CommitPatch(current->number, *change.merge_patch, author, reason);
    if (ended) {
      return *std::move(ended);
    }
  }
  return OvertakenEachTime();
}

ChangeOutcome ReplicatedOperatorAccess::ChangeForRequest(const Planner& plan,
                                                         const std::string& author,
                                                         const std::string& reason,
                                                         const SenderWaits& sender_waits) {
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    const config::ConfigurationPtr current = this->ReadCurrent();
    if (current == nullptr) {
      return {false, ToError(CommitStatus::kNoQuorum)};
    }
    // Asked after the number is read: an order that the sender gives once it has left takes a later
    // number, and the commit on this one fails.
    if (!sender_waits()) {
      kLog.Info("An operator's request was dropped, since its sender has left.",
                {{"author", author},
                 {"reason", reason},
                 {"number", current->number},
                 {"attempt", attempt}});
      return SenderLeft();
    }
    const PlannedChange change = plan(*current);
    if (change.refused) {
      return {false, *change.refused};
    }
    CommitEnd ended = this->CommitPatch(
        current->number, change.merge_patch.value_or(std::string(kEmptyPatch)), author, reason);
    if (ended) {
      return *std::move(ended);
    }
  }
  return OvertakenEachTime();
}

ReplicatedOperatorAccess::CommitEnd ReplicatedOperatorAccess::CommitPatch(
    config::Number expected_number, const std::string& merge_patch, const std::string& author,
    const std::string& reason) {
  return this->Commit(
      state::PatchConfiguration{.patch_id = state::PatchId(SecureRandomHex(kPatchIdBytes)),
                                .expected_number = expected_number,
                                .merge_patch = merge_patch,
                                .author = OperatorId(author),
                                .reason = reason,
                                .at = this->clock.WallNow()},
      author, reason);
}

ReplicatedOperatorAccess::CommitEnd ReplicatedOperatorAccess::Commit(const state::Command& command,
                                                                     const std::string& author,
                                                                     const std::string& reason) {
  std::string bytes = state::EncodeCommand(command);
  const std::size_t size = bytes.size();
  const TimePoint begin = this->clock.Now();
  const CommitOutcome outcome = this->proposer.ProposeAndWait({std::move(bytes)});
  if (outcome.status != CommitStatus::kCommitted) {
    return ChangeOutcome{false, ToError(outcome.status)};
  }
  return HandleErrors(
      [&]() -> Result<CommitEnd> {
        BOOST_LEAF_AUTO(result, ReadPatchResult(outcome.results.front()));
        switch (result.status) {
          case state::PatchStatus::kAccepted:
            kLog.Info(
                "A change of the configuration was committed.",
                {{"number", result.number},
                 {"author", author},
                 {"reason", reason},
                 {"bytes", size},
                 {"commit_ms", duration_cast<milliseconds>(this->clock.Now() - begin).count()}});
            return CommitEnd(ChangeOutcome{true, {}});
          case state::PatchStatus::kStale:
            return CommitEnd();
          case state::PatchStatus::kInvalid:
            return Fail(ErrorKind::kInvalidConfiguration, result.message);
          case state::PatchStatus::kIdConflict:
          case state::PatchStatus::kFull:
            break;
        }
        return Fail(ErrorKind::kUnavailable, result.message);
      },
      [](const Error& error) {
        return CommitEnd(ChangeOutcome{false, error});
      });
}

ChangeOutcome ReplicatedOperatorAccess::Declare(const config::Declaration& declaration,
                                                const std::string& author) {
  const std::string reason = "revision " + std::to_string(declaration.revision);
  ChangeOutcome outcome = this->CommitDeclaration(declaration, author, reason);
  if (outcome.acknowledged) {
    this->AwaitEarlierLeases(declaration.revision);
  }
  return outcome;
}

ChangeOutcome ReplicatedOperatorAccess::CommitDeclaration(const config::Declaration& declaration,
                                                          const std::string& author,
                                                          const std::string& reason) {
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    const config::ConfigurationPtr current = this->ReadCurrent();
    if (current == nullptr) {
      return {false, ToError(CommitStatus::kNoQuorum)};
    }
    if (current->declaration.revision >= declaration.revision) {
      return {true, {}};
    }
    CommitEnd ended;
    const DeclarationPath path = this->ChooseDeclarationPath();
    if (path == DeclarationPath::kUnknown) {
      return {false, ToError(CommitStatus::kNoQuorum)};
    }
    if (path == DeclarationPath::kDelta) {
      ended = this->Commit(
          state::ChangeDeclaration{.patch_id = state::PatchId(SecureRandomHex(kPatchIdBytes)),
                                   .revision = declaration.revision,
                                   .change = config::MakeTextDelta(
                                       current->declaration.text.Value(), declaration.text.Value(),
                                       config::DeltaEncoding::kCompressed),
                                   .author = OperatorId(author),
                                   .reason = reason,
                                   .at = this->clock.WallNow()},
          author, reason);
    } else {
      ended = this->CommitPatch(current->number, config::MakeDeclarationPatch(declaration), author,
                                reason);
    }
    if (ended) {
      return *std::move(ended);
    }
  }
  return OvertakenEachTime();
}

/// A program that does not know the command would apply another state than the others. A member
/// that cannot be asked and was never found to be of such a program is taken for one of the
/// majority's.
ReplicatedOperatorAccess::DeclarationPath ReplicatedOperatorAccess::ChooseDeclarationPath() {
  if (this->state.KeepsTextApart()) {
    return DeclarationPath::kDelta;
  }
  const FeatureSurvey answers = this->fleet.AskFeature(net::kDeclarationChangesFeature);
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  const std::scoped_lock lock(this->survey_mutex);
  for (const NodeId& host : answers.knowing) {
    this->survey.knowing.insert(host);
    this->survey.not_knowing.erase(host);
  }
  for (const NodeId& host : answers.not_knowing) {
    this->survey.not_knowing.insert(host);
    this->survey.knowing.erase(host);
  }
  const auto is_older = [&](const consensus::ReplicaId& member) {
    return this->survey.not_knowing.contains(member.node);
  };
  const std::vector<consensus::ReplicaId>& voters = status.membership.voters;
  const std::vector<consensus::ReplicaId>& learners = status.membership.learners;
  if (std::any_of(voters.begin(), voters.end(), is_older) ||
      std::any_of(learners.begin(), learners.end(), is_older)) {
    return DeclarationPath::kWholeText;
  }
  const auto knowing =
      std::count_if(voters.begin(), voters.end(), [&](const consensus::ReplicaId& member) {
        return member.node == status.id.node || this->survey.knowing.contains(member.node);
      });
  return static_cast<std::size_t>(knowing) >= status.membership.Quorum()
             ? DeclarationPath::kDelta
             : DeclarationPath::kUnknown;
}

/// A lease from before the revision was committed ends at most a lease's length later. Waits until
/// what is left of it is within the bound.
void ReplicatedOperatorAccess::AwaitEarlierLeases(std::uint64_t revision) const {
  const TimePoint applied_at = this->revision_times.AppliedAt(revision).value_or(this->clock.Now());
  const TimePoint until = applied_at + config::AcknowledgementDelay(this->options.change_bound);
  std::mutex mutex;
  std::condition_variable timer;
  std::unique_lock lock(mutex);
  while (this->clock.Now() < until) {
    timer.wait_for(lock, until - this->clock.Now());
  }
}

}  // namespace masticrill::control
