#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>

#include "fakes/control_cluster.h"
#include "platform/operator_frontend.h"

namespace masticrill::platform {
namespace {

using control::ControlCluster;
using control::Require;
using control::WaitUntil;

constexpr const char* kOrderPath = "/v1/evacuations/north";
constexpr const char* kDomain = "north";

/// Stops the handler of the first order of one host after it has read the state and asked whether
/// the sender waits, like a process that is frozen there.
class Gate {
 public:
  void Pass() {
    if (this->armed.exchange(false)) {
      this->is_held = true;
      this->is_held.notify_all();
      this->released.wait(false);
    }
  }
  void Arm() { this->armed = true; }
  void AwaitHeld() const { this->is_held.wait(false); }
  void Release() {
    this->released = true;
    this->released.notify_all();
  }

 private:
  std::atomic<bool> armed = false;
  std::atomic<bool> is_held = false;
  std::atomic<bool> released = false;
};

/// An access whose changes pass a gate while they are planned.
class GatedAccess : public control::OperatorAccess {
 public:
  GatedAccess(control::OperatorAccess& access, Gate& gate) : access(access), gate(gate) {}

  config::ConfigurationPtr ReadCurrent() override { return this->access.ReadCurrent(); }
  control::ChangeOutcome Change(const Planner& plan, const std::string& author,
                                const std::string& reason) override {
    return this->access.Change(
        [&](const config::Configuration& current) {
          control::PlannedChange change = plan(current);
          this->gate.Pass();
          return change;
        },
        author, reason);
  }
  control::ChangeOutcome Declare(const config::Declaration& declaration,
                                 const std::string& author) override {
    return this->access.Declare(declaration, author);
  }

 private:
  control::OperatorAccess& access;
  Gate& gate;
};

/// Three control hosts on the platform, and operators of them.
class Group {
 public:
  Group() : cluster(3, {}, "") {
    PlatformSettings settings;
    settings.regions = {{FailureDomainId(kDomain), RegionId("land")}};
    const auto frontend = std::make_shared<const OperatorFrontend>(settings);
    for (std::size_t index = 0; index < this->cluster.Size(); ++index) {
      this->cluster.Options(index).operator_frontend = [this, frontend, index](
                                                           const net::HttpRequest& request,
                                                           control::OperatorAccess& access) {
        GatedAccess gated(access, this->gates[index]);
        net::HttpAnswer answer = frontend->Answer(request, gated);
        if (request.method != "GET") {
          this->last_change = access.ReadCurrent();
          ++this->handled;
        }
        return answer;
      };
    }
    this->cluster.StartAll();
    this->leader = this->cluster.WaitForLeader();
    this->follower = this->cluster.Follower();
  }

  int Order(std::size_t host, const std::string& method) {
    return this->cluster
        .Call(host, {.method = method, .path = kOrderPath, .headers = {}, .body = ""})
        .status;
  }

  /// Sends an order on a connection of its own, which stays open.
  Poco::Net::StreamSocket Send(std::size_t host, const std::string& method, int flags = 0) {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(this->cluster.At(host).HttpAddress()));
    const std::string text = method + " " + kOrderPath + " HTTP/1.1\r\nHost: test\r\n\r\n";
    socket.sendBytes(text.data(), static_cast<int>(text.size()), flags);
    return socket;
  }

  /// Sends an order and leaves: the order and the connection's end arrive together.
  void SendAndLeave(std::size_t host, const std::string& method) {
    this->Send(host, method, MSG_MORE).close();
  }

  void AwaitHandled(int count) const {
    Require(WaitUntil([&] { return this->handled >= count; }), "An order was not handled.");
  }
  int Handled() const { return this->handled; }
  Gate& GateOf(std::size_t host) { return this->gates[host]; }

  /// Whether the domain is out by the state that all hosts agree on.
  bool IsOut() const {
    const config::ConfigurationPtr current = this->last_change.load();
    const auto found = current->failure_domains.find(FailureDomainId(kDomain));
    return found != current->failure_domains.end() &&
           found->second.state == config::DomainState::kOut;
  }

  std::size_t leader = 0;
  std::size_t follower = 0;

 private:
  std::array<Gate, 3> gates;
  std::atomic<int> handled = 0;
  std::atomic<config::ConfigurationPtr> last_change;
  ControlCluster cluster;
};

// Guards against an order that a host reads late, e.g. after a freeze, and carries out although its
// sender has moved on and given later orders elsewhere.
TEST_CASE("an order whose sender has left changes nothing") {
  Group group;
  for (const std::size_t host : {group.leader, group.follower}) {
    REQUIRE(group.Order(host, "POST") == 200);
    REQUIRE(group.IsOut());
    const int handled = group.Handled();
    group.SendAndLeave(host, "DELETE");
    group.AwaitHandled(handled + 1);
    CHECK(group.IsOut());
  }
}

// Guards against an order that was planned in time, loses to a later order, and is then planned
// anew.
TEST_CASE("an order that a later one overtakes is not planned again after its sender has left") {
  Group group;
  const std::size_t host = group.follower;
  REQUIRE(group.Order(host, "POST") == 200);
  group.GateOf(host).Arm();
  Poco::Net::StreamSocket sender = group.Send(host, "DELETE");
  group.GateOf(host).AwaitHeld();
  sender.close();
  CHECK(group.Order(group.leader, "DELETE") == 200);
  CHECK(group.Order(group.leader, "POST") == 200);
  const int handled = group.Handled();
  group.GateOf(host).Release();
  group.AwaitHandled(handled + 1);
  CHECK(group.IsOut());
}

// Guards against a commit that undoes an order which was acknowledged because nothing had to
// change.
TEST_CASE("an order that needed no change is not undone by an earlier one") {
  Group group;
  const std::size_t host = group.follower;
  REQUIRE(group.Order(host, "POST") == 200);
  group.GateOf(host).Arm();
  Poco::Net::StreamSocket sender = group.Send(host, "DELETE");
  group.GateOf(host).AwaitHeld();
  sender.close();
  CHECK(group.Order(group.leader, "POST") == 200);
  const int handled = group.Handled();
  group.GateOf(host).Release();
  group.AwaitHandled(handled + 1);
  CHECK(group.IsOut());
}

// The counterpart: what the sender still waits for is carried out, also after another order.
TEST_CASE("an order that another one overtakes is planned again while its sender waits") {
  Group group;
  const std::size_t host = group.follower;
  group.GateOf(host).Arm();
  const Poco::Net::StreamSocket sender = group.Send(host, "POST");
  group.GateOf(host).AwaitHeld();
  CHECK(group.Order(group.leader, "DELETE") == 200);
  const int handled = group.Handled();
  group.GateOf(host).Release();
  group.AwaitHandled(handled + 1);
  CHECK(group.IsOut());
}

TEST_CASE("an order that was accepted is acknowledged again") {
  Group group;
  for (const char* method : {"POST", "POST", "DELETE", "DELETE"}) {
    CHECK(group.Order(group.leader, method) == 200);
    CHECK(group.Order(group.follower, method) == 200);
  }
  CHECK_FALSE(group.IsOut());
}

}  // namespace
}  // namespace masticrill::platform
