#ifndef MASTICRILL_GATEWAY_UPSTREAM_LIST_UPDATER_H_
#define MASTICRILL_GATEWAY_UPSTREAM_LIST_UPDATER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "masticrill/common/clock.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {

/// Keeps the pool's list of upstreams up to date: with the list that control hosts distribute or,
/// while that is missing or too old, with one that it reads itself on a thread of its own. A failed
/// read leaves the list unchanged. OnSharedList may be called by any thread.
class UpstreamListUpdater {
 public:
  /// Whether the list is in use: an entry without a lease sends nothing to upstreams, and gets the
  /// list with its lease. Called by the updater's thread.
  using UseCheck = std::function<bool()>;

  /// The pool outlives the updater.
  UpstreamListUpdater(UpstreamListReader read_list, UpstreamPool& pool, Duration interval,
                      UseCheck in_use);
  ~UpstreamListUpdater();
  UpstreamListUpdater(const UpstreamListUpdater&) = delete;
  UpstreamListUpdater& operator=(const UpstreamListUpdater&) = delete;

  /// Receives the shared list, which was read `age` ago. Empty bytes mean that it is unchanged.
  void OnSharedList(const std::string& bytes, Duration age);

  void Stop();

 private:
  void Run();
  bool IsSharedListFresh();
  void ReadList();

  UpstreamListReader read_list;
  UpstreamPool& pool;
  Duration interval;
  UseCheck in_use;
  SystemClock clock;
  bool failing = false;
  /// Held while a list is passed to the pool, so that a list read here never replaces a newer
  /// shared one.
  std::mutex list_mutex;
  /// When the latest shared list was read at its source.
  TimePoint shared_at;
  std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  std::thread thread;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_LIST_UPDATER_H_
