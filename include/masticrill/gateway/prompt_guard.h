#ifndef MASTICRILL_GATEWAY_PROMPT_GUARD_H_
#define MASTICRILL_GATEWAY_PROMPT_GUARD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/gateway/edge_protocol.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/routing/prompt_evidence.h"

namespace masticrill::gateway {

/// The parts of a prompt that other requests may share: all but the last, up to a limit.
std::vector<PromptPartId> SharedPartsOf(const std::vector<PromptPart>& prompt);

/// What of a request is compared with others: the request as a whole, and the parts of its prompt
/// that others may share.
struct RequestParts {
  PromptPartId whole;
  std::vector<PromptPartId> shared;

  /// The shared parts and the whole request, the most specific last.
  std::vector<PromptPartId> All() const;

  friend bool operator==(const RequestParts&, const RequestParts&) = default;
};

/// Keeps requests away from upstreams that end under them, or under a part of their prompt.
/// Collects the evidence of this entry for the control hosts, which judge that of all entries
/// together, and applies their verdicts; judges its own evidence alone while it hears nothing from
/// them. Its memory is bounded. Thread-safe.
class PromptGuard {
 public:
  /// `on_evidence` is called, on the thread of a request, when there is evidence to report soon.
  explicit PromptGuard(std::function<void()> on_evidence = {},
                       routing::PromptSettings settings = {});

  /// Takes over what a granted lease says: the blocked parts and requests, and those to answer for.
  void OnLease(std::set<PromptPartId> blocked, std::vector<PromptPartId> suspects, TimePoint now);

  /// Records an answer that this entry discards as it begins: its upstream may still end under it.
  void OnDiscarded(const ListedUpstream& upstream, const RequestParts& parts, TimePoint now);
  /// Records that the upstream ended the connection of an attempt whose answer has lasted for
  /// `answer_age`; nothing if it had not begun.
  void OnLost(const ListedUpstream& upstream, const RequestParts& parts,
              std::optional<Duration> answer_age, TimePoint now);
  /// Records that an upstream survived a request whose answer began at `begun_at`.
  void OnSurvived(const RequestParts& parts, TimePoint begun_at, TimePoint now);

  /// The first part, or the whole request, with which a request must not reach an upstream; nothing
  /// when there is none.
  std::optional<PromptPartId> FindBlocked(const RequestParts& parts, TimePoint now) const;

  /// Whether a request whose connection was lost may be handed to another upstream. It may not if
  /// it is suspect itself, as it was lost at several upstreams, or if a part of its prompt is, as
  /// another request with it was lost, and none was survived.
  bool MayRetry(const RequestParts& parts) const;

  routing::PromptReport Report(TimePoint now) const;
  std::size_t BlockedCount(TimePoint now) const;
  const routing::PromptSettings& Settings() const { return this->settings; }

 private:
  struct Lost {
    routing::LostStart start;
    TimePoint at;
  };

  void AddLost(routing::LostStart start, TimePoint now);
  using Survivals = std::unordered_map<std::uint64_t, TimePoint>;

  bool IsSuspect(const PromptPartId& part, const PromptPartId& whole) const;
  std::size_t CountLostUpstreams(const PromptPartId& whole) const;
  const Survivals& SurvivalsOf(const PromptPartId& part) const;
  bool IsKnown(const routing::LostStart& start, TimePoint now) const;
  bool HasProof(const Lost& entry) const;
  void AcquitUntil(const std::vector<PromptPartId>& parts, TimePoint begun_at);
  void DropLeastTelling();
  void ForgetSurvivals(Survivals& survivals, std::size_t most, TimePoint now) const;
  bool IsOnItsOwn(TimePoint now) const;
  routing::PromptReport MakeReport(const std::vector<PromptPartId>& asked, TimePoint now) const;
  void ForgetOld(TimePoint now);
  void JudgeAlone(TimePoint now);

  std::function<void()> on_evidence;
  routing::PromptSettings settings;
  mutable std::mutex mutex;
  std::set<PromptPartId> blocked;
  std::vector<PromptPartId> suspects;
  /// Verdicts on the evidence of this entry alone.
  std::map<PromptPartId, TimePoint> blocked_alone;
  TimePoint last_lease_at;
  std::deque<Lost> lost;
  /// Answers that were discarded as they began.
  std::deque<Lost> discarded;
  /// When the last answer began that was survived, by the hash of the part or the whole request.
  Survivals part_survivals;
  Survivals request_survivals;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_PROMPT_GUARD_H_
