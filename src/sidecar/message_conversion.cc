#include "sidecar/message_conversion.h"

#include <algorithm>
#include <numeric>

#include "masticrill/config/cost.h"
#include "masticrill/net/message_codec.h"

namespace masticrill::sidecar {

AttemptSpec ToAttemptSpec(const net::AttemptRequest& request,
                          const config::ConfigurationPtr& configuration, TimePoint now) {
  AttemptSpec spec;
  spec.attempt = request.attempt;
  spec.request = request.request;
  spec.team = request.team;
  spec.request_class = request.request_class;
  spec.version = request.model_version;
  spec.service = request.service;
  spec.at_most_once = request.at_most_once;
  spec.incarnation = request.incarnation;
  spec.deadline = now + milliseconds(request.deadline_left_ms);
  spec.config_number = request.configuration_number;
  spec.expected_tokens = std::max<std::uint32_t>(request.expected_tokens, 1);
  if (configuration != nullptr) {
    if (const auto team = configuration->teams.find(request.team);
        team != configuration->teams.end()) {
      spec.team_weight = team->second.weight;
    }
  }
  return spec;
}

net::AttemptRefusalCode ToRefusalCode(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kMalformed:
    case RefuseReason::kStaleIncarnation:
      return net::AttemptRefusalCode::kMalformed;
    case RefuseReason::kDuplicate:
      return net::AttemptRefusalCode::kDuplicate;
    case RefuseReason::kRegistryFull:
    case RefuseReason::kReceiptsFull:
    case RefuseReason::kQueueFull:
    case RefuseReason::kQueueTooLong:
    case RefuseReason::kDisplaced:
      return net::AttemptRefusalCode::kFull;
    case RefuseReason::kNoLease:
    case RefuseReason::kConfigurationBehind:
      return net::AttemptRefusalCode::kNoLease;
    case RefuseReason::kNotAllowed:
    case RefuseReason::kUnknownTarget:
      return net::AttemptRefusalCode::kNotAllowed;
    case RefuseReason::kVersionWithdrawn:
      return net::AttemptRefusalCode::kWithdrawn;
    case RefuseReason::kNotServed:
    case RefuseReason::kDomainOut:
    case RefuseReason::kUpstreamLeaving:
      return net::AttemptRefusalCode::kOutOfService;
    case RefuseReason::kStopping:
      return net::AttemptRefusalCode::kStopping;
    case RefuseReason::kDeadlineTooShort:
    case RefuseReason::kDeadlineExceeded:
      return net::AttemptRefusalCode::kDeadline;
    case RefuseReason::kFenced:
    case RefuseReason::kCancelled:
      return net::AttemptRefusalCode::kCancelled;
  }
  return net::AttemptRefusalCode::kMalformed;
}

net::FenceReply ToFenceReply(const FenceResult& result) {
  net::FenceReply reply;
  switch (result.state) {
    case FenceState::kNeverStartedNowFenced:
      reply.status = net::FenceStatus::kNeverStarted;
      return reply;
    case FenceState::kRunning:
    case FenceState::kTryLater:
      reply.status = net::FenceStatus::kRunning;
      return reply;
    case FenceState::kOutcomeUnknown:
      reply.status = net::FenceStatus::kUnknownIncarnation;
      return reply;
    case FenceState::kDone:
      break;
  }
  reply.status = net::FenceStatus::kDone;
  reply.outcome = result.outcome == EngineOutcome::kOk ? net::AttemptOutcome::kAnswered
                                                       : net::AttemptOutcome::kReset;
  if (!result.answer) {
    return reply;
  }
  return HandleErrors([&] { return net::DecodePayload<net::FenceReply>(*result.answer); },
                      [&](const Error&) { return reply; });
}

net::LoadReport ToNetLoadReport(const LoadReport& load, const UpstreamId& upstream,
                                WallTimeMs started_at) {
  net::LoadReport report;
  report.upstream = upstream;
  report.incarnation = load.incarnation;
  report.started_at_ms = static_cast<std::uint64_t>(started_at);
  report.sequence = load.sequence;
  report.in_flight = load.in_flight;
  report.queued = std::accumulate(load.queued.begin(), load.queued.end(), 0U);
  report.limit = load.draining ? 0 : load.limit;
  report.cold = load.cold;
  return report;
}

state::Charge ToCharge(const Receipt& receipt, const config::ConfigurationPtr& configuration,
                       WallTimeMs now) {
  state::Charge charge;
  charge.line.request = receipt.request;
  charge.line.team = receipt.team;
  if (receipt.version) {
    charge.line.model_version = *receipt.version;
  }
  charge.line.generated_tokens = receipt.tokens;
  if (receipt.version && configuration != nullptr) {
    charge.line.cost = config::CostOf(*configuration, *receipt.version, receipt.tokens);
  }
  charge.line.reporter = state::ChargeReporter::kSidecar;
  charge.line.received_at = now;
  charge.at = now;
  return charge;
}

}  // namespace masticrill::sidecar
