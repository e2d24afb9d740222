#ifndef MASTICRILL_CONTROL_KEYED_THREAD_POOL_H_
#define MASTICRILL_CONTROL_KEYED_THREAD_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace masticrill::control {

/// A pool of threads that run tasks. Tasks with the same key run in order, on one thread.
/// Thread-safe.
class KeyedThreadPool {
 public:
  using Task = std::function<void()>;

  explicit KeyedThreadPool(std::size_t thread_count);
  ~KeyedThreadPool();
  KeyedThreadPool(const KeyedThreadPool&) = delete;
  KeyedThreadPool& operator=(const KeyedThreadPool&) = delete;

  /// Drops the task after Stop.
  void Submit(std::size_t key, Task task);
  /// Runs the submitted tasks and ends the threads.
  void Stop();

 private:
  struct Worker {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Task> tasks;
    bool stopped = false;
    std::thread thread;
  };

  static void Run(Worker& worker);

  std::vector<std::unique_ptr<Worker>> workers;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_KEYED_THREAD_POOL_H_
