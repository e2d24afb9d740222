#include "soak/operator.h"

#include <nlohmann/json.hpp>

#include "masticrill/net/http_client.h"
#include "soak/upstreams.h"

namespace masticrill::soak {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kRetryPause{50};
constexpr std::uint64_t kLongestPauseMs = 2500;
constexpr int kOk = 200;

net::HttpAnswer Call(const HostAddresses& host, const net::HttpCall& call) {
  net::HttpClient client(host.operators, {.read_timeout = kAcknowledge});
  return HandleErrors([&] { return client.Call(call); },
                      [](const Error&) {
                        return net::HttpAnswer{0, {}, {}};
                      });
}

Json Route(const std::string& name, const std::string& kind, milliseconds timeout) {
  const bool is_stream = kind == "streaming";
  return {{"Name", name},     {"Host", "a.example"},          {"PathPrefix", "/" + name + "/"},
          {"Kind", kind},     {"TimeoutMs", timeout.count()}, {"Service", "s"},
          {"MaxAttempts", 3}, {"Resumable", is_stream}};
}

std::uint64_t OldestOf(std::uint64_t revision, std::uint64_t kept) {
  return revision > kept ? revision - kept + 1 : 1;
}

}  // namespace

std::string Configuration(std::uint64_t revision, milliseconds timeout) {
  Json routes = {Route("safe", "safe", timeout), Route("once", "unsafe", timeout),
                 Route("stream", "streaming", timeout)};
  for (std::uint64_t added = OldestOf(revision, kRoutesKept); added <= revision; ++added) {
    routes.push_back(Route("r" + std::to_string(added), "unsafe", timeout));
  }
  Json keys = {"key-0"};
  for (std::uint64_t added = OldestOf(revision, kKeysKept); added <= revision; ++added) {
    keys.push_back("key-" + std::to_string(added));
  }
  return Json{{"Version", revision},
              {"Routes", routes},
              {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}}}},
              {"Tenants", {{{"Name", kTeam}, {"ApiKeys", keys}}}}}
      .dump();
}

void Operator::Begin(std::uint64_t seed) {
  this->stopping = false;
  this->thread = std::thread([this, seed] { this->Run(Random(seed)); });
}

void Operator::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void Operator::Run(Random random) {
  while (!this->stopping) {
    const TimePoint now = this->timeline.Now();
    this->Change(now + kAcknowledge, random);
    const auto pause = milliseconds(random.Below(kLongestPauseMs));
    while (!this->stopping && this->timeline.Now() < now + pause) {
      const std::vector<HostAddresses> hosts = this->fleet.Addresses();
      const HostAddresses& host = hosts.at(random.Below(hosts.size()));
      if (random.Below(10) == 0) {
        this->PutInvalid(host);
      } else {
        this->Read(host);
      }
      std::this_thread::sleep_for(milliseconds(random.Below(400)));
    }
  }
}

std::optional<std::size_t> Operator::Change(TimePoint deadline, Random& random) {
  const std::uint64_t revision = this->acknowledged.HighestSent() + 1;
  this->acknowledged.Sent(revision);
  const std::size_t first = random.Below(this->fleet.Addresses().size());
  for (std::size_t turn = first; this->timeline.Now() < deadline; ++turn) {
    const std::vector<HostAddresses> hosts = this->fleet.Addresses();
    const HostAddresses& host = hosts.at(turn % hosts.size());
    if (this->Put(host, revision)) {
      this->acknowledged.Confirmed(revision, this->timeline.Now());
      this->timeline.Add("revision " + std::to_string(revision) + " acknowledged by host " +
                         std::to_string(host.number));
      return host.number;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  this->timeline.Add("revision " + std::to_string(revision) + " was not acknowledged");
  return std::nullopt;
}

bool Operator::Evacuate(const std::string& zone, TimePoint deadline, Random& random) {
  const std::size_t first = random.Below(this->fleet.Addresses().size());
  for (std::size_t turn = first; this->timeline.Now() < deadline; ++turn) {
    const std::vector<HostAddresses> hosts = this->fleet.Addresses();
    const HostAddresses& host = hosts.at(turn % hosts.size());
    if (Call(host, {"POST", "/v1/evacuations/" + zone}).status / 100 == 2) {
      this->timeline.Add("evacuation of " + zone + " acknowledged by host " +
                         std::to_string(host.number));
      return true;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

bool Operator::Put(const HostAddresses& host, std::uint64_t revision) {
  const net::HttpAnswer answer =
      Call(host, {"PUT", "/v1/config", {}, Configuration(revision, this->route_timeout)});
  if (answer.status == 400) {
    this->timeline.Fail("CONFIG", "a valid configuration was refused: " + answer.body);
  }
  return answer.status == kOk;
}

/// A route to a service that does not exist, under a revision that is sent in no other way.
void Operator::PutInvalid(const HostAddresses& host) {
  constexpr std::uint64_t kFarAhead = 1'000'000;
  Json invalid =
      Json::parse(Configuration(this->acknowledged.HighestSent() + kFarAhead, this->route_timeout));
  invalid["Routes"].push_back(Route("never", "safe", this->route_timeout));
  invalid["Routes"].back()["Service"] = "none";
  if (Call(host, {"PUT", "/v1/config", {}, invalid.dump()}).status == kOk) {
    this->timeline.Fail("CONFIG", "an invalid configuration was acknowledged by host " +
                                      std::to_string(host.number));
  }
}

std::optional<std::uint64_t> Operator::Read(const HostAddresses& host) {
  const std::uint64_t expected = this->acknowledged.NewestAt(this->timeline.Now() - kConfigApply);
  const net::HttpAnswer answer = Call(host, {"GET", "/v1/config"});
  if (answer.status != kOk) {
    if (answer.status == 404 && expected > 0) {
      this->timeline.Fail("CONFIG", "host " + std::to_string(host.number) +
                                        " knows no configuration, not revision " +
                                        std::to_string(expected));
    }
    return std::nullopt;
  }
  const Json read = Json::parse(answer.body, nullptr, false);
  const std::uint64_t revision = read.is_object() ? read.value("Version", std::uint64_t{0}) : 0;
  const std::string what =
      "host " + std::to_string(host.number) + " read back revision " + std::to_string(revision);
  if (revision < expected) {
    this->timeline.Fail("CONFIG", what + ", older than " + std::to_string(expected));
  }
  if (revision > this->acknowledged.HighestSent() ||
      answer.body != Configuration(revision, this->route_timeout)) {
    this->timeline.Fail("CONFIG", what + ", which is not what was sent");
  }
  return revision;
}

}  // namespace masticrill::soak
