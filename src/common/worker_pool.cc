#include "masticrill/common/worker_pool.h"

#include <utility>

namespace masticrill {

WorkerPool::WorkerPool(std::size_t max_threads) : max_threads(max_threads) {}

WorkerPool::~WorkerPool() { this->Stop(); }

void WorkerPool::Run(Job job) {
  const std::lock_guard lock(this->mutex);
  this->jobs.push_back(std::move(job));
  if (this->idle < this->jobs.size() && this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->Work(); });
  }
  this->changed.notify_one();
}

void WorkerPool::Work() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    this->changed.wait(lock, [this] { return this->stopped || !this->jobs.empty(); });
    --this->idle;
    if (this->jobs.empty()) {
      return;
    }
    const Job job = std::move(this->jobs.front());
    this->jobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

void WorkerPool::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::size_t WorkerPool::ThreadCount() const {
  const std::lock_guard lock(this->mutex);
  return this->threads.size();
}

}  // namespace masticrill
