#ifndef MASTICRILL_CONTROL_PERIODIC_THREAD_H_
#define MASTICRILL_CONTROL_PERIODIC_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "masticrill/common/clock.h"

namespace masticrill::control {

/// Calls a function repeatedly on a thread of its own. The function returns the time to wait before
/// its next call.
class PeriodicThread {
 public:
  explicit PeriodicThread(std::function<Duration()> work);
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Ends the wait before the next call.
  void Wake();
  /// Ends the thread, after any call in progress.
  void Stop();

 private:
  void Run();

  std::function<Duration()> work;
  std::mutex mutex;
  std::condition_variable changed;
  bool woken = false;
  bool stopped = false;
  std::thread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_PERIODIC_THREAD_H_
