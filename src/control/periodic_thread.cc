#include "control/periodic_thread.h"

#include <utility>

namespace masticrill::control {

PeriodicThread::PeriodicThread(std::function<Duration()> work)
    : work(std::move(work)), thread([this] { this->Run(); }) {}

PeriodicThread::~PeriodicThread() { this->Stop(); }

void PeriodicThread::Wake() {
  const std::scoped_lock lock(this->mutex);
  this->woken = true;
  this->changed.notify_one();
}

void PeriodicThread::Stop() {
  {
    const std::scoped_lock lock(this->mutex);
    this->stopped = true;
    this->changed.notify_one();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PeriodicThread::Run() {
  while (true) {
    const Duration wait = this->work();
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait, [this] { return this->woken || this->stopped; });
    this->woken = false;
    if (this->stopped) {
      return;
    }
  }
}

}  // namespace masticrill::control
