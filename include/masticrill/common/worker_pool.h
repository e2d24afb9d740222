#ifndef MASTICRILL_COMMON_WORKER_POOL_H_
#define MASTICRILL_COMMON_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace masticrill {

/// Runs jobs on threads that are started as they are needed, up to a bound. Further jobs wait.
class WorkerPool {
 public:
  using Job = std::function<void()>;

  explicit WorkerPool(std::size_t max_threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Run(Job job);
  /// Runs the jobs that wait, then ends the threads. No job may be added after it.
  void Stop();
  std::size_t ThreadCount() const;

 private:
  void Work();

  std::size_t max_threads;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<Job> jobs;
  std::size_t idle = 0;
  bool stopped = false;
  std::vector<std::thread> threads;
};

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_WORKER_POOL_H_
