#include "gateway/caller_acceptor.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Thread.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
constexpr int kThreadStackBytes = 128 * 1024;
/// Connections that wait to be accepted. Any further caller waits a second to repeat its SYN.
constexpr int kListenBacklog = 512;
/// Accepted connections that wait for a thread before further ones are left to the system.
constexpr std::size_t kMaxWaiting = 512;
constexpr int kMinThreads = 4;
/// A thread that has served its last connection is still in use for a moment.
constexpr int kSpareThreads = 8;
/// Idle threads end after this time, in seconds.
constexpr int kIdleThreadS = 30;
/// How long a wait for a connection lasts until the thread looks for a stop.
constexpr Poco::Timespan::TimeDiff kAcceptWaitUs = 100'000;
/// The pause after a failure, such as a lack of descriptors.
constexpr int kAcceptRetryMs = 10;

}  // namespace

CallerAcceptor::CallerAcceptor(const std::string& address, int max_threads,
                               std::atomic<std::int64_t>& open, Serve serve)
    : open(open),
      serve(std::move(serve)),
      max_threads(max_threads),
      listener(Poco::Net::SocketAddress(address), kListenBacklog),
      address(this->listener.address().toString()),
      threads(std::min(kMinThreads, max_threads), max_threads + kSpareThreads, kIdleThreadS,
              kThreadStackBytes),
      acceptor([this] { this->Accept(); }) {}

CallerAcceptor::~CallerAcceptor() {
  this->Stop();
  this->threads.joinAll();
}

void CallerAcceptor::Stop() {
  const std::scoped_lock lock(this->stop_mutex);
  this->stopping = true;
  if (this->acceptor.joinable()) {
    this->acceptor.join();
  }
}

void CallerAcceptor::Accept() {
  while (!this->stopping) {
    this->AcceptOne();
    this->StartThreads();
  }
  while (this->listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    this->AcceptOne();
  }
  this->listener.close();
  this->StartThreads();
}

bool CallerAcceptor::HasRoom() {
  const std::scoped_lock lock(this->mutex);
  return this->waiting.size() < kMaxWaiting;
}

/// Waits a short time for a connection and accepts it.
void CallerAcceptor::AcceptOne() {
  try {
    const bool may_accept = this->stopping || this->HasRoom();
    if (!this->listener.poll(
            Poco::Timespan(kAcceptWaitUs),
            may_accept ? Poco::Net::Socket::SELECT_READ : Poco::Net::Socket::SELECT_ERROR)) {
      return;
    }
    const Poco::Net::StreamSocket accepted = this->listener.acceptConnection();
    ++this->open;
    const std::scoped_lock lock(this->mutex);
    this->waiting.push_back(accepted);
  } catch (const Poco::Exception& exception) {
    kLog.Warning("A caller's connection could not be accepted; trying again.",
                 {{"cause", exception.displayText()}});
    Poco::Thread::sleep(kAcceptRetryMs);
  }
}

/// Starts threads for connections that wait. One that cannot be started now is started by a later
/// call, or its connection is served by a thread that has ended another one.
void CallerAcceptor::StartThreads() {
  const std::scoped_lock lock(this->mutex);
  for (std::size_t wanted = this->waiting.size();
       wanted > 0 && this->serving_threads < this->max_threads; --wanted) {
    try {
      this->threads.start(*this);
      ++this->serving_threads;
    } catch (const Poco::Exception&) {
      return;
    }
  }
}

std::optional<Poco::Net::StreamSocket> CallerAcceptor::TakeWaiting() {
  const std::scoped_lock lock(this->mutex);
  if (this->waiting.empty()) {
    --this->serving_threads;
    return std::nullopt;
  }
  const Poco::Net::StreamSocket next = this->waiting.front();
  this->waiting.pop_front();
  return next;
}

void CallerAcceptor::run() {
  while (const std::optional<Poco::Net::StreamSocket> next = this->TakeWaiting()) {
    this->ServeOne(*next);
  }
}

void CallerAcceptor::ServeOne(const Poco::Net::StreamSocket& socket) {
  try {
    this->serve(socket);
  } catch (const Poco::Exception& exception) {
    kLog.Error("A caller's connection ended by an exception.",
               {{"cause", exception.displayText()}});
  } catch (const std::exception& exception) {
    kLog.Error("A caller's connection ended by an exception.", {{"cause", exception.what()}});
  }
  --this->open;
}

}  // namespace masticrill::gateway
