#ifndef MASTICRILL_GATEWAY_CALLER_ACCEPTOR_H_
#define MASTICRILL_GATEWAY_CALLER_ACCEPTOR_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace masticrill::gateway {

/// Accepts callers' connections and serves each on a thread of a pool; those beyond the threads
/// wait for one in turn. A connection that was accepted, or completed by the system before
/// accepting stopped, is always served.
///
/// Its methods may be called by any thread. Owns the listener, the accepting thread and the pool.
class CallerAcceptor : private Poco::Runnable {
 public:
  using Serve = std::function<void(const Poco::Net::StreamSocket&)>;

  /// `open` counts the connections from when they are accepted until they were served; it must
  /// outlive the acceptor, like what `serve` refers to. Throws Poco::Exception when the address
  /// cannot be bound.
  CallerAcceptor(const std::string& address, int max_threads, std::atomic<std::int64_t>& open,
                 Serve serve);
  /// Waits until all connections were served.
  ~CallerAcceptor() override;
  CallerAcceptor(const CallerAcceptor&) = delete;
  CallerAcceptor& operator=(const CallerAcceptor&) = delete;

  std::string Address() const { return this->address; }

  /// Accepts what the system has completed, then closes the listener, so that callers are refused
  /// instead of queued and lost. Has no effect when called again.
  void Stop();

 private:
  /// Serves connections until none waits; run by threads of the pool.
  void run() override;
  void Accept();
  void AcceptOne();
  bool HasRoom();
  void StartThreads();
  std::optional<Poco::Net::StreamSocket> TakeWaiting();
  void ServeOne(const Poco::Net::StreamSocket& socket);

  std::atomic<std::int64_t>& open;
  Serve serve;
  int max_threads;
  Poco::Net::ServerSocket listener;
  std::string address;
  std::mutex mutex;
  std::deque<Poco::Net::StreamSocket> waiting;
  int serving_threads = 0;
  Poco::ThreadPool threads;
  std::atomic<bool> stopping = false;
  std::mutex stop_mutex;
  std::thread acceptor;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALLER_ACCEPTOR_H_
