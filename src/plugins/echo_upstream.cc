#include <nlohmann/json.hpp>
#include <sstream>

#include "masticrill/kernel/upstream_plugin.h"

namespace masticrill::plugins {
namespace {

using kernel::Cancellation;
using kernel::UpstreamCall;
using kernel::UpstreamCaller;
using kernel::UpstreamEnd;
using kernel::UpstreamOptions;
using kernel::UpstreamSink;
using Json = nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back((words.empty() ? "" : " ") + word);
  }
  return words;
}

/// The text of the last message of a chat request.
std::string LastMessage(const Json& request) {
  const auto messages = request.find("messages");
  if (messages == request.end() || !messages->is_array() || messages->empty()) {
    return "";
  }
  const Json& content = messages->back().value("content", Json());
  return content.is_string() ? content.get<std::string>() : "";
}

std::string StreamEvent(const std::string& model, const std::string& token) {
  const Json event = {{"object", "chat.completion.chunk"},
                      {"model", model},
                      {"choices", Json::array({{{"index", 0}, {"delta", {{"content", token}}}}})}};
  return "data: " + event.dump() + "\n\n";
}

std::string WholeAnswer(const std::string& model, const std::string& text, std::size_t tokens) {
  const Json answer = {
      {"object", "chat.completion"},
      {"model", model},
      {"choices", Json::array({{{"index", 0},
                                {"finish_reason", "stop"},
                                {"message", {{"role", "assistant"}, {"content", text}}}}})},
      {"usage", {{"prompt_tokens", tokens}, {"completion_tokens", tokens}}}};
  return answer.dump();
}

UpstreamEnd EchoChat(const Json& request, const UpstreamSink& sink) {
  const std::string model = request.value("model", "");
  const std::string text = LastMessage(request);
  const std::vector<std::string> words = Words(text);
  if (!request.value("stream", false)) {
    sink.on_head(200, {{"Content-Type", "application/json"}});
    return sink.on_data(WholeAnswer(model, text, words.size())) ? UpstreamEnd::kComplete
                                                                : UpstreamEnd::kCancelled;
  }
  sink.on_head(200, {{"Content-Type", "text/event-stream"}});
  for (const std::string& word : words) {
    if (!sink.on_data(StreamEvent(model, word))) {
      return UpstreamEnd::kCancelled;
    }
  }
  return sink.on_data("data: [DONE]\n\n") ? UpstreamEnd::kComplete : UpstreamEnd::kCancelled;
}

/// Answers a chat request with the words of its last message, and any other call with its body.
UpstreamEnd Echo(const UpstreamCall& call, const UpstreamSink& sink) {
  if (call.path == kChatPath) {
    if (const Json request = Json::parse(call.body, nullptr, false); request.is_object()) {
      return EchoChat(request, sink);
    }
  }
  sink.on_head(200, {{"Content-Type", "application/json"}});
  const Json answer = {{"method", call.method}, {"path", call.path}, {"body", call.body}};
  return sink.on_data(answer.dump(-1, ' ', false, Json::error_handler_t::replace))
             ? UpstreamEnd::kComplete
             : UpstreamEnd::kCancelled;
}

Result<UpstreamCaller> MakeEchoUpstream(const UpstreamOptions& /*options*/) {
  return UpstreamCaller([](const UpstreamCall& call, Cancellation& /*cancellation*/,
                           const UpstreamSink& sink) { return Echo(call, sink); });
}

const kernel::UpstreamRegistration kRegistration("echo", MakeEchoUpstream);

}  // namespace
}  // namespace masticrill::plugins
