#include "entry/session_token.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "masticrill/common/hash.h"

namespace masticrill::entry {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kSignatureBytes = 64;
constexpr std::size_t kMaxTokenBytes = 4096;

std::string ToBase64Url(const std::string& text) {
  std::ostringstream stream;
  Poco::Base64Encoder encoder(stream, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  encoder << text;
  encoder.close();
  return stream.str();
}

std::string FromBase64Url(std::string_view text) {
  std::istringstream stream{std::string(text)};
  Poco::Base64Decoder decoder(stream, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

}  // namespace

std::string SignSessionToken(const SessionPins& pins, std::string_view key) {
  Json models = Json::object();
  for (const ModelVersion& pin : pins.pins) {
    models[pin.model.Value()] = pin.version.Value();
  }
  const Json content = {{"t", pins.team.Value()}, {"s", pins.session.Value()}, {"p", models}};
  const std::string payload =
      ToBase64Url(content.dump(-1, ' ', false, Json::error_handler_t::replace));
  return payload + "." + HmacSha256Hex(key, payload);
}

std::vector<ModelVersion> ReadSessionToken(std::string_view token, std::string_view key,
                                           const TeamId& team, const SessionId& session) {
  const std::size_t dot = token.rfind('.');
  if (token.size() > kMaxTokenBytes || dot == std::string_view::npos) {
    return {};
  }
  const std::string_view payload = token.substr(0, dot);
  const std::string_view signature = token.substr(dot + 1);
  if (signature.size() != kSignatureBytes ||
      !ConstantTimeEqual(signature, HmacSha256Hex(key, payload))) {
    return {};
  }
  const Json content = Json::parse(FromBase64Url(payload), nullptr, false);
  if (!content.is_object() || content.value("t", "") != team.Value() ||
      content.value("s", "") != session.Value()) {
    return {};
  }
  std::vector<ModelVersion> pins;
  for (const auto& [model, version] : content.at("p").items()) {
    pins.push_back({ModelId(model), VersionId(version.get<std::string>())});
  }
  return pins;
}

}  // namespace masticrill::entry
