#ifndef MASTICRILL_CONTROL_OPERATOR_API_H_
#define MASTICRILL_CONTROL_OPERATOR_API_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "control/fleet_view.h"
#include "control/group_joiner.h"
#include "control/group_monitor.h"
#include "control/lease_service.h"
#include "control/member_service.h"
#include "control/outcome_writer.h"
#include "control/proposer.h"
#include "control/replica_runner.h"
#include "control/upkeep.h"
#include "masticrill/common/metrics.h"
#include "masticrill/control/control_options.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/net/http_server.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Why an operator's request was refused.
enum class ApiRefusal {
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kMethodNotAllowed,
  kMalformed,
  kTooLarge,
  kPreconditionMissing,
  kStale,
  kInvalid,
  kConflict,
  kNoQuorum,
  kUnavailable,
  kUnknownOutcome,
};

inline constexpr std::array kAllApiRefusals = {
    ApiRefusal::kUnauthenticated,
    ApiRefusal::kForbidden,
    ApiRefusal::kNotFound,
    ApiRefusal::kMethodNotAllowed,
    ApiRefusal::kMalformed,
    ApiRefusal::kTooLarge,
    ApiRefusal::kPreconditionMissing,
    ApiRefusal::kStale,
    ApiRefusal::kInvalid,
    ApiRefusal::kConflict,
    ApiRefusal::kNoQuorum,
    ApiRefusal::kUnavailable,
    ApiRefusal::kUnknownOutcome,
};

std::string_view ToString(ApiRefusal refusal);
int HttpStatus(ApiRefusal refusal);

/// Components that the operators' interface uses. All must outlive it.
struct ApiParts {
  const ControlOptions& options;
  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  Proposer& proposer;
  LeaseService& leases;
  MemberService& members;
  FleetView& fleet;
  OutcomeWriter& outcomes;
  const Upkeep& upkeep;
  const PeerTransport& transport;
  const GroupMonitor& monitor;
  const GroupJoiner& joiner;
};

/// The operators' HTTP interface. Thread-safe.
class OperatorApi {
 public:
  explicit OperatorApi(const ApiParts& parts) : parts(parts) {}

  /// Changes nothing for a sender that has left.
  net::HttpAnswer Handle(const net::HttpRequest& request, const SenderWaits& sender_waits);

 private:
  using Answer = net::HttpAnswer;

  Answer Dispatch(const net::HttpRequest& request, const OperatorId& author);
  Answer GetConfig();
  Answer GetHistory();
  Answer GetStatus(bool current);
  Answer GetRequest(const std::string& id);
  Answer GetLedger();
  Answer GetRecords(const net::HttpRequest& request);
  Answer PatchConfig(const net::HttpRequest& request, const OperatorId& author);
  Answer Rollback(const net::HttpRequest& request, const OperatorId& author);
  Answer ChangeMembers(const net::HttpRequest& request);
  Answer Metrics();
  void WriteGroupMetrics(MetricsWriter& writer, const consensus::ReplicaStatus& status) const;

  std::optional<Answer> CheckChangeHeaders(const net::HttpRequest& request,
                                           config::Number& expected);
  Answer Commit(const state::Command& command);
  Answer ToAnswer(const state::PatchResult& result);
  Answer Refuse(ApiRefusal refusal, std::string_view message,
                std::optional<config::Number> current_number = std::nullopt,
                std::optional<seconds> retry_after = std::nullopt);
  Answer RefuseFor(const Error& error);
  /// Waits until the local state includes all that was committed before; see AwaitCurrentState.
  bool ReadIsCurrent();

  ApiParts parts;
  SystemClock clock;
  EnumCounter<ApiRefusal, kAllApiRefusals.size()> refusals{kAllApiRefusals};
  LatencySummary patch_latency;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OPERATOR_API_H_
