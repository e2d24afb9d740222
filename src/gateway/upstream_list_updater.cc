#include "gateway/upstream_list_updater.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/log.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
/// How long a shared list is considered current. Covers the interval at which it is read, and the
/// transfer from the leader through another control host to this entry.
constexpr Duration kSharedListLifetime = milliseconds(1800);
/// How often it is checked whether the list must be read here.
constexpr Duration kCheckInterval = milliseconds(100);

}  // namespace

UpstreamListUpdater::UpstreamListUpdater(UpstreamListReader read_list, UpstreamPool& pool,
                                         Duration interval, UseCheck in_use)
    : read_list(std::move(read_list)), pool(pool), interval(interval), in_use(std::move(in_use)) {
  this->thread = std::thread([this] { this->Run(); });
}

UpstreamListUpdater::~UpstreamListUpdater() { this->Stop(); }

void UpstreamListUpdater::Stop() {
  {
    const std::scoped_lock lock(this->mutex);
    this->stopped = true;
  }
  this->stopping.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void UpstreamListUpdater::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopped) {
    lock.unlock();
    Duration pause = std::min(kCheckInterval, this->interval);
    if (!this->IsSharedListFresh() && this->in_use()) {
      this->ReadList();
      pause = this->interval;
    }
    lock.lock();
    this->stopping.wait_for(lock, pause, [this] { return this->stopped; });
  }
}

bool UpstreamListUpdater::IsSharedListFresh() {
  const std::scoped_lock lock(this->list_mutex);
  return this->clock.Now() - this->shared_at <= kSharedListLifetime;
}

void UpstreamListUpdater::OnSharedList(const std::string& bytes, Duration age) {
  const TimePoint now = this->clock.Now();
  const std::scoped_lock lock(this->list_mutex);
  HandleErrors(
      [&]() -> Result<bool> {
        if (!bytes.empty()) {
          BOOST_LEAF_AUTO(list, DecodeUpstreamList(bytes));
          for (ListedUpstream& upstream : list) {
            const milliseconds since = duration_cast<milliseconds>(age);
            upstream.cold_left = std::max(upstream.cold_left - since, milliseconds(0));
          }
          this->pool.SetList(list, now);
        }
        this->shared_at = now - age;
        return true;
      },
      [](const Error& error) {
        kLog.Warning("Cannot decode the list of upstreams from a control host.",
                     {{"cause", error.message}});
        return false;
      });
}

void UpstreamListUpdater::ReadList() {
  const bool read = HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(list, this->read_list());
        const std::scoped_lock lock(this->list_mutex);
        if (this->clock.Now() - this->shared_at > kSharedListLifetime) {
          this->pool.SetList(list, this->clock.Now());
        }
        return true;
      },
      [&](const Error& error) {
        if (!this->failing) {
          kLog.Warning("Cannot read the list of upstreams; the last one stays in use.",
                       {{"cause", error.message}});
        }
        return false;
      });
  if (read && this->failing) {
    kLog.Info("Reading the list of upstreams works again.");
  }
  this->failing = !read;
}

}  // namespace masticrill::gateway
