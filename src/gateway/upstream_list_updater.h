#ifndef MASTICRILL_GATEWAY_UPSTREAM_LIST_UPDATER_H_
#define MASTICRILL_GATEWAY_UPSTREAM_LIST_UPDATER_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "masticrill/common/clock.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {

/// Hands the list of upstreams to the pool: the one that control hosts share, and while that is not
/// to be had, one that it reads itself. A read that fails leaves the list as it was.
class UpstreamListUpdater {
 public:
  /// The pool outlives the keeper.
  UpstreamListUpdater(UpstreamListReader read_list, UpstreamPool& pool, Duration interval);
  ~UpstreamListUpdater();
  UpstreamListUpdater(const UpstreamListUpdater&) = delete;
  UpstreamListUpdater& operator=(const UpstreamListUpdater&) = delete;

  /// Takes the shared list, which was read `age` ago; no bytes stand for an unchanged one.
  void OnSharedList(const std::string& bytes, Duration age);

  void Stop();

 private:
  void Run();
  bool IsSharedListFresh();
  void ReadList();

  UpstreamListReader read_list;
  UpstreamPool& pool;
  Duration interval;
  SystemClock clock;
  bool failing = false;
  /// Held while a list goes to the pool, so that an own reading never replaces a newer shared one.
  std::mutex list_mutex;
  /// When the shared list was read last.
  TimePoint shared_at;
  std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  std::thread thread;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_LIST_KEEPER_H_
