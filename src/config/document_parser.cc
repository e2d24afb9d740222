#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <charconv>
#include <limits>

#include "config/strict_json.h"
#include "config/validation.h"
#include "masticrill/config/document.h"

namespace masticrill::config {
namespace {

constexpr std::uint32_t kMaxTeamWeight = 1000;
constexpr std::uint32_t kMaxTeamInFlight = 1'000'000;
constexpr std::uint64_t kMaxCostPer1kTokens = 1'000'000'000'000;
constexpr std::uint32_t kMaxUpstreamConcurrency = 65'536;
constexpr std::uint32_t kMaxRatingTimeoutMs = 60'000;
/// A week.
constexpr std::uint64_t kMaxServiceRolloutMs = 7ULL * 24 * 3600 * 1000;
/// The end of the year 9999.
constexpr std::uint64_t kMaxWallTimeMs = 253'402'300'799'000;
constexpr std::size_t kMaxCascadeSteps = 8;
constexpr std::size_t kMinSaltBytes = 8;
constexpr std::size_t kMaxSaltBytes = 128;
constexpr std::size_t kSha256HexBytes = 64;

bool IsLowerHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

/// Whether the text is IP:PORT, with an IPv6 address in brackets.
bool IsIpAndPort(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  std::uint32_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data() + colon + 1, end, port);
  Poco::Net::IPAddress address;
  return status == std::errc() && stop == end && port >= 1 && port <= 65535 &&
         Poco::Net::IPAddress::tryParse(host, address);
}

HashedKey ReadKey(const JsonNode& node) {
  HashedKey key{node.RequiredText("salt"), node.RequiredText("hash")};
  if (key.salt.size() < kMinSaltBytes || key.salt.size() > kMaxSaltBytes || !IsLowerHex(key.salt)) {
    node.Fault("salt", "is not a salt. Write 8 to 128 lower-case hexadecimal digits.");
  }
  if (key.hash.size() != kSha256HexBytes || !IsLowerHex(key.hash)) {
    node.Fault("hash",
               "is not a hash. Write the SHA-256 of salt and secret as 64 lower-case hexadecimal "
               "digits.");
  }
  return key;
}

template <typename Id>
std::set<Id> ReadIds(const JsonNode& node, const char* name) {
  std::set<Id> ids;
  for (const std::string& text : node.Texts(name)) {
    ids.insert(Id(text));
  }
  return ids;
}

Team ReadTeam(const JsonNode& node) {
  node.Only(
      {"keys", "models", "cascades", "services", "weight", "max_in_flight", "repin_on_withdrawal"});
  Team team;
  for (const auto& [name, key] : node.Object("keys").Entries()) {
    key.Only({"salt", "hash"});
    team.keys.emplace(name, ReadKey(key));
  }
  for (const auto& [model, versions] : node.Object("models").Entries()) {
    std::set<VersionId>& allowed = team.models[ModelId(model)];
    for (const std::string& version : versions.Elements()) {
      allowed.insert(VersionId(version));
    }
  }
  team.cascades = ReadIds<CascadeId>(node, "cascades");
  team.services = ReadIds<ServiceId>(node, "services");
  team.weight =
      static_cast<std::uint32_t>(node.Integer("weight", team.weight, {1, kMaxTeamWeight}));
  team.max_in_flight = static_cast<std::uint32_t>(
      node.Integer("max_in_flight", team.max_in_flight, {0, kMaxTeamInFlight}));
  team.repin_on_withdrawal = node.Boolean("repin_on_withdrawal", false);
  return team;
}

Rollout ReadRollout(const JsonNode& node) {
  node.Only({"candidate", "share_per_10k", "state", "reason"});
  Rollout rollout;
  rollout.candidate = VersionId(node.RequiredText("candidate"));
  rollout.share_per_10k = static_cast<std::uint32_t>(node.Integer("share_per_10k", 0, {0, 10'000}));
  rollout.state = static_cast<RolloutState>(node.Choice("state", {"running", "halted"}));
  rollout.reason = node.Text("reason");
  return rollout;
}

Model ReadModel(const JsonNode& node) {
  node.Only({"versions", "default_version", "rollout"});
  Model model;
  for (const auto& [name, version_node] : node.Object("versions").Entries()) {
    version_node.Only({"state", "cost_per_1k_tokens"});
    Version version;
    version.state =
        static_cast<VersionState>(version_node.Choice("state", {"active", "withdrawn"}));
    version.cost_per_1k_tokens =
        version_node.Integer("cost_per_1k_tokens", 0, {0, kMaxCostPer1kTokens});
    model.versions.emplace(VersionId(name), version);
  }
  model.default_version = VersionId(node.Text("default_version"));
  if (node.Has("rollout")) {
    model.rollout = ReadRollout(node.Object("rollout"));
  }
  return model;
}

Cascade ReadCascade(const JsonNode& node) {
  node.Only({"steps", "quality_target"});
  Cascade cascade;
  for (const std::string& step : node.Texts("steps")) {
    cascade.steps.emplace_back(step);
  }
  if (cascade.steps.empty() || cascade.steps.size() > kMaxCascadeSteps) {
    node.Fault("steps", "has not from 1 to " + std::to_string(kMaxCascadeSteps) +
                            " models. Name them from cheap to strong.");
  }
  cascade.quality_target = node.Fraction("quality_target", 0.0);
  return cascade;
}

Service ReadService(const JsonNode& node) {
  node.Only({"idempotent_methods"});
  static const std::set<std::string> kMethods = {"GET",  "HEAD",  "OPTIONS", "PUT",
                                                 "POST", "PATCH", "DELETE"};
  Service service;
  for (const std::string& method : node.Texts("idempotent_methods")) {
    if (!kMethods.contains(method)) {
      node.Fault("idempotent_methods", "names '" + method +
                                           "', which is no HTTP method. Write methods such as "
                                           "GET in capitals.");
    }
    service.idempotent_methods.insert(method);
  }
  return service;
}

FailureDomain ReadFailureDomain(const JsonNode& node) {
  node.Only({"region", "state"});
  FailureDomain domain;
  domain.region = RegionId(node.RequiredText("region"));
  domain.state = static_cast<DomainState>(node.Choice("state", {"in", "out"}));
  return domain;
}

std::set<ModelVersion> ReadServes(const JsonNode& node) {
  std::set<ModelVersion> serves;
  for (const std::string& text : node.Texts("serves")) {
    const auto at = text.find('@');
    if (at == std::string::npos || at == 0 || at + 1 == text.size()) {
      node.Fault("serves", "has '" + text + "', which is no version. Write model@version.");
      continue;
    }
    serves.insert({ModelId(text.substr(0, at)), VersionId(text.substr(at + 1))});
  }
  return serves;
}

Upstream ReadUpstream(const JsonNode& node) {
  node.Only({"failure_domain", "sidecar_address", "state", "serves", "services", "max_concurrency",
             "checks_fencing"});
  Upstream upstream;
  upstream.failure_domain = FailureDomainId(node.RequiredText("failure_domain"));
  upstream.sidecar_address = node.RequiredText("sidecar_address");
  if (!IsIpAndPort(upstream.sidecar_address)) {
    node.Fault("sidecar_address", "is not an address. Write IP:PORT, as in 10.0.0.7:9001.");
  }
  upstream.state = static_cast<UpstreamState>(node.Choice("state", {"active", "leaving"}));
  upstream.serves = ReadServes(node);
  upstream.services = ReadIds<ServiceId>(node, "services");
  upstream.max_concurrency = static_cast<std::uint32_t>(
      node.Integer("max_concurrency", upstream.max_concurrency, {1, kMaxUpstreamConcurrency}));
  upstream.checks_fencing = node.Boolean("checks_fencing", false);
  return upstream;
}

Operator ReadOperator(const JsonNode& node) {
  node.Only({"salt", "hash", "role"});
  return {ReadKey(node), static_cast<OperatorRole>(node.Choice("role", {"read", "change"}))};
}

Rating ReadRating(const JsonNode& node) {
  node.Only({"service", "timeout_ms"});
  Rating rating;
  if (node.Has("service")) {
    rating.service = ServiceId(node.RequiredText("service"));
  }
  rating.timeout = milliseconds(node.Integer(
      "timeout_ms", static_cast<std::uint64_t>(rating.timeout.count()), {1, kMaxRatingTimeoutMs}));
  return rating;
}

Declaration ReadDeclaration(const JsonNode& node) {
  node.Only({"revision", "text", "digest"});
  return {node.Integer("revision", 0, {0, std::numeric_limits<std::uint64_t>::max()}),
          node.LongText("text"), node.Text("digest")};
}

ServiceRollout ReadServiceRollout(const JsonNode& node) {
  node.Only({"target", "duration_ms", "ordered_at", "state", "reason", "moved_at"});
  ServiceRollout rollout;
  rollout.target = VersionId(node.RequiredText("target"));
  rollout.duration = milliseconds(node.Integer("duration_ms", 0, {0, kMaxServiceRolloutMs}));
  rollout.ordered_at = static_cast<WallTimeMs>(node.Integer("ordered_at", 0, {0, kMaxWallTimeMs}));
  rollout.state = static_cast<ServiceRolloutState>(
      node.Choice("state", {"running", "completed", "rolled_back"}));
  rollout.reason = node.Text("reason");
  rollout.moved_at = static_cast<WallTimeMs>(node.Integer("moved_at", 0, {0, kMaxWallTimeMs}));
  return rollout;
}

PromptBlock ReadPromptBlock(const JsonNode& node) {
  node.Only({"state", "decided_at", "reason"});
  PromptBlock block;
  block.state = static_cast<PromptBlockState>(node.Choice("state", {"blocked", "lifted"}));
  block.decided_at = static_cast<WallTimeMs>(node.Integer("decided_at", 0, {0, kMaxWallTimeMs}));
  block.reason = node.Text("reason");
  return block;
}

/// Reads an object that maps names to values of one kind.
template <typename Id, typename Value>
void ReadAll(const JsonNode& root, const char* name, Value (*read)(const JsonNode&),
             std::map<Id, Value>& values) {
  for (const auto& [id, node] : root.Object(name).Entries()) {
    values.emplace(Id(id), read(node));
  }
}

}  // namespace

Result<Configuration> ParseDocument(std::string_view json, Number number) {
  BOOST_LEAF_AUTO(document, ParseStrict(json));
  FaultSink faults;
  const JsonNode root(document, "$", faults);
  root.Only({"teams", "models", "cascades", "services", "failure_domains", "upstreams", "operators",
             "rating", "declaration", "service_rollouts", "prompt_blocks"});
  Configuration configuration;
  configuration.number = number;
  ReadAll(root, "teams", ReadTeam, configuration.teams);
  ReadAll(root, "models", ReadModel, configuration.models);
  ReadAll(root, "cascades", ReadCascade, configuration.cascades);
  ReadAll(root, "services", ReadService, configuration.services);
  ReadAll(root, "failure_domains", ReadFailureDomain, configuration.failure_domains);
  ReadAll(root, "upstreams", ReadUpstream, configuration.upstreams);
  ReadAll(root, "operators", ReadOperator, configuration.operators);
  configuration.rating = ReadRating(root.Object("rating"));
  configuration.declaration = ReadDeclaration(root.Object("declaration"));
  ReadAll(root, "service_rollouts", ReadServiceRollout, configuration.service_rollouts);
  ReadAll(root, "prompt_blocks", ReadPromptBlock, configuration.prompt_blocks);
  if (!faults.Empty()) {
    return Fail(ErrorKind::kInvalidConfiguration, faults.First());
  }
  if (std::string fault = FindReferenceFault(configuration); !fault.empty()) {
    return Fail(ErrorKind::kInvalidConfiguration, std::move(fault));
  }
  return configuration;
}

}  // namespace masticrill::config
