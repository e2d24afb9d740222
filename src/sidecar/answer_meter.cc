#include "sidecar/answer_meter.h"

#include <nlohmann/json.hpp>

namespace masticrill::sidecar {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";
/// Longest body whose tokens are counted. Usual answers are far smaller.
constexpr std::size_t kMaxMeteredBytes = std::size_t{4} << 20;

std::uint64_t UsageField(const Json& answer, const char* name) {
  const auto usage = answer.find("usage");
  if (usage == answer.end() || !usage->is_object()) {
    return 0;
  }
  const auto field = usage->find(name);
  return field != usage->end() && field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
}

}  // namespace

void AnswerMeter::Add(std::string_view data) {
  if (this->event_stream) {
    this->AddEventLine(data);
    return;
  }
  this->content_seen = this->content_seen || !data.empty();
  if (this->body.size() + data.size() > kMaxMeteredBytes) {
    return;
  }
  this->body += data;
  const Json answer = data.ends_with('}') ? Json::parse(this->body, nullptr, false) : Json();
  if (answer.is_object()) {
    this->prompt_tokens = UsageField(answer, "prompt_tokens");
    this->generated_tokens = UsageField(answer, "completion_tokens");
  }
}

void AnswerMeter::AddEventLine(std::string_view line) {
  if (!line.starts_with(kDataPrefix)) {
    return;
  }
  line.remove_prefix(kDataPrefix.size());
  if (line.starts_with(kDoneMarker)) {
    this->done_marker_seen = true;
    return;
  }
  this->content_seen = true;
  // Every event carries one token; parsing each event would cost more than relaying it.
  if (line.find("\"usage\"") == std::string_view::npos) {
    ++this->generated_tokens;
    return;
  }
  const Json event = Json::parse(line, nullptr, false);
  if (!event.is_object()) {
    return;
  }
  this->prompt_tokens = UsageField(event, "prompt_tokens");
  if (const std::uint64_t tokens = UsageField(event, "completion_tokens"); tokens > 0) {
    this->generated_tokens = tokens;
  }
}

bool AnswerMeter::IsComplete() const { return !this->event_stream || this->done_marker_seen; }

}  // namespace masticrill::sidecar
