#include "gateway/list_keeper.h"

#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);

}  // namespace

ListKeeper::ListKeeper(UpstreamListReader read_list, UpstreamPool& pool, Duration interval)
    : read_list(std::move(read_list)), pool(pool), interval(interval) {
  this->thread = std::thread([this] { this->Run(); });
}

ListKeeper::~ListKeeper() { this->Stop(); }

void ListKeeper::Stop() {
  {
    const std::scoped_lock lock(this->mutex);
    this->stopped = true;
  }
  this->stopping.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ListKeeper::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    lock.unlock();
    this->ReadOnce();
    lock.lock();
    this->stopping.wait_for(lock, this->interval, [this] { return this->stopped; });
  }
}

void ListKeeper::ReadOnce() {
  const bool read = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(list, this->read_list());
        this->pool.SetList(list, this->clock.Now());
        return true;
      },
      [&](const Error& error) {
        if (!this->failing) {
          kLog.Warning("The list of upstreams cannot be read; the last one stays in use.",
                       {{"cause", error.message}});
        }
        return false;
      });
  if (read && this->failing) {
    kLog.Info("The list of upstreams can be read again.");
  }
  this->failing = !read;
}

}  // namespace masticrill::gateway
