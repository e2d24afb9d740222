#include "entry/claim_client.h"

#include "masticrill/common/log.h"

namespace masticrill::entry {
namespace {

constexpr Logger kLog(LogPart::kEntry);
constexpr seconds kCommitTimeout{2};
constexpr seconds kFenceTimeout{1};

}  // namespace

net::FenceReply FenceAttemptAt(SidecarLinks& links, const UpstreamId& upstream,
                               const net::FenceRequest& request) {
  const std::shared_ptr<net::RpcClient> client = links.Find(upstream);
  if (client == nullptr) {
    return {};
  }
  return HandleErrors([&] { return client->Call<net::FenceReply>(request, kFenceTimeout); },
                      [&](const Error& error) {
                        kLog.Warning("A fence request failed.",
                                     {{"upstream", upstream}, {"reason", error.message}});
                        // The sidecar may be back soon: not the end of the matter, but not known
                        // now.
                        net::FenceReply reply;
                        reply.status = net::FenceStatus::kRunning;
                        return reply;
                      });
}

std::optional<state::ClaimResult> Claim::Commit(const state::Command& command) {
  return HandleErrors(
      [&]() -> Result<std::optional<state::ClaimResult>> {
        BOOST_LEAF_AUTO(committed, this->sender.Commit(command, kCommitTimeout));
        const auto* result = std::get_if<state::ClaimResult>(&committed);
        return result == nullptr ? std::nullopt : std::optional(*result);
      },
      [](const Error& error) {
        kLog.Warning("A claim was not committed.", {{"reason", error.message}});
        return std::optional<state::ClaimResult>();
      });
}

Claim::Decision Claim::Acquire(const state::ClaimHolder& wanted) {
  const auto reassign = [&](const AttemptId& fenced) {
    return this->Commit(state::ReassignClaim{this->key, fenced, wanted, this->clock.WallNow()});
  };
  state::ClaimStep step = state::AfterClaim(
      this->holder ? reassign(this->holder->attempt)
                   : this->Commit(state::OpenClaim{this->key, this->body_hash, wanted,
                                                   this->clock.WallNow()}));
  while (true) {
    switch (step.action) {
      case state::ClaimAction::kHandOver:
        this->holder = wanted;
        return Granted{};
      case state::ClaimAction::kFenceHolder:
        step = state::AfterFence(step.holder, this->FenceHolder(step.holder));
        break;
      case state::ClaimAction::kReassign:
        step = state::AfterClaim(reassign(step.holder.attempt));
        break;
      case state::ClaimAction::kResolve:
        step = state::AfterResolve(
            step, this->Commit(state::ResolveClaim{this->key, step.holder.attempt, step.resolution,
                                                   step.answer, this->clock.WallNow()}));
        break;
      case state::ClaimAction::kReply:
        this->holder.reset();
        return Replay{step.answer};
      case state::ClaimAction::kRefuse:
        return Denied{step.refusal};
    }
  }
}

state::FenceReply Claim::FenceHolder(const state::ClaimHolder& current) {
  const net::FenceReply reply = FenceAttemptAt(
      this->links, current.upstream, {current.attempt, current.sidecar_incarnation, true});
  switch (reply.status) {
    case net::FenceStatus::kRunning:
      return {state::FenceStatus::kRunning, {}};
    case net::FenceStatus::kNeverStarted:
      return {state::FenceStatus::kNeverStarted, {}};
    case net::FenceStatus::kUnknownIncarnation:
      return {state::FenceStatus::kOtherIncarnation, {}};
    case net::FenceStatus::kDone:
      break;
  }
  if (reply.outcome == net::AttemptOutcome::kConnectFailed) {
    // The upstream never saw it, and the sidecar runs no attempt twice.
    return {state::FenceStatus::kNeverStarted, {}};
  }
  if (reply.outcome != net::AttemptOutcome::kAnswered) {
    return {state::FenceStatus::kOtherIncarnation, {}};
  }
  return {state::FenceStatus::kAnswered,
          {static_cast<std::uint32_t>(reply.http_status), reply.content_type, reply.body,
           reply.answer_kept}};
}

bool Claim::Resolve(state::ClaimResolution resolution, const state::RecordedAnswer& answer) {
  if (!this->holder) {
    return true;
  }
  const bool committed =
      this->Commit(state::ResolveClaim{this->key, this->holder->attempt, resolution, answer,
                                       this->clock.WallNow()})
          .has_value();
  if (committed) {
    this->holder.reset();
  }
  return committed;
}

}  // namespace masticrill::entry
