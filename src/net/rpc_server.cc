#include "masticrill/net/rpc_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <mutex>
#include <set>

#include "masticrill/common/log.h"

namespace masticrill::net {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr int kListenBacklog = 1024;
constexpr int kThreadStackBytes = 256 * 1024;

/// What the connections of one server share.
struct Shared {
  Credentials credentials;
  ChannelLimits limits;
  RpcServer::FrameHandler on_frame;
  RpcServer::ClosedHandler on_closed;
  std::mutex mutex;
  std::set<std::shared_ptr<Channel>> channels;
  bool stopped = false;

  bool Add(const std::shared_ptr<Channel>& channel) {
    const std::lock_guard lock(this->mutex);
    if (this->stopped) {
      return false;
    }
    this->channels.insert(channel);
    return true;
  }

  void Remove(const std::shared_ptr<Channel>& channel) {
    const std::lock_guard lock(this->mutex);
    this->channels.erase(channel);
  }

  void CloseAll() {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    for (const std::shared_ptr<Channel>& channel : this->channels) {
      channel->Close();
    }
  }
};

class Connection : public Poco::Net::TCPServerConnection {
 public:
  Connection(const Poco::Net::StreamSocket& socket, Shared& shared)
      : Poco::Net::TCPServerConnection(socket), shared(shared) {}

  void run() override {
    const std::shared_ptr<Channel> channel = HandleErrors(
        [&]() -> Result<std::shared_ptr<Channel>> {
          return Channel::Accept(this->socket(), this->shared.credentials, this->shared.limits);
        },
        [](const Error& error) {
          kLog.Warning("Connection refused.", {{"reason", error.message}});
          return std::shared_ptr<Channel>();
        });
    if (channel == nullptr || !this->shared.Add(channel)) {
      return;
    }
    while (std::optional<Frame> frame = channel->Receive()) {
      this->shared.on_frame(channel, *std::move(frame));
    }
    this->shared.on_closed(channel);
    this->shared.Remove(channel);
  }

 private:
  Shared& shared;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit ConnectionFactory(Shared& shared) : shared(shared) {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function.
  Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
    return new Connection(socket, this->shared);
  }

 private:
  Shared& shared;
};

}  // namespace

struct RpcServer::State {
  Shared shared;
  std::unique_ptr<Poco::ThreadPool> pool;
  std::unique_ptr<Poco::Net::TCPServer> server;
  std::string address;
};

RpcServer::RpcServer(std::unique_ptr<State> state) : state(std::move(state)) {}

RpcServer::~RpcServer() { this->Stop(); }

Result<std::unique_ptr<RpcServer>> RpcServer::Start(const RpcServerOptions& options,
                                                    const Credentials& credentials,
                                                    FrameHandler on_frame,
                                                    ClosedHandler on_closed) {
  auto state = std::make_unique<State>();
  state->shared.credentials = credentials;
  state->shared.limits = options.limits;
  state->shared.on_frame = std::move(on_frame);
  state->shared.on_closed = std::move(on_closed);
  try {
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(options.address), kListenBacklog);
    state->address = socket.address().toString();
    state->pool =
        std::make_unique<Poco::ThreadPool>(2, options.max_connections + 1, 60, kThreadStackBytes);
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(options.max_connections);
    params->setMaxQueued(std::min(kListenBacklog, options.max_connections));
    state->server = std::make_unique<Poco::Net::TCPServer>(new ConnectionFactory(state->shared),
                                                           *state->pool, socket, params);
    state->server->start();
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "Cannot listen on " + options.address + " (" +
                                             exception.displayText() +
                                             "). Choose an address of this host that is free.");
  }
  return std::unique_ptr<RpcServer>(new RpcServer(std::move(state)));
}

std::string RpcServer::Address() const { return this->state->address; }

void RpcServer::StopAccepting() { this->state->server->stop(); }

void RpcServer::Stop() {
  this->state->server->stop();
  this->state->shared.CloseAll();
  this->state->pool->joinAll();
}

}  // namespace masticrill::net
