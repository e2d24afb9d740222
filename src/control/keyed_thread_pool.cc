#include "control/keyed_thread_pool.h"

#include <utility>

namespace masticrill::control {

KeyedThreadPool::KeyedThreadPool(std::size_t thread_count) {
  for (std::size_t index = 0; index < thread_count; ++index) {
    auto worker = std::make_unique<Worker>();
    worker->thread = std::thread([&running = *worker] { Run(running); });
    this->workers.push_back(std::move(worker));
  }
}

KeyedThreadPool::~KeyedThreadPool() { this->Stop(); }

void KeyedThreadPool::Submit(std::size_t key, Task task) {
  Worker& worker = *this->workers[key % this->workers.size()];
  const std::scoped_lock lock(worker.mutex);
  if (worker.stopped) {
    return;
  }
  worker.tasks.push_back(std::move(task));
  worker.changed.notify_one();
}

void KeyedThreadPool::Stop() {
  for (const auto& worker : this->workers) {
    const std::scoped_lock lock(worker->mutex);
    worker->stopped = true;
    worker->changed.notify_one();
  }
  for (const auto& worker : this->workers) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
}

void KeyedThreadPool::Run(Worker& worker) {
  std::unique_lock lock(worker.mutex);
  while (true) {
    worker.changed.wait(lock, [&] { return worker.stopped || !worker.tasks.empty(); });
    if (worker.tasks.empty()) {
      return;
    }
    const Task task = std::move(worker.tasks.front());
    worker.tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace masticrill::control
