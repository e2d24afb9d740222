#ifndef MASTICRILL_CONTROL_OPERATOR_JSON_H_
#define MASTICRILL_CONTROL_OPERATOR_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/consensus/replica_types.h"
#include "masticrill/net/messages.h"
#include "masticrill/state/replicated_state.h"

/// The JSON texts of the operators' interface.
namespace masticrill::control {

/// Contents of GET /v1/status.
struct StatusView {
  NodeId node;
  FailureDomainId failure_domain;
  /// Whether a leader confirmed this view; otherwise it may be out of date.
  bool is_current = false;
  std::uint64_t number = 0;
  std::uint64_t in_force_everywhere = 0;
  consensus::ReplicaStatus replica;
  std::uint64_t applied = 0;
  std::string stopped_because;
  std::vector<net::NodeReport> nodes;
};

/// Contents of GET /v1/ledger.
struct LedgerView {
  state::LedgerTotals totals;
  state::ChainPoint head;
  state::ChainVerdict verdict;
  std::uint64_t written_sequence = 0;
  std::uint64_t file_gaps = 0;
};

std::string StatusJson(const StatusView& view);
std::string HistoryJson(const std::vector<state::HistoryEntry>& history);
std::string LedgerJson(const LedgerView& view);
std::string RecordsJson(std::uint64_t after, const std::vector<state::ChainedRecord>& records,
                        const state::ChainPoint& head);
std::string ExplainJson(const std::string& request, const std::vector<std::string>& lines);
std::string NumberJson(std::uint64_t number);
std::string MessageJson(std::string_view message);
/// The body of an error response.
std::string ErrorJson(std::string_view kind, std::string_view message,
                      std::optional<std::uint64_t> current_number);

/// Whether the text is one JSON value.
bool IsJson(std::string_view text);

/// The body of POST /v1/config/rollback. Fails with kInvalidArgument.
Result<std::uint64_t> ParseRollback(std::string_view body);
/// The body of POST /v1/members. Fails with kInvalidArgument.
Result<net::MemberRequest> ParseMemberRequest(std::string_view body);

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_OPERATOR_JSON_H_
