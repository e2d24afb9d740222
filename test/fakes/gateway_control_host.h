#ifndef MASTICRILL_FAKES_GATEWAY_CONTROL_HOST_H_
#define MASTICRILL_FAKES_GATEWAY_CONTROL_HOST_H_

#include <atomic>
#include <memory>
#include <string>

#include "masticrill/common/hash.h"
#include "masticrill/common/result.h"
#include "masticrill/net/channel.h"
#include "masticrill/net/messages.h"
#include "masticrill/net/rpc_server.h"

namespace masticrill::fakes {

inline constexpr const char* kGatewaySecret = "0123456789abcdef0123456789abcdef";

inline std::string DocumentOf(int revision) {
  return R"({"declaration":{"revision":)" + std::to_string(revision) + R"(,"text":"x"}})";
}

/// A control host that grants leases of the length and number that the test sets.
class FakeControlHost {
 public:
  FakeControlHost() {
    const net::Credentials credentials{
        {net::NodeRole::kControl, NodeId("control"), IncarnationId("i")}, kGatewaySecret};
    this->server = HandleErrors(
        [&]() -> Result<std::unique_ptr<net::RpcServer>> {
          return net::RpcServer::Start(
              {.address = "127.0.0.1:0", .max_connections = 8}, credentials,
              [this](const std::shared_ptr<net::Channel>& channel, const net::Frame& frame) {
                this->OnFrame(*channel, frame);
              },
              [](const std::shared_ptr<net::Channel>&) {});
        },
        [](const Error&) { return std::unique_ptr<net::RpcServer>(); });
  }

  std::string Address() const { return this->server->Address(); }

  std::atomic<int> number = 1;
  std::atomic<std::int64_t> length_ms = 500;

 private:
  void OnFrame(net::Channel& channel, const net::Frame& frame) const {
    if (frame.type != net::MessageType::kLeaseRequest) {
      channel.Send(frame.correlation, net::ErrorReply{"malformed_message", "Unknown."});
      return;
    }
    const int granted = this->number;
    net::LeaseReply reply;
    reply.granted = true;
    reply.number = static_cast<std::uint64_t>(granted);
    reply.length_ms = this->length_ms;
    reply.delta = config::ConfigurationDelta{
        0, reply.number, {}, DocumentOf(granted), Sha256Hex(DocumentOf(granted))};
    channel.Send(frame.correlation, reply);
  }

  std::unique_ptr<net::RpcServer> server;
};

}  // namespace masticrill::fakes

#endif  // MASTICRILL_FAKES_GATEWAY_CONTROL_HOST_H_
