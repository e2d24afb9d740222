#include "masticrill/config/document.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/strict_json.h"
#include "masticrill/config/permission.h"
#include "masticrill/config/text_delta.h"

namespace masticrill::config {
namespace {

using Json = nlohmann::json;

template <typename Ids>
Json ToArray(const Ids& ids) {
  Json array = Json::array();
  for (const auto& id : ids) {
    array.push_back(id.Value());
  }
  return array;
}

Json ToJson(const HashedKey& key) { return {{"salt", key.salt}, {"hash", key.hash}}; }

Json ToJson(const Team& team) {
  Json keys = Json::object();
  for (const auto& [name, key] : team.keys) {
    keys[name] = ToJson(key);
  }
  Json models = Json::object();
  for (const auto& [model, versions] : team.models) {
    models[model.Value()] = ToArray(versions);
  }
  return {{"keys", keys},
          {"models", models},
          {"cascades", ToArray(team.cascades)},
          {"services", ToArray(team.services)},
          {"weight", team.weight},
          {"max_in_flight", team.max_in_flight},
          {"repin_on_withdrawal", team.repin_on_withdrawal}};
}

Json ToJson(const Model& model) {
  Json json = {{"versions", Json::object()}};
  for (const auto& [id, version] : model.versions) {
    json["versions"][id.Value()] = {
        {"state", version.state == VersionState::kActive ? "active" : "withdrawn"},
        {"cost_per_1k_tokens", version.cost_per_1k_tokens}};
  }
  if (!model.default_version.Empty()) {
    json["default_version"] = model.default_version.Value();
  }
  if (model.rollout) {
    json["rollout"] = {
        {"candidate", model.rollout->candidate.Value()},
        {"share_per_10k", model.rollout->share_per_10k},
        {"state", model.rollout->state == RolloutState::kRunning ? "running" : "halted"},
        {"reason", model.rollout->reason}};
  }
  return json;
}

Json ToJson(const Cascade& cascade) {
  return {{"steps", ToArray(cascade.steps)}, {"quality_target", cascade.quality_target}};
}

Json ToJson(const Service& service) { return {{"idempotent_methods", service.idempotent_methods}}; }

Json ToJson(const FailureDomain& domain) {
  return {{"region", domain.region.Value()},
          {"state", domain.state == DomainState::kIn ? "in" : "out"}};
}

Json ToJson(const Upstream& upstream) {
  Json serves = Json::array();
  for (const ModelVersion& served : upstream.serves) {
    serves.push_back(served.model.Value() + "@" + served.version.Value());
  }
  return {{"failure_domain", upstream.failure_domain.Value()},
          {"sidecar_address", upstream.sidecar_address},
          {"state", upstream.state == UpstreamState::kActive ? "active" : "leaving"},
          {"serves", serves},
          {"services", ToArray(upstream.services)},
          {"max_concurrency", upstream.max_concurrency},
          {"checks_fencing", upstream.checks_fencing}};
}

Json ToJson(const Operator& person) {
  Json json = ToJson(person.key);
  json["role"] = person.role == OperatorRole::kRead ? "read" : "change";
  return json;
}

Json ToJson(const Rating& rating) {
  Json json = {{"timeout_ms", rating.timeout.count()}};
  if (rating.service) {
    json["service"] = rating.service->Value();
  }
  return json;
}

Json ToJson(const Declaration& declaration) {
  if (!declaration.digest.empty()) {
    return {{"revision", declaration.revision}, {"digest", declaration.digest}};
  }
  return {{"revision", declaration.revision}, {"text", declaration.text.Value()}};
}

constexpr std::array<const char*, 3> kServiceRolloutStates = {"running", "completed",
                                                              "rolled_back"};

Json ToJson(const ServiceRollout& rollout) {
  return {{"target", rollout.target.Value()},
          {"duration_ms", rollout.duration.count()},
          {"ordered_at", rollout.ordered_at},
          {"state", kServiceRolloutStates.at(static_cast<std::size_t>(rollout.state))},
          {"reason", rollout.reason},
          {"moved_at", rollout.moved_at}};
}

Json ToJson(const PromptBlock& block) {
  return {{"state", block.state == PromptBlockState::kBlocked ? "blocked" : "lifted"},
          {"decided_at", block.decided_at},
          {"reason", block.reason}};
}

template <typename Id, typename Value>
Json ToObject(const std::map<Id, Value>& values) {
  Json object = Json::object();
  for (const auto& [id, value] : values) {
    object[id.Value()] = ToJson(value);
  }
  return object;
}

/// The merge patch from one object to the other.
Json Diff(const Json& from, const Json& to) {
  Json patch = Json::object();
  for (const auto& [name, value] : from.items()) {
    if (!to.contains(name)) {
      patch[name] = nullptr;
    }
  }
  for (const auto& [name, value] : to.items()) {
    const auto old = from.find(name);
    if (old == from.end()) {
      patch[name] = value;
    } else if (*old != value) {
      patch[name] = old->is_object() && value.is_object() ? Diff(*old, value) : value;
    }
  }
  return patch;
}

Result<std::string> Write(const Json& document) {
  std::string text = document.dump();
  if (text.size() > kMaxDocumentBytes) {
    return Fail(ErrorKind::kInvalidConfiguration,
                "$: would be larger than " + std::to_string(kMaxDocumentBytes) +
                    " bytes. Remove something in the same patch.");
  }
  return text;
}

Result<DocumentChange> Compare(const Json& from, const Json& to) {
  BOOST_LEAF_AUTO(text, Write(to));
  return DocumentChange{std::move(text), Diff(from, to).dump(), Diff(to, from).dump()};
}

constexpr std::string_view kExampleSalt = "6d61737469637269";

}  // namespace

std::string SerializeDocument(const Configuration& configuration) {
  const Json document = {{"teams", ToObject(configuration.teams)},
                         {"models", ToObject(configuration.models)},
                         {"cascades", ToObject(configuration.cascades)},
                         {"services", ToObject(configuration.services)},
                         {"failure_domains", ToObject(configuration.failure_domains)},
                         {"upstreams", ToObject(configuration.upstreams)},
                         {"operators", ToObject(configuration.operators)},
                         {"rating", ToJson(configuration.rating)},
                         {"declaration", ToJson(configuration.declaration)},
                         {"service_rollouts", ToObject(configuration.service_rollouts)},
                         {"prompt_blocks", ToObject(configuration.prompt_blocks)}};
  return document.dump();
}

Result<std::string> ApplyMergePatch(std::string_view document, std::string_view patch) {
  BOOST_LEAF_AUTO(merged, ParseStrict(document));
  BOOST_LEAF_AUTO(change, ParseStrict(patch));
  merged.merge_patch(change);
  return Write(merged);
}

Result<DocumentChange> ChangeDocument(std::string_view document, std::string_view patch) {
  BOOST_LEAF_AUTO(old_document, ParseStrict(document));
  BOOST_LEAF_AUTO(change, ParseStrict(patch));
  Json new_document = old_document;
  new_document.merge_patch(change);
  return Compare(old_document, new_document);
}

Result<DocumentChange> ReplaceDocument(std::string_view document, std::string_view new_document) {
  BOOST_LEAF_AUTO(from, ParseStrict(document));
  BOOST_LEAF_AUTO(to, ParseStrict(new_document));
  return Compare(from, to);
}

Result<SplitDocument> TakeDeclarationText(std::string_view document) {
  BOOST_LEAF_AUTO(root, ParseStrict(document));
  SplitDocument split;
  if (const auto found = root.find("declaration"); found != root.end() && found->is_object()) {
    if (const auto text = found->find("text"); text != found->end() && text->is_string()) {
      split.text = text->get<std::string>();
      found->erase(text);
      (*found)["digest"] = TextDigest(*split.text);
    }
  }
  BOOST_LEAF_ASSIGN(split.document, Write(root));
  return split;
}

std::string MakeDeclarationPatch(const Declaration& declaration) {
  const Json patch = {
      {"declaration", {{"revision", declaration.revision}, {"text", declaration.text.Value()}}}};
  return patch.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::string> PutDeclarationText(std::string_view document, const std::string& text) {
  BOOST_LEAF_AUTO(root, ParseStrict(document));
  if (const auto found = root.find("declaration"); found != root.end() && found->is_object()) {
    found->erase("digest");
    (*found)["text"] = text;
  }
  return root.dump();
}

std::string ExampleDocument() {
  const auto key = [](std::string_view secret) { return ToJson(HashKey(kExampleSalt, secret)); };
  Json operator_key = key("dev-operator-key");
  operator_key["role"] = "change";
  const Json document = {
      {"teams",
       {{"guild",
         {{"keys", {{"k1", key("dev-guild-key")}}},
          {"models", {{"small", Json::array()}, {"big", Json::array()}}},
          {"cascades", {"auto"}},
          {"services", {"booking"}},
          {"weight", 1},
          {"max_in_flight", 100}}},
        {"lux",
         {{"keys", {{"k1", key("dev-lux-key")}}},
          {"models", {{"small", {"v1"}}}},
          {"services", {"booking"}},
          {"weight", 1},
          {"max_in_flight", 100},
          {"repin_on_withdrawal", true}}}}},
      {"models",
       {{"small",
         {{"versions",
           {{"v1", {{"cost_per_1k_tokens", 100}}}, {"v2", {{"cost_per_1k_tokens", 120}}}}},
          {"default_version", "v1"},
          {"rollout", {{"candidate", "v2"}, {"share_per_10k", 500}}}}},
        {"big",
         {{"versions", {{"v1", {{"cost_per_1k_tokens", 2000}}}}}, {"default_version", "v1"}}}}},
      {"cascades", {{"auto", {{"steps", {"small", "big"}}, {"quality_target", 0.8}}}}},
      {"services",
       {{"booking", {{"idempotent_methods", {"GET", "HEAD"}}}},
        {"rating", {{"idempotent_methods", {"POST"}}}}}},
      {"failure_domains",
       {{"north-a", {{"region", "north"}, {"state", "in"}}},
        {"north-b", {{"region", "north"}, {"state", "in"}}}}},
      {"upstreams",
       {{"engine-1",
         {{"failure_domain", "north-a"},
          {"sidecar_address", "127.0.0.1:9001"},
          {"serves", {"small@v1", "small@v2", "big@v1"}}}},
        {"engine-2",
         {{"failure_domain", "north-b"},
          {"sidecar_address", "127.0.0.1:9002"},
          {"serves", {"small@v1", "big@v1"}}}},
        {"booking-1",
         {{"failure_domain", "north-a"},
          {"sidecar_address", "127.0.0.1:9003"},
          {"services", {"booking", "rating"}}}}}},
      {"operators", {{"dev", operator_key}}},
      {"rating", {{"service", "rating"}, {"timeout_ms", 500}}}};
  return document.dump(2);
}

}  // namespace masticrill::config
