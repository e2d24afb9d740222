#include <doctest/doctest.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/counting_relay.h"
#include "masticrill/net/messages.h"
#include "masticrill/net/rpc_client.h"
#include "masticrill/node/control_link.h"
#include "masticrill/node/lease_client.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

constexpr const char* kNoList = "127.0.0.1:1";

/// The name by which programs on the platform know each other.
constexpr const char* kGroupName = "masticrill-on-platform";

net::Credentials EntryCredentials() {
  return {{net::NodeRole::kEntry, NodeId("entry-1"), IncarnationId("i-1")}, kGroupName};
}

net::LeaseReply AskForLease(net::RpcClient& client) {
  net::LeaseRequest request;
  request.node = NodeId("entry-1");
  request.incarnation = IncarnationId("i-1");
  return HandleErrors([&] { return client.Call<net::LeaseReply>(request, seconds(10)); },
                      [](const Error&) { return net::LeaseReply(); });
}

/// A configuration with that many routes beside those of every one. The changed one of them has
/// another time limit.
std::string ManyRoutes(const PlatformHosts& hosts, int version, int count, int changed = -1) {
  Json root = Json::parse(hosts.Configuration(version, {"key-1"}));
  for (int index = 0; index < count; ++index) {
    const std::string name = std::to_string(10'000'000 + index * 5003);
    root["Routes"].push_back({{"Name", "idle-" + name},
                              {"Host", "idle.example"},
                              {"PathPrefix", "/" + name + "/"},
                              {"Kind", "streaming"},
                              {"TimeoutMs", index == changed ? 6000 : 5000},
                              {"TargetLatencyMs", 1500},
                              {"TargetGapMs", 1200},
                              {"Priority", 1},
                              {"Backends", {{{"Service", "s"}, {"Weight", 90}}}},
                              {"MaxAttempts", 3},
                              {"Public", false},
                              {"Sticky", true},
                              {"Resumable", true}});
  }
  return root.dump();
}

int Put(const PlatformHosts& hosts, const std::string& body) {
  return hosts.Operate({"PUT", "/v1/config", {}, body}).status;
}

// Guards against a host that acts on the former configuration for longer than the deployment's
// bound after the acknowledgement of a newer one.
TEST_CASE("no lease from before an acknowledged configuration outlasts the deployment's bound") {
  for (const milliseconds bound : {milliseconds(800), milliseconds(2500)}) {
    CAPTURE(bound.count());
    const PlatformHosts hosts(kNoList, 0,
                              "Bounds.ConfigApplyMs=" + std::to_string(bound.count()) + "\n");
    hosts.Configure(1);
    net::RpcClient client(hosts.At(1, hosts.ports.internal), EntryCredentials(), {});
    net::LeaseReply former;
    TimePoint former_sent;
    Await("a lease", [&] {
      former_sent = SystemClock().Now();
      former = AskForLease(client);
      return former.granted;
    });
    REQUIRE(Put(hosts, hosts.Configuration(2, {"key-2"})) == 200);
    const TimePoint acknowledged_at = SystemClock().Now();
    const TimePoint former_end = former_sent + Duration(milliseconds(former.length_ms));
    CHECK(former_end <= acknowledged_at + Duration(bound));
  }
}

// Guards against changes whose cost to each entry grows with the configuration: they came late, or
// not at all, over the links of small hosts.
TEST_CASE("a change of one route costs a node about its size, whatever the number of routes") {
  constexpr std::uint64_t kMaxBytes = 16'384;
  for (const int routes : {40, 1400}) {
    CAPTURE(routes);
    const PlatformHosts hosts(kNoList, 0);
    Await("the first configuration",
          [&] { return Put(hosts, ManyRoutes(hosts, 1, routes)) == 200; });
    const fakes::CountingRelay relay(hosts.At(1, hosts.ports.internal));
    const auto link = std::make_shared<node::ControlLink>(std::vector<std::string>{relay.Address()},
                                                          EntryCredentials(), net::ChannelLimits{});
    std::atomic<std::uint64_t> revision = 0;
    node::LeaseClient leases(
        link, EntryCredentials().self, "127.0.0.1:2",
        [&](const config::ConfigurationPtr& configuration, const node::LeaseUpdate&) {
          revision = configuration->declaration.revision;
          return true;
        });
    Await("the first configuration at the node", [&] { return revision == 1; });
    const std::uint64_t before = relay.BytesBack();
    REQUIRE(Put(hosts, ManyRoutes(hosts, 2, routes, routes / 2)) == 200);
    Await("the second configuration at the node", [&] { return revision == 2; });
    CHECK(relay.BytesBack() - before <= kMaxBytes);
  }
}

// Guards against configurations that come later the larger they have grown.
TEST_CASE("a configuration that grows by many routes at a time costs a node what is added") {
  constexpr int kStep = 1400;
  constexpr int kSteps = 4;
  constexpr std::uint64_t kOverhead = 16'384;
  const PlatformHosts hosts(kNoList, 0);
  std::string former = ManyRoutes(hosts, 1, 40);
  Await("the first configuration", [&] { return Put(hosts, former) == 200; });
  const fakes::CountingRelay relay(hosts.At(1, hosts.ports.internal));
  const auto link = std::make_shared<node::ControlLink>(std::vector<std::string>{relay.Address()},
                                                        EntryCredentials(), net::ChannelLimits{});
  std::atomic<std::uint64_t> revision = 0;
  node::LeaseClient leases(
      link, EntryCredentials().self, "127.0.0.1:2",
      [&](const config::ConfigurationPtr& configuration, const node::LeaseUpdate&) {
        revision = configuration->declaration.revision;
        return true;
      });
  Await("the first configuration at the node", [&] { return revision == 1; });
  for (int step = 1; step <= kSteps; ++step) {
    CAPTURE(step);
    const auto next = static_cast<std::uint64_t>(step) + 1;
    const std::string body = ManyRoutes(hosts, step + 1, 40 + step * kStep);
    const std::uint64_t before = relay.BytesBack();
    REQUIRE(Put(hosts, body) == 200);
    Await("the next configuration at the node", [&] { return revision == next; });
    CHECK(relay.BytesBack() - before <= body.size() - former.size() + kOverhead);
    former = body;
  }
}

// Guards against configurations of the allowed size that no control host takes.
TEST_CASE("a configuration of 4 MiB is acknowledged, and read back as it was sent") {
  constexpr std::size_t kMaxBody = std::size_t{4} << 20U;
  const PlatformHosts hosts(kNoList, 0);
  const std::string one = ManyRoutes(hosts, 1, 1);
  const std::size_t route_bytes = ManyRoutes(hosts, 1, 2).size() - one.size();
  const std::string body =
      ManyRoutes(hosts, 1, static_cast<int>((kMaxBody - one.size()) / route_bytes));
  REQUIRE(body.size() <= kMaxBody);
  REQUIRE(body.size() > kMaxBody - 2 * route_bytes);
  int status = 0;
  Await("an answer that is final", [&] {
    status = Put(hosts, body);
    return status == 200 || status == 400;
  });
  CHECK(status == 200);
  const bool is_read_back = hosts.Operate({"GET", "/v1/config"}).body == body;
  CHECK(is_read_back);
}

}  // namespace
}  // namespace masticrill::process
