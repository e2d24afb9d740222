#include "entry/caller_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "masticrill/common/hash.h"
#include "masticrill/config/permission.h"

namespace masticrill::entry {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameBytes = 256;
/// The part of a prompt by which upstreams' caches are matched.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::uint32_t kDefaultExpectedTokens = 128;
constexpr std::uint32_t kMaxExpectedTokens = 1U << 20U;

Refusal BadRequest(std::string message) {
  return {RefusalKind::kBadRequest, Execution::kNotRun, std::move(message), std::nullopt};
}

std::optional<Refusal> ReadBodyStatus(const net::HttpRequest& request) {
  switch (request.body_status) {
    case net::BodyStatus::kWhole:
      return std::nullopt;
    case net::BodyStatus::kTooLarge:
      return Refusal{RefusalKind::kTooLarge, Execution::kNotRun,
                     "The body is over the size limit. Send a shorter one.", std::nullopt};
    case net::BodyStatus::kIncomplete:
      return BadRequest("The body did not come whole. Send it again.");
  }
  return std::nullopt;
}

std::optional<Refusal> ReadClass(const net::HttpRequest& request, CallerRequest& caller) {
  const std::optional<std::string_view> text = request.Header("X-Request-Class");
  if (!text) {
    caller.traits.request_class = RequestClass::kCaption;
    return std::nullopt;
  }
  const std::optional<RequestClass> request_class = ParseRequestClass(*text);
  if (!request_class) {
    return BadRequest("X-Request-Class is unknown. Use brief, caption or tag.");
  }
  caller.traits.request_class = *request_class;
  return std::nullopt;
}

std::optional<Refusal> ReadTimeout(const net::HttpRequest& request, const CallerLimits& limits,
                                   TimePoint now, CallerRequest& caller) {
  milliseconds timeout = limits.default_timeout;
  if (const std::optional<std::string_view> text = request.Header("X-Request-Timeout-Ms"); text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value <= 0) {
      return BadRequest("X-Request-Timeout-Ms is no positive whole number. Send milliseconds.");
    }
    timeout = std::min(milliseconds(value), limits.max_timeout);
  }
  caller.traits.received = now;
  caller.traits.deadline = now + timeout;
  return std::nullopt;
}

std::optional<Refusal> ReadNames(const net::HttpRequest& request, CallerRequest& caller) {
  if (const std::optional<std::string_view> session = request.Header("X-Session-Id"); session) {
    if (session->empty() || session->size() > kMaxNameBytes) {
      return BadRequest("X-Session-Id must have 1 to 256 bytes.");
    }
    caller.traits.session = SessionId(std::string(*session));
  }
  if (const std::optional<std::string_view> key = request.Header("Idempotency-Key"); key) {
    if (key->empty() || key->size() > kMaxNameBytes) {
      return BadRequest("Idempotency-Key must have 1 to 256 bytes.");
    }
    caller.idempotency_key = IdempotencyKey(std::string(*key));
    caller.traits.at_most_once = true;
  }
  return std::nullopt;
}

routing::RequestTarget ToTarget(const config::RequestTarget& target) {
  if (target.kind == config::TargetKind::kCascade) {
    return routing::CascadeTarget{target.cascade};
  }
  routing::ModelTarget model{target.model, std::nullopt};
  if (target.kind == config::TargetKind::kModelVersion) {
    model.version = target.version;
  }
  return model;
}

std::optional<Refusal> ReadChat(const net::HttpRequest& request,
                                const config::Configuration& configuration, CallerRequest& caller) {
  if (request.method != "POST") {
    return BadRequest("Use POST for chat completions.");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return BadRequest("The body is no JSON object. Send a chat completion request.");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return BadRequest("The member 'model' is missing or no string. Name a model or a cascade.");
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return BadRequest("The member 'messages' is missing or no list. Send at least one message.");
  }
  if (const auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) {
      return BadRequest("The member 'stream' is no boolean. Send true or false.");
    }
    caller.stream = stream->get<bool>();
  }
  caller.traits.expected_tokens = kDefaultExpectedTokens;
  if (const auto limit = body.find("max_tokens"); limit != body.end()) {
    if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() == 0 ||
        limit->get<std::uint64_t>() > kMaxExpectedTokens) {
      return BadRequest("The member 'max_tokens' must be a whole number from 1 to 1048576.");
    }
    caller.traits.expected_tokens = limit->get<std::uint32_t>();
  }
  const std::optional<config::RequestTarget> target =
      config::ResolveTarget(configuration, model->get<std::string>());
  if (!target) {
    return Refusal{RefusalKind::kUnknownModel, Execution::kNotRun,
                   "There is no such model or cascade. Choose one of GET /v1/models.",
                   std::nullopt};
  }
  caller.traits.target = ToTarget(*target);
  caller.traits.prefix_hash = Hash64(
      messages->dump(-1, ' ', false, Json::error_handler_t::replace).substr(0, kPrefixBytes));
  caller.path = request.path;
  return std::nullopt;
}

std::optional<Refusal> ReadServiceCall(const net::HttpRequest& request,
                                       const config::Configuration& configuration,
                                       CallerRequest& caller) {
  const std::string rest = request.path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const ServiceId service(rest.substr(0, slash));
  caller.traits.target = routing::ServiceTarget{service, request.method};
  caller.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!request.query.empty()) {
    caller.path += "?" + request.query;
  }
  const auto found = configuration.services.find(service);
  caller.traits.idempotent = found != configuration.services.end() &&
                             found->second.idempotent_methods.contains(request.method);
  if (!caller.traits.idempotent) {
    caller.traits.at_most_once = true;
    if (!caller.idempotency_key) {
      caller.idempotency_key = IdempotencyKey("request " + caller.traits.id.Value());
    }
  }
  return std::nullopt;
}

}  // namespace

std::variant<CallerRequest, Refusal> ReadCallerRequest(const net::HttpRequest& request,
                                                       const config::Configuration& configuration,
                                                       const TeamId& team, const RequestId& id,
                                                       const CallerLimits& limits, TimePoint now) {
  CallerRequest caller;
  caller.traits.id = id;
  caller.traits.team = team;
  caller.method = request.method;
  caller.content_type = request.Header("Content-Type").value_or("application/json");
  if (std::optional<Refusal> refusal = ReadBodyStatus(request); refusal) {
    return *refusal;
  }
  if (std::optional<Refusal> refusal = ReadClass(request, caller); refusal) {
    return *refusal;
  }
  if (std::optional<Refusal> refusal = ReadTimeout(request, limits, now, caller); refusal) {
    return *refusal;
  }
  if (std::optional<Refusal> refusal = ReadNames(request, caller); refusal) {
    return *refusal;
  }
  const bool is_chat = request.path == kChatPath;
  if (std::optional<Refusal> refusal = is_chat ? ReadChat(request, configuration, caller)
                                               : ReadServiceCall(request, configuration, caller);
      refusal) {
    return *refusal;
  }
  caller.body = request.body;
  caller.body_hash = Sha256Hex(caller.method + "\n" + caller.path + "\n" + caller.body);
  return caller;
}

std::string BodyForVersion(const std::string& body, const ModelVersion& version, bool stream) {
  Json changed = Json::parse(body, nullptr, false);
  changed["model"] = version.model.Value() + "@" + version.version.Value();
  changed["stream"] = stream;
  return changed.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace masticrill::entry
