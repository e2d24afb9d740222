#include "masticrill/config/lease.h"

#include <algorithm>

namespace masticrill::config {
namespace {

constexpr std::int64_t kMillion = 1'000'000;

/// The longest time that this node's clock may count for a span of the other node's clock.
Duration ShortenByDrift(Duration length) {
  return length - length * (2 * kMaxClockDriftPpm) / kMillion;
}

}  // namespace

Duration AcknowledgementDelay(Duration bound) {
  return std::clamp(kLeaseLength - bound, Duration::zero(), kLeaseLength);
}

LeaseRequestId PendingRequests::Add(TimePoint now) {
  if (this->pending.size() == kMaxPendingLeaseRequests) {
    this->pending.pop_front();
  }
  this->pending.push_back({++this->last_id, now});
  return this->last_id;
}

std::optional<TimePoint> PendingRequests::Take(LeaseRequestId request) {
  while (!this->pending.empty() && this->pending.front().id < request) {
    this->pending.pop_front();
  }
  if (this->pending.empty() || this->pending.front().id != request) {
    return std::nullopt;
  }
  const TimePoint sent = this->pending.front().sent;
  this->pending.pop_front();
  return sent;
}

void PendingRequests::Clear() { this->pending.clear(); }

LeaseRequestId LeaseHolder::OnRequestSent(TimePoint now) { return this->requests.Add(now); }

Number LeaseHolder::KnownNumber() const {
  return this->configuration ? this->configuration->number : 0;
}

JudgedGrant LeaseHolder::Judge(LeaseRequestId request, const LeaseGrant& grant,
                               const ConfigurationPtr& configuration) {
  const std::optional<TimePoint> sent = this->requests.Take(request);
  if (!sent) {
    return {GrantVerdict::kUnknownRequest, {}};
  }
  if (grant.number < this->KnownNumber()) {
    return {GrantVerdict::kOlderNumber, {}};
  }
  const bool is_newer = grant.number > this->KnownNumber() || !this->configuration;
  if (is_newer && (!configuration || configuration->number != grant.number)) {
    return {GrantVerdict::kNeedsConfiguration, {}};
  }
  const Duration length = std::clamp(grant.length, Duration::zero(), kLeaseLength);
  const TimePoint until = *sent + ShortenByDrift(length);
  return {GrantVerdict::kTaken,
          {is_newer ? configuration : this->configuration,
           std::max(this->valid_until.value_or(until), until)}};
}

void LeaseHolder::Take(const Lease& lease) {
  this->configuration = lease.configuration;
  this->valid_until = lease.valid_until;
}

GrantVerdict LeaseHolder::OnGrant(LeaseRequestId request, const LeaseGrant& grant,
                                  const ConfigurationPtr& configuration) {
  const JudgedGrant judged = this->Judge(request, grant, configuration);
  if (judged.verdict == GrantVerdict::kTaken) {
    this->Take(judged.lease);
  }
  return judged.verdict;
}

LeaseCheck LeaseHolder::Check(TimePoint now) const {
  if (this->valid_until && now < *this->valid_until) {
    return {.valid = true};
  }
  return {.valid = false,
          .refusal = RefusalKind::kNoLease,
          .retry_after = duration_cast<milliseconds>(kLeaseRenewInterval)};
}

LeaseRequestId LeaseGranter::OnEvidenceRequestSent(TimePoint now) {
  return this->requests.Add(now);
}

bool LeaseGranter::OnEvidence(LeaseRequestId request, Number accepted_number) {
  const std::optional<TimePoint> sent = this->requests.Take(request);
  if (!sent || accepted_number < this->evidence_number) {
    return false;
  }
  this->evidence_time = *sent;
  this->evidence_number = accepted_number;
  return true;
}

std::optional<LeaseGrant> LeaseGranter::Grant(TimePoint now, Number applied_number) const {
  if (!this->evidence_time || applied_number < this->evidence_number) {
    return std::nullopt;
  }
  const Duration left = *this->evidence_time + kLeaseLength - now;
  if (left < kMinLeaseGrant) {
    return std::nullopt;
  }
  return LeaseGrant{applied_number, left};
}

}  // namespace masticrill::config
