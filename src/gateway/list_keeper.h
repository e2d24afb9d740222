#ifndef MASTICRILL_GATEWAY_LIST_KEEPER_H_
#define MASTICRILL_GATEWAY_LIST_KEEPER_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "masticrill/common/clock.h"
#include "masticrill/gateway/upstream_list.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {

/// Reads the list of upstreams again and again, and hands it to the pool. A read that fails leaves
/// the list as it was.
class ListKeeper {
 public:
  /// The pool outlives the keeper.
  ListKeeper(UpstreamListReader read_list, UpstreamPool& pool, Duration interval);
  ~ListKeeper();
  ListKeeper(const ListKeeper&) = delete;
  ListKeeper& operator=(const ListKeeper&) = delete;

  void Stop();

 private:
  void Run();
  void ReadOnce();

  UpstreamListReader read_list;
  UpstreamPool& pool;
  Duration interval;
  SystemClock clock;
  bool failing = false;
  std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  std::thread thread;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_LIST_KEEPER_H_
