#include "masticrill/net/connection_acceptor.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/RunnableAdapter.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::net {
namespace {

constexpr Logger kLog(LogPart::kNet);
/// Connections that the system completes before they are accepted: a burst beyond it waits a second
/// for its repeated SYN.
constexpr int kListenBacklog = 1024;
constexpr milliseconds kAcceptInterval{100};
constexpr int kThreadIdleSeconds = 60;

}  // namespace

struct ConnectionAcceptor::State {
  State(const ConnectionAcceptorOptions& options, Serve serve)
      : options(options),
        serve(std::move(serve)),
        listener(Poco::Net::SocketAddress(options.address), kListenBacklog),
        address(listener.address().toString()),
        pool(2, options.max_connections + 1, kThreadIdleSeconds, options.thread_stack_bytes),
        worker(*this, &State::Work) {}

  /// What an attempt to accept a connection ended with.
  enum class Accepted { kOne, kNone, kFailed };

  void Accept();
  bool HasRoom() const;
  bool IsFull() const;
  Accepted AcceptNext(Duration patience);
  void Add(const Poco::Net::StreamSocket& socket);
  void StartWorkers();
  void Work();
  void ServeOne(Poco::Net::StreamSocket& socket);

  ConnectionAcceptorOptions options;
  Serve serve;
  Poco::Net::ServerSocket listener;
  std::string address;
  Poco::ThreadPool pool;
  Poco::RunnableAdapter<State> worker;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<Poco::Net::StreamSocket> waiting;
  int workers = 0;
  int open = 0;
  bool stopping = false;
  std::mutex stop_mutex;
  std::thread acceptor;
};

void ConnectionAcceptor::State::Accept() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const bool is_full = this->IsFull();
    lock.unlock();
    if (is_full && this->options.on_full) {
      this->options.on_full();
    }
    lock.lock();
    if (!this->HasRoom()) {
      this->changed.wait_for(lock, kAcceptInterval,
                             [this] { return this->stopping || this->HasRoom(); });
      this->StartWorkers();
      continue;
    }
    lock.unlock();
    const Accepted accepted = this->AcceptNext(kAcceptInterval);
    lock.lock();
    if (accepted != Accepted::kOne) {
      this->StartWorkers();
    }
  }
  lock.unlock();
  // A connection that its peer has given up does not keep the ones behind it from being served.
  int failures = 0;
  for (Accepted last = Accepted::kOne; last != Accepted::kNone && failures <= kListenBacklog;
       failures += last == Accepted::kFailed ? 1 : 0) {
    last = this->AcceptNext(Duration(0));
  }
  this->listener.close();
}

/// Whether a further connection may wait for a thread. The caller holds the mutex.
bool ConnectionAcceptor::State::HasRoom() const {
  return this->waiting.size() < std::max<std::size_t>(this->options.max_waiting, 1);
}

/// Whether a connection waits although every thread is in use. The caller holds the mutex.
bool ConnectionAcceptor::State::IsFull() const {
  return !this->waiting.empty() && this->open >= this->options.max_connections;
}

/// Accepts a connection if one comes within that time.
ConnectionAcceptor::State::Accepted ConnectionAcceptor::State::AcceptNext(Duration patience) {
  try {
    const auto wait = duration_cast<std::chrono::microseconds>(patience).count();
    if (!this->listener.poll(Poco::Timespan(wait), Poco::Net::Socket::SELECT_READ)) {
      return Accepted::kNone;
    }
    this->Add(this->listener.acceptConnection());
    return Accepted::kOne;
  } catch (const Poco::Exception& exception) {
    kLog.Warning("A connection could not be accepted.", {{"reason", exception.displayText()}});
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, patience, [this] { return this->stopping; });
    return Accepted::kFailed;
  }
}

void ConnectionAcceptor::State::Add(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(this->mutex);
  this->waiting.push_back(socket);
  this->StartWorkers();
}

/// Starts threads for the connections that wait. The caller holds the mutex.
void ConnectionAcceptor::State::StartWorkers() {
  const auto idle = static_cast<std::size_t>(this->workers - this->open);
  for (std::size_t missing = this->waiting.size();
       missing > idle && this->workers < this->options.max_connections; --missing) {
    try {
      this->pool.start(this->worker);
      ++this->workers;
    } catch (const Poco::Exception&) {
      return;  // A thread that has just ended is not yet free: the next round takes it.
    }
  }
}

void ConnectionAcceptor::State::ServeOne(Poco::Net::StreamSocket& socket) {
  try {
    socket.setNoDelay(true);
    this->serve(socket);
  } catch (const std::exception& exception) {
    kLog.Error("A connection ended by an exception.", {{"cause", exception.what()}});
  }
}

/// Serves connections until none waits.
void ConnectionAcceptor::State::Work() {
  std::unique_lock lock(this->mutex);
  while (!this->waiting.empty()) {
    {
      Poco::Net::StreamSocket socket = this->waiting.front();
      this->waiting.pop_front();
      ++this->open;
      lock.unlock();
      this->changed.notify_all();
      this->ServeOne(socket);
    }
    lock.lock();
    --this->open;
  }
  --this->workers;
  this->changed.notify_all();
}

ConnectionAcceptor::ConnectionAcceptor(std::unique_ptr<State> state) : state(std::move(state)) {}

ConnectionAcceptor::~ConnectionAcceptor() { this->Stop(); }

Result<std::unique_ptr<ConnectionAcceptor>> ConnectionAcceptor::Start(
    const ConnectionAcceptorOptions& options, Serve serve) {
  try {
    auto state = std::make_unique<State>(options, std::move(serve));
    state->acceptor = std::thread([&accepting = *state] { accepting.Accept(); });
    return std::unique_ptr<ConnectionAcceptor>(new ConnectionAcceptor(std::move(state)));
  } catch (const Poco::Exception& exception) {
    return Fail(ErrorKind::kUnavailable, "Cannot listen on " + options.address + " (" +
                                             exception.displayText() +
                                             "). Choose an address of this host that is free.");
  }
}

std::string ConnectionAcceptor::Address() const { return this->state->address; }

std::size_t ConnectionAcceptor::Connections() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->waiting.size() + static_cast<std::size_t>(this->state->open);
}

int ConnectionAcceptor::Open() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->open;
}

std::size_t ConnectionAcceptor::Waiting() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->waiting.size();
}

void ConnectionAcceptor::StopAccepting() {
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->changed.notify_all();
  const std::lock_guard stop_lock(this->state->stop_mutex);
  if (this->state->acceptor.joinable()) {
    this->state->acceptor.join();
  }
}

bool ConnectionAcceptor::AwaitEnd(TimePoint until) {
  const SystemClock clock;
  std::unique_lock lock(this->state->mutex);
  while (this->state->workers > 0 || !this->state->waiting.empty()) {
    if (clock.Now() >= until) {
      return false;
    }
    this->state->StartWorkers();
    this->state->changed.wait_for(lock, std::min<Duration>(kAcceptInterval, until - clock.Now()));
  }
  return true;
}

void ConnectionAcceptor::Stop() {
  this->StopAccepting();
  this->AwaitEnd(TimePoint::max());
  this->state->pool.joinAll();
}

}  // namespace masticrill::net
