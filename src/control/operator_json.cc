#include "control/operator_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "masticrill/common/refusal.h"
#include "masticrill/common/request_class.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

using Json = nlohmann::ordered_json;

/// Text that is not valid UTF-8 is replaced, so that the output never fails.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view RoleName(net::NodeRole role) {
  switch (role) {
    case net::NodeRole::kEntry:
      return "entry";
    case net::NodeRole::kSidecar:
      return "sidecar";
    case net::NodeRole::kControl:
      return "control";
    case net::NodeRole::kOperator:
      return "operator";
  }
  return "unknown";
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4U];
    hex += kDigits[value & 0xFU];
  }
  return hex;
}

Json ReplicaJson(const consensus::ReplicaId& replica) {
  return {{"node", replica.node.Value()}, {"identity", replica.identity.Value()}};
}

Json MembersJson(const std::vector<consensus::ReplicaId>& members) {
  Json json = Json::array();
  for (const consensus::ReplicaId& member : members) {
    json.push_back(ReplicaJson(member));
  }
  return json;
}

Json ReplicaStatusJson(const StatusView& view) {
  Json json = {{"node", view.node.Value()},
               {"failure_domain", view.failure_domain.Value()},
               {"identity", view.replica.id.identity.Value()},
               {"role", consensus::ToString(view.replica.role)},
               {"term", view.replica.term},
               {"leader", view.replica.leader.node.Value()},
               {"commit", view.replica.commit},
               {"applied", view.applied},
               {"last_index", view.replica.last_index},
               {"snapshot_index", view.replica.snapshot_index},
               {"voters", MembersJson(view.replica.membership.voters)},
               {"learners", MembersJson(view.replica.membership.learners)}};
  Json peers = Json::array();
  for (const consensus::PeerStatus& peer : view.replica.peers) {
    peers.push_back({{"node", peer.replica.node.Value()},
                     {"match", peer.match},
                     {"caught_up", peer.caught_up}});
  }
  json["peers"] = std::move(peers);
  if (!view.stopped_because.empty()) {
    json["stopped"] = view.stopped_because;
  }
  return json;
}

Json NodeJson(const net::NodeReport& report) {
  return {{"node", report.node.Value()},
          {"role", RoleName(report.role)},
          {"incarnation", report.incarnation.Value()},
          {"address", report.address},
          {"number", report.known_number},
          {"last_lease_request_ms_ago", report.age_ms},
          {"control_host", report.control_host.Value()}};
}

Json CountsJson(const std::map<RefusalKind, std::uint64_t>& counts) {
  Json json = Json::object();
  for (const auto& [kind, count] : counts) {
    json[std::string(ToString(kind))] = count;
  }
  return json;
}

Json BalanceJson(const state::TeamClass& key, const state::RequestBalance& balance) {
  return {{"team", key.team.Value()},
          {"class", ToString(key.request_class)},
          {"received", balance.received},
          {"answered", balance.ended.answered},
          {"refused", CountsJson(balance.ended.refused)},
          {"failed", CountsJson(balance.ended.failed)},
          {"failed_entry_lost", balance.ended.failed_entry_lost},
          {"open", balance.open}};
}

Json BillingJson(const state::BillingKey& key, const state::BillingTotals& totals) {
  return {{"team", key.team.Value()},
          {"model", key.model_version.model.Value()},
          {"version", key.model_version.version.Value()},
          {"requests", totals.requests},
          {"prompt_tokens", totals.prompt_tokens},
          {"generated_tokens", totals.generated_tokens},
          {"cost", totals.cost}};
}

/// The JSON object in the body; nullopt when the body is not an object.
std::optional<Json> ParseObject(std::string_view body) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return json;
}

std::string TextMember(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

std::string StatusJson(const StatusView& view) {
  Json nodes = Json::array();
  for (const net::NodeReport& report : view.nodes) {
    nodes.push_back(NodeJson(report));
  }
  return Dump({{"current", view.is_current},
               {"number", view.number},
               {"in_force_everywhere", view.in_force_everywhere},
               {"replica", ReplicaStatusJson(view)},
               {"nodes", std::move(nodes)}});
}

const char* KindName(state::ChangeKind kind) {
  switch (kind) {
    case state::ChangeKind::kRollback:
      return "rollback";
    case state::ChangeKind::kDeclaration:
      return "declaration";
    case state::ChangeKind::kPatch:
      break;
  }
  return "patch";
}

std::string HistoryJson(const std::vector<state::HistoryEntry>& history) {
  Json entries = Json::array();
  for (const state::HistoryEntry& entry : history) {
    entries.push_back({{"number", entry.number},
                       {"kind", KindName(entry.kind)},
                       {"patch_id", entry.patch_id.Value()},
                       {"author", entry.author.Value()},
                       {"reason", entry.reason},
                       {"at_ms", entry.at},
                       {"patch", Json::parse(entry.patch, nullptr, false)}});
  }
  return Dump({{"history", std::move(entries)}});
}

std::string LedgerJson(const LedgerView& view) {
  Json requests = Json::array();
  for (const auto& [key, balance] : view.totals.requests) {
    requests.push_back(BalanceJson(key, balance));
  }
  Json billing = Json::array();
  for (const auto& [key, totals] : view.totals.billing) {
    billing.push_back(BillingJson(key, totals));
  }
  return Dump({{"requests", std::move(requests)},
               {"billing", std::move(billing)},
               {"repeated_charges", view.totals.repeated_charges},
               {"charge_discrepancies", view.totals.charge_discrepancies},
               {"late_charges", view.totals.late_charges},
               {"head", {{"sequence", view.head.sequence}, {"hash", view.head.hash}}},
               {"verification",
                {{"intact", view.verdict.intact},
                 {"first_bad_sequence", view.verdict.first_bad_sequence},
                 {"message", view.verdict.message}}},
               {"files", {{"last_sequence", view.written_sequence}, {"gaps", view.file_gaps}}}});
}

std::string RecordsJson(std::uint64_t after, const std::vector<state::ChainedRecord>& records,
                        const state::ChainPoint& head) {
  Json list = Json::array();
  for (const state::ChainedRecord& record : records) {
    list.push_back({{"sequence", record.sequence},
                    {"hash", record.hash},
                    {"text", state::ToLine(record)},
                    {"encoded", ToHex(state::EncodeRecord(record))}});
  }
  return Dump({{"after", after},
               {"records", std::move(list)},
               {"head", {{"sequence", head.sequence}, {"hash", head.hash}}}});
}

std::string ExplainJson(const std::string& request, const std::vector<std::string>& lines) {
  return Dump({{"request", request}, {"lines", lines}});
}

std::string NumberJson(std::uint64_t number) { return Dump({{"number", number}}); }

std::string MessageJson(std::string_view message) { return Dump({{"message", message}}); }

std::string ErrorJson(std::string_view kind, std::string_view message,
                      std::optional<std::uint64_t> current_number) {
  Json json = {{"kind", kind}, {"message", message}};
  if (current_number) {
    json["number"] = *current_number;
  }
  return Dump(json);
}

bool IsJson(std::string_view text) { return Json::accept(text); }

Result<std::uint64_t> ParseRollback(std::string_view body) {
  const std::optional<Json> json = ParseObject(body);
  if (!json || json->size() != 1 || !json->contains("to") || !json->at("to").is_number_unsigned()) {
    return Fail(ErrorKind::kInvalidArgument,
                "The body is not {\"to\": N}. Send the number to roll back to.");
  }
  return json->at("to").get<std::uint64_t>();
}

Result<net::MemberRequest> ParseMemberRequest(std::string_view body) {
  constexpr const char* kRemedy =
      "The body is not {\"action\": \"add\", \"id\": NODE, \"address\": \"IP:PORT\"} or "
      "{\"action\": \"remove\", \"id\": NODE}.";
  const std::optional<Json> json = ParseObject(body);
  if (!json) {
    return Fail(ErrorKind::kInvalidArgument, kRemedy);
  }
  const std::string action = TextMember(*json, "action");
  net::MemberRequest request{
      .action = action == "remove" ? net::MemberAction::kRemove : net::MemberAction::kAdd,
      .node = NodeId(TextMember(*json, "id")),
      .address = TextMember(*json, "address")};
  const bool needs_address = action != "remove";
  if ((action != "add" && action != "remove") || request.node.Empty() ||
      (needs_address && request.address.empty())) {
    return Fail(ErrorKind::kInvalidArgument, kRemedy);
  }
  return request;
}

}  // namespace masticrill::control
