#ifndef MASTICRILL_CONFIG_LEASE_H_
#define MASTICRILL_CONFIG_LEASE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "masticrill/common/clock.h"
#include "masticrill/common/refusal.h"
#include "masticrill/config/configuration.h"

namespace masticrill::config {

/// The longest time from the evidence of a leader's quorum to the end of a lease based on it.
inline constexpr Duration kLeaseLength = seconds(4);
/// How often a node asks for a new lease and a control host for new evidence.
inline constexpr Duration kLeaseRenewInterval = seconds(1);
/// A grant shorter than this is not worth its message.
inline constexpr Duration kMinLeaseGrant = milliseconds(100);
/// How far two clocks may drift apart, in parts per million. A holder shortens its lease by it.
inline constexpr std::int64_t kMaxClockDriftPpm = 1000;
/// Requests whose answers are awaited; older ones are forgotten.
inline constexpr std::size_t kMaxPendingLeaseRequests = 8;

/// How long after a number was applied at a control host it is acknowledged, so that no lease of an
/// earlier number lasts longer than the bound from then on: such leases end at most kLeaseLength
/// after the number was accepted.
Duration AcknowledgementDelay(Duration bound);

/// Numbers the requests of one holder or granter, so that an answer finds its sending time.
using LeaseRequestId = std::uint64_t;

/// Remembers when requests were sent. An answer counts from that time, however late it comes.
class PendingRequests {
 public:
  LeaseRequestId Add(TimePoint now);
  /// Returns the sending time and forgets the request and all earlier ones.
  std::optional<TimePoint> Take(LeaseRequestId request);
  /// Forgets all of them, for example when the peer changes.
  void Clear();

 private:
  struct Pending {
    LeaseRequestId id = 0;
    TimePoint sent;
  };
  LeaseRequestId last_id = 0;
  std::deque<Pending> pending;
};

/// A control host's permission to take new work under the configuration of that number.
struct LeaseGrant {
  Number number = 0;
  /// Counted from when the holder SENT its request.
  Duration length{0};

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;
};

enum class GrantVerdict {
  kTaken,
  kUnknownRequest,      // No such request is pending: a late or doubled answer.
  kOlderNumber,         // The granting host is behind this node.
  kNeedsConfiguration,  // The number is newer and its configuration did not come along.
};

/// A grant that may be taken: the configuration under which the holder takes new work, and until
/// when.
struct Lease {
  ConfigurationPtr configuration;
  TimePoint valid_until;

  friend bool operator==(const Lease&, const Lease&) = default;
};

/// A grant as the holder judges it; the lease is set if it is taken.
struct JudgedGrant {
  GrantVerdict verdict = GrantVerdict::kUnknownRequest;
  Lease lease;

  friend bool operator==(const JudgedGrant&, const JudgedGrant&) = default;
};

/// Whether a node may take new work now.
struct LeaseCheck {
  bool valid = false;
  RefusalKind refusal = RefusalKind::kNoLease;
  /// When to come back, if not valid.
  milliseconds retry_after{0};

  friend bool operator==(const LeaseCheck&, const LeaseCheck&) = default;
};

/// The lease of an entry or a sidecar. Pure; confined to one thread or guarded by its owner.
class LeaseHolder {
 public:
  /// Called right before a request is sent.
  LeaseRequestId OnRequestSent(TimePoint now);

  /// Judges a grant, which answers its request once. The configuration is the one of the grant's
  /// number, or empty where this node holds it already. The number held never goes down.
  JudgedGrant Judge(LeaseRequestId request, const LeaseGrant& grant,
                    const ConfigurationPtr& configuration);

  /// Takes a lease. Called when its configuration is in force at this node, and not before: else
  /// the node would act on the former one under a lease that does not cover it.
  void Take(const Lease& lease);

  /// Judges a grant and takes it at once, where its configuration is in force by being held.
  GrantVerdict OnGrant(LeaseRequestId request, const LeaseGrant& grant,
                       const ConfigurationPtr& configuration);

  /// Checked on arrival and again right before a hand-over.
  LeaseCheck Check(TimePoint now) const;
  bool Valid(TimePoint now) const { return this->Check(now).valid; }

  Number KnownNumber() const;
  const ConfigurationPtr& Current() const { return this->configuration; }
  std::optional<TimePoint> ValidUntil() const { return this->valid_until; }

 private:
  PendingRequests requests;
  ConfigurationPtr configuration;
  std::optional<TimePoint> valid_until;
};

/// Grants leases on a control host. Pure; confined to one thread or guarded by its owner.
///
/// Evidence is the leader's answer to a request for its accepted number, which the leader gives
/// only after a quorum confirmed, later than the request's arrival, that it still leads. It counts
/// from when the request was SENT. The leader's own host asks itself in the same way.
class LeaseGranter {
 public:
  LeaseRequestId OnEvidenceRequestSent(TimePoint now);
  /// Returns false for a late, doubled or outdated answer.
  bool OnEvidence(LeaseRequestId request, Number accepted_number);

  /// Grants a lease of the configuration that this host has applied; nothing while the evidence is
  /// too old or this host has not yet applied the accepted number.
  std::optional<LeaseGrant> Grant(TimePoint now, Number applied_number) const;

 private:
  PendingRequests requests;
  std::optional<TimePoint> evidence_time;
  Number evidence_number = 0;
};

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_LEASE_H_
