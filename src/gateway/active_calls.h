#ifndef MASTICRILL_GATEWAY_ACTIVE_CALLS_H_
#define MASTICRILL_GATEWAY_ACTIVE_CALLS_H_

#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// How far a request has come.
enum class CallStage {
  kNotHandedOver,  // No upstream has received any part of it.
  kHandedOver,     // An upstream may work on it; the caller has received nothing.
  kAnswering,      // The caller has received a part of the answer.
};

std::string_view ToString(CallStage stage);

/// A request in progress.
struct ActiveCall {
  RequestId request;
  /// The name of the route; empty before it is known.
  std::string route;
  CallStage stage = CallStage::kNotHandedOver;
  TimePoint arrived_at;
  /// What was left of a planned stop when the request arrived; absent if none had begun.
  std::optional<Duration> stop_left;
};

/// The requests in progress at one gateway, for the record of those that the end of the process
/// cuts off. Thread-safe.
class ActiveCalls {
 public:
  /// The place of one request, which ends with this object. Used by one thread.
  class Slot {
   public:
    Slot(ActiveCalls& calls, ActiveCall call);
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    void SetRequest(const RequestId& request);
    void SetRoute(const std::string& route);
    /// Has no effect if the request has come further already.
    void Reach(CallStage stage);

   private:
    ActiveCalls& calls;
    std::list<ActiveCall>::iterator place;
  };

  std::vector<ActiveCall> List() const;

 private:
  mutable std::mutex mutex;
  std::list<ActiveCall> calls;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ACTIVE_CALLS_H_
