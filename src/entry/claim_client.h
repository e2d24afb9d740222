#ifndef MASTICRILL_ENTRY_CLAIM_CLIENT_H_
#define MASTICRILL_ENTRY_CLAIM_CLIENT_H_

#include <optional>
#include <string>
#include <variant>

#include "entry/sidecar_links.h"
#include "masticrill/common/clock.h"
#include "masticrill/node/command_sender.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/results.h"

namespace masticrill::entry {

/// The durable claim of one request that may run at most once.
class Claim {
 public:
  Claim(node::CommandSender& sender, SidecarLinks& links, state::ClaimKey key,
        std::string body_hash)
      : sender(sender), links(links), key(std::move(key)), body_hash(std::move(body_hash)) {}

  /// The attempt holds the claim and may be handed over.
  struct Granted {};
  /// The request ran before; this is what it was answered.
  struct Replay {
    state::RecordedAnswer answer;
  };
  /// The attempt must not be handed over.
  struct Denied {
    RefusalKind kind = RefusalKind::kControlUnavailable;
  };
  using Decision = std::variant<Granted, Replay, Denied>;

  /// Claims the key for an attempt, or moves the own claim to it after the attempt before was
  /// refused or fenced. When another attempt holds the claim, its sidecar is asked what became of
  /// it.
  Decision Acquire(const state::ClaimHolder& holder);

  /// Records how the attempt that holds the claim ended. Returns false when the control hosts did
  /// not commit it in time.
  bool Resolve(state::ClaimResolution resolution, const state::RecordedAnswer& answer);

  /// Whether an attempt of this request holds the claim and it is not resolved.
  bool Held() const { return this->holder.has_value(); }

 private:
  std::optional<state::ClaimResult> Commit(const state::Command& command);
  Decision Decide(const state::ClaimResult& result, const state::ClaimHolder& wanted);
  Decision AskHolder(const state::ClaimHolder& current, const state::ClaimHolder& wanted);

  node::CommandSender& sender;
  SidecarLinks& links;
  state::ClaimKey key;
  std::string body_hash;
  SystemClock clock;
  std::optional<state::ClaimHolder> holder;
};

/// Asks a sidecar to fence an attempt. kUnknownIncarnation where it cannot be reached at a known
/// address: what it cannot vouch for is unknown.
net::FenceReply FenceAttemptAt(SidecarLinks& links, const UpstreamId& upstream,
                               const net::FenceRequest& request);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_CLAIM_CLIENT_H_
