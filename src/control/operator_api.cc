#include "control/operator_api.h"

#include <charconv>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

#include "control/operator_access.h"
#include "control/operator_json.h"
#include "masticrill/common/hash.h"
#include "masticrill/config/permission.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr seconds kRetryAfter{1};
constexpr seconds kRetryAfterStateFull{60};
constexpr std::size_t kMaxRecordsPerAnswer = 1000;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr const char* kBootstrapAuthor = "bootstrap";

net::HttpAnswer JsonAnswer(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

net::HttpAnswer TextAnswer(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

/// The number in an entity tag: "N" in quotation marks.
std::optional<config::Number> ParseTag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(tag.substr(1, tag.size() - 2));
}

std::string ToTag(config::Number number) { return "\"" + std::to_string(number) + "\""; }

/// The value of a query parameter; empty when the query does not contain it.
std::string_view QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=') {
      return part.substr(name.size() + 1);
    }
  }
  return {};
}

/// The operator that sent a request, and its role in the configuration.
struct Caller {
  OperatorId id;
  config::OperatorRole role = config::OperatorRole::kRead;
};

std::optional<Caller> FindCaller(const config::Configuration& configuration, std::string_view key,
                                 std::string_view bootstrap_key) {
  if (key.empty()) {
    return std::nullopt;
  }
  if (const auto id = config::FindOperatorByKey(configuration, key)) {
    return Caller{*id, configuration.operators.at(*id).role};
  }
  if (configuration.operators.empty() && !bootstrap_key.empty() &&
      ConstantTimeEqual(key, bootstrap_key)) {
    return Caller{OperatorId(kBootstrapAuthor), config::OperatorRole::kChange};
  }
  return std::nullopt;
}

}  // namespace

net::HttpAnswer OperatorApi::Handle(const net::HttpRequest& request,
                                    const SenderWaits& sender_waits) {
  if (request.path == "/healthz") {
    const bool healthy = !this->parts.replica.Status().stopped;
    return healthy ? TextAnswer(200, "ok\n")
                   : TextAnswer(503, "The replica stopped after a storage error. See the log.\n");
  }
  if (request.path == "/readyz") {
    const bool ready = this->parts.leases.HasQuorumEvidence();
    return ready ? TextAnswer(200, "ok\n")
                 : TextAnswer(503, "No leader with a majority of the replicas is known.\n");
  }
  if (request.path == "/metrics") {
    return this->Metrics();
  }
  // Except for the status, keys are compared only with the configuration in force, never with one
  // that this host remembers from before it was cut off or restarted.
  const bool current = this->ReadIsCurrent();
  if (!current && request.path != kStatusPath) {
    return this->RefuseFor(ToError(CommitStatus::kNoQuorum));
  }
  const std::optional<Caller> caller =
      FindCaller(*this->parts.state.Configuration(), request.BearerKey(),
                 current ? this->parts.options.bootstrap_operator_key : "");
  if (!caller) {
    return this->Refuse(ApiRefusal::kUnauthenticated,
                        "No operator has this key. Send \"Authorization: Bearer KEY\" with the key "
                        "of an operator of the configuration.");
  }
  if (request.method != "GET" && caller->role != config::OperatorRole::kChange) {
    return this->Refuse(ApiRefusal::kForbidden, "The operator " + caller->id.Value() +
                                                    " may only read. Use a key with the role "
                                                    "change.");
  }
  if (request.path == kStatusPath && request.method == "GET") {
    return this->GetStatus(current);
  }
  // A change of members names no state that it follows, so a late one may undo a later one.
  if (request.method != "GET" && !sender_waits()) {
    return this->Refuse(ApiRefusal::kUnavailable,
                        "The sender closed its connection; nothing was changed.");
  }
  return this->Dispatch(request, caller->id);
}

net::HttpAnswer OperatorApi::Dispatch(const net::HttpRequest& request, const OperatorId& author) {
  const std::string& path = request.path;
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (request.body_status != net::BodyStatus::kWhole) {
    return this->Refuse(request.body_status == net::BodyStatus::kTooLarge ? ApiRefusal::kTooLarge
                                                                          : ApiRefusal::kMalformed,
                        "The body is too large or was cut off. Split the patch and send it again.");
  }
  if (path == "/v1/config" && is_get) {
    const bool history = QueryValue(request.query, "history") == "1";
    return history ? this->GetHistory() : this->GetConfig();
  }
  if (path == "/v1/config/history" && is_get) {
    return this->GetHistory();
  }
  if (path == "/v1/config" && request.method == "PATCH") {
    return this->PatchConfig(request, author);
  }
  if (path == "/v1/config/rollback" && is_post) {
    return this->Rollback(request, author);
  }
  if (path == "/v1/members" && is_post) {
    return this->ChangeMembers(request);
  }
  if (path == "/v1/ledger" && is_get) {
    return this->GetLedger();
  }
  if (path == "/v1/ledger/records" && is_get) {
    return this->GetRecords(request);
  }
  if (path.starts_with(kRequestsPath) && is_get) {
    return this->GetRequest(path.substr(kRequestsPath.size()));
  }
  for (const char* known : {"/v1/config", "/v1/config/history", "/v1/config/rollback",
                            "/v1/members", "/v1/status", "/v1/ledger", "/v1/ledger/records"}) {
    if (path == known) {
      return this->Refuse(ApiRefusal::kMethodNotAllowed,
                          "The path does not support this method. See the API documentation.");
    }
  }
  return this->Refuse(ApiRefusal::kNotFound, "There is no such path. See the API documentation.");
}

bool OperatorApi::ReadIsCurrent() {
  return AwaitCurrentState(this->parts.replica, this->parts.options.timings);
}

net::HttpAnswer OperatorApi::GetConfig() {
  config::NumberedDocument document = this->parts.state.Document();
  Answer answer = JsonAnswer(200, std::move(document.document));
  answer.headers.push_back({"ETag", ToTag(document.number)});
  return answer;
}

net::HttpAnswer OperatorApi::GetHistory() {
  return JsonAnswer(200, HistoryJson(this->parts.state.History()));
}

/// Returns the view of this host even when no leader confirms that it is current.
net::HttpAnswer OperatorApi::GetStatus(bool current) {
  const consensus::DriverStatus status = this->parts.replica.Status();
  const std::vector<net::NodeReport> nodes = LatestIncarnations(this->parts.fleet.CollectReports());
  const config::Number number = this->parts.state.Configuration()->number;
  return JsonAnswer(200,
                    StatusJson({.node = this->parts.options.node,
                                .failure_domain = this->parts.options.failure_domain,
                                .is_current = current,
                                .number = number,
                                .in_force_everywhere = NumberInForceEverywhere(nodes, number),
                                .replica = status.replica,
                                .applied = status.applied,
                                .stopped_because = status.stopped ? status.stopped->message : "",
                                .nodes = nodes}));
}

net::HttpAnswer OperatorApi::GetRequest(const std::string& id) {
  const std::vector<std::string> lines = this->parts.state.Explain(RequestId(id));
  if (lines.empty()) {
    return this->Refuse(ApiRefusal::kNotFound,
                        "No record of this request is kept. Check the id, or search the outcome "
                        "log's files for older ones.");
  }
  return JsonAnswer(200, ExplainJson(id, lines));
}

net::HttpAnswer OperatorApi::GetLedger() {
  return JsonAnswer(200, LedgerJson({.totals = this->parts.state.Totals(),
                                     .head = this->parts.state.ChainHead(),
                                     .verdict = this->parts.state.VerifyLedger(),
                                     .written_sequence = this->parts.outcomes.LastSequence(),
                                     .file_gaps = this->parts.outcomes.Gaps()}));
}

net::HttpAnswer OperatorApi::GetRecords(const net::HttpRequest& request) {
  const std::optional<std::uint64_t> after = ParseNumber(QueryValue(request.query, "after"));
  if (!after) {
    return this->Refuse(ApiRefusal::kMalformed,
                        "The parameter after is not a number. Send ?after=N, from 0.");
  }
  const state::ChainPoint head = this->parts.state.ChainHead();
  const std::vector<state::ChainedRecord> records =
      this->parts.state.RecordsAfter(*after, kMaxRecordsPerAnswer);
  if (records.empty() || records.front().sequence == *after + 1) {
    return JsonAnswer(200, RecordsJson(*after, records, head));
  }
  return HandleErrors(
      [&]() -> Result<Answer> {
        BOOST_LEAF_AUTO(older,
                        ReadOutcomes(this->parts.outcomes.Folder(), *after, kMaxRecordsPerAnswer));
        return JsonAnswer(200, RecordsJson(*after, older.empty() ? records : older, head));
      },
      [&](const Error& error) { return this->RefuseFor(error); });
}

/// Checks the headers and the body of a change of the configuration; sets `expected` from If-Match.
std::optional<net::HttpAnswer> OperatorApi::CheckChangeHeaders(const net::HttpRequest& request,
                                                               config::Number& expected) {
  const auto tag = request.Header("If-Match");
  if (!tag) {
    return this->Refuse(ApiRefusal::kPreconditionMissing,
                        "If-Match is missing. Read the configuration and send If-Match: \"N\" with "
                        "the number of its ETag.");
  }
  const std::optional<config::Number> number = ParseTag(*tag);
  if (!number) {
    return this->Refuse(ApiRefusal::kMalformed,
                        "If-Match is not a number in quotation marks. Send If-Match: \"N\".");
  }
  const auto key = request.Header("Idempotency-Key");
  if (!key || key->empty() || key->size() > kMaxKeyBytes) {
    return this->Refuse(ApiRefusal::kMalformed,
                        "Idempotency-Key is missing or longer than 256 bytes. Send a new one for "
                        "each change, and the same one for a resend.");
  }
  if (!IsJson(request.body)) {
    return this->Refuse(ApiRefusal::kMalformed,
                        "The body is not valid JSON. Send a JSON document.");
  }
  expected = *number;
  return std::nullopt;
}

net::HttpAnswer OperatorApi::PatchConfig(const net::HttpRequest& request,
                                         const OperatorId& author) {
  config::Number expected = 0;
  if (std::optional<Answer> refused = this->CheckChangeHeaders(request, expected)) {
    return *std::move(refused);
  }
  return this->Commit(state::PatchConfiguration{
      .patch_id = state::PatchId(std::string(*request.Header("Idempotency-Key"))),
      .expected_number = expected,
      .merge_patch = request.body,
      .author = author,
      .reason = std::string(request.Header("X-Change-Reason").value_or("")),
      .at = this->clock.WallNow()});
}

net::HttpAnswer OperatorApi::Rollback(const net::HttpRequest& request, const OperatorId& author) {
  config::Number expected = 0;
  if (std::optional<Answer> refused = this->CheckChangeHeaders(request, expected)) {
    return *std::move(refused);
  }
  return HandleErrors(
      [&]() -> Result<Answer> {
        BOOST_LEAF_AUTO(to_number, ParseRollback(request.body));
        return this->Commit(state::RollbackConfiguration{
            .patch_id = state::PatchId(std::string(*request.Header("Idempotency-Key"))),
            .expected_number = expected,
            .to_number = to_number,
            .author = author,
            .reason = std::string(request.Header("X-Change-Reason").value_or("")),
            .at = this->clock.WallNow()});
      },
      [&](const Error& error) { return this->RefuseFor(error); });
}

net::HttpAnswer OperatorApi::Commit(const state::Command& command) {
  const TimePoint begin = this->clock.Now();
  const CommitOutcome outcome =
      this->parts.proposer.ProposeAndWait({state::EncodeCommand(command)});
  if (outcome.status != CommitStatus::kCommitted) {
    return this->RefuseFor(ToError(outcome.status));
  }
  this->patch_latency.Record(this->clock.Now() - begin);
  return HandleErrors(
      [&]() -> Result<Answer> {
        BOOST_LEAF_AUTO(result, state::DecodeResult(outcome.results.front()));
        if (const auto* patched = std::get_if<state::PatchResult>(&result)) {
          return this->ToAnswer(*patched);
        }
        if (const auto* rejected = std::get_if<state::RejectedCommand>(&result)) {
          return Fail(rejected->kind, rejected->message);
        }
        return Fail(ErrorKind::kInternal,
                    "The change has a result of an unexpected type. Report this bug.");
      },
      [&](const Error& error) { return this->RefuseFor(error); });
}

net::HttpAnswer OperatorApi::ToAnswer(const state::PatchResult& result) {
  switch (result.status) {
    case state::PatchStatus::kAccepted: {
      Answer answer = JsonAnswer(200, NumberJson(result.number));
      answer.headers.push_back({"ETag", ToTag(result.number)});
      return answer;
    }
    case state::PatchStatus::kStale:
      return this->Refuse(ApiRefusal::kStale, result.message, result.number);
    case state::PatchStatus::kInvalid:
      return this->Refuse(ApiRefusal::kInvalid, result.message, result.number);
    case state::PatchStatus::kIdConflict:
      return this->Refuse(ApiRefusal::kConflict, result.message, result.number);
    case state::PatchStatus::kFull:
      break;
  }
  return this->Refuse(ApiRefusal::kUnavailable, result.message, result.number,
                      kRetryAfterStateFull);
}

net::HttpAnswer OperatorApi::ChangeMembers(const net::HttpRequest& request) {
  return HandleErrors(
      [&]() -> Result<Answer> {
        BOOST_LEAF_AUTO(change, ParseMemberRequest(request.body));
        BOOST_LEAF_AUTO(message, this->parts.members.Change(change));
        return JsonAnswer(200, MessageJson(message));
      },
      [&](const Error& error) { return this->RefuseFor(error); });
}

net::HttpAnswer OperatorApi::Refuse(ApiRefusal refusal, std::string_view message,
                                    std::optional<config::Number> current_number,
                                    std::optional<seconds> retry_after) {
  this->refusals.Add(refusal);
  Answer answer =
      JsonAnswer(HttpStatus(refusal), ErrorJson(ToString(refusal), message, current_number));
  if (current_number) {
    answer.headers.push_back({"ETag", ToTag(*current_number)});
  }
  if (retry_after) {
    answer.headers.push_back({"Retry-After", std::to_string(retry_after->count())});
  }
  if (refusal == ApiRefusal::kUnauthenticated) {
    answer.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  return answer;
}

net::HttpAnswer OperatorApi::RefuseFor(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kMalformedMessage:
      return this->Refuse(ApiRefusal::kMalformed, error.message);
    case ErrorKind::kInvalidConfiguration:
      return this->Refuse(ApiRefusal::kInvalid, error.message);
    case ErrorKind::kNotFound:
      return this->Refuse(ApiRefusal::kNotFound, error.message);
    case ErrorKind::kConflict:
      return this->Refuse(ApiRefusal::kConflict, error.message);
    case ErrorKind::kTooLarge:
      return this->Refuse(ApiRefusal::kTooLarge, error.message);
    case ErrorKind::kNoQuorum:
    case ErrorKind::kNotLeader:
      return this->Refuse(ApiRefusal::kNoQuorum, error.message, std::nullopt, kRetryAfter);
    case ErrorKind::kTimeout:
      return this->Refuse(ApiRefusal::kUnknownOutcome, error.message, std::nullopt, kRetryAfter);
    default:
      return this->Refuse(ApiRefusal::kUnavailable, error.message, std::nullopt, kRetryAfter);
  }
}

}  // namespace masticrill::control
