#include "entry/caller_answer.h"

#include <nlohmann/json.hpp>

namespace masticrill::entry {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string RetryAfterSeconds(milliseconds retry_after) {
  const std::int64_t whole =
      (retry_after.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  return std::to_string(std::max<std::int64_t>(whole, 1));
}

Json RefusalBody(const Refusal& refusal, const RequestId& request) {
  Json body;
  body["kind"] = ToString(refusal.kind);
  body["message"] = refusal.message;
  if (refusal.execution == Execution::kUnknown) {
    body["not_run"] = NotRunText(refusal.execution);
  } else {
    body["not_run"] = refusal.execution == Execution::kNotRun;
  }
  body["request_id"] = request.Value();
  if (refusal.retry_after) {
    body["retry_after_ms"] = refusal.retry_after->count();
  }
  return body;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::vector<net::HeaderField> LabelHeaders(const AnswerLabels& labels) {
  std::vector<net::HeaderField> headers = {{"X-Request-Id", labels.request.Value()}};
  if (labels.version) {
    headers.push_back(
        {"X-Model-Version", labels.version->model.Value() + "@" + labels.version->version.Value()});
  }
  if (labels.session_token) {
    headers.push_back({"X-Session-Token", *labels.session_token});
  }
  if (labels.degraded) {
    headers.push_back({"X-Degraded", "true"});
  }
  if (labels.replayed) {
    headers.push_back({"X-Idempotent-Replay", "true"});
  }
  return headers;
}

net::HttpAnswer RefusalAnswer(const Refusal& refusal, const AnswerLabels& labels) {
  net::HttpAnswer answer;
  answer.status = HttpStatus(refusal.kind);
  answer.headers = LabelHeaders(labels);
  answer.headers.push_back({"Content-Type", "application/json"});
  if (refusal.retry_after) {
    answer.headers.push_back({"Retry-After", RetryAfterSeconds(*refusal.retry_after)});
  }
  answer.body = Dump(RefusalBody(refusal, labels.request));
  return answer;
}

std::string RefusalEvent(const Refusal& refusal, const RequestId& request) {
  const Json event = {{"error", RefusalBody(refusal, request)}};
  return "data: " + Dump(event) + "\n\n";
}

}  // namespace masticrill::entry
