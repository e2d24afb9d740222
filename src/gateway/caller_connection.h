#ifndef MASTICRILL_GATEWAY_CALLER_CONNECTION_H_
#define MASTICRILL_GATEWAY_CALLER_CONNECTION_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/caller_stream.h"
#include "gateway/stop_phase.h"
#include "masticrill/common/buffer_budget.h"
#include "masticrill/common/clock.h"
#include "masticrill/gateway/route_table.h"
#include "masticrill/net/http_message.h"
#include "masticrill/net/pending_reads.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::gateway {

/// Serves the requests on one caller's connection, one after the other. Used by one thread.
class CallerConnection {
 public:
  using Handler = std::function<void(const net::RequestHead&, const std::string& body,
                                     CallerStream& caller, TimePoint arrived_at)>;

  /// Where the heads and bodies of requests are counted, and by whom: `owner_of` names the owner of
  /// a request.
  struct RequestBudget {
    BufferBudget& buffers;
    /// The connections whose requests have not come whole.
    net::PendingReads& reads;
    std::function<std::string(const net::RequestHead&)> owner_of;
    /// The Retry-After of a request that finds no room.
    milliseconds retry_after{0};
  };

  /// `limits` returns the limits in force, `phase` the phase of a stop of this process, `answer_by`
  /// when every request must have its answer, if such a stop has begun.
  CallerConnection(net::SocketStream socket, std::function<CallerLimits()> limits,
                   std::function<StopPhase()> phase,
                   std::function<std::optional<TimePoint>()> answer_by, RequestBudget budget,
                   Handler handler);

  /// Returns when the connection has ended.
  void Run();

 private:
  /// The result of reading a part of a request.
  enum class ReadResult {
    kRead,
    kIdle,
    kDisconnected,
    kTooLarge,
    kTooSlow,
    kStopping,
    kMalformed,
    kNoRoom,  // Too much is buffered for other requests.
  };

  /// What follows on the connection.
  enum class NextStep {
    kServeNext,
    kFinishAnswer,  // The caller knows that no further answer comes: the rest is read and dropped.
    kCloseUnread,   // Nothing more is read: a request that comes now is seen to be unread.
  };

  /// A request as it was read, and its parts in the budget.
  struct Arrival;

  NextStep ServeNext();
  /// Reads the next request. Absent once it has been read whole; what follows on the connection
  /// otherwise.
  std::optional<NextStep> ReadRequest(Arrival& arrival);
  /// Whether a part of the next request is here. Does not wait.
  bool HasArrived();
  ReadResult AwaitFirstByte(const CallerLimits& current);
  ReadResult ReadHead(const CallerLimits& current, net::RequestHead& head, BufferShare& held);
  ReadResult ParseHead(std::size_t size, net::RequestHead& head);
  /// The owner under whom the body is counted; empty for one that is too small to be counted.
  std::string OwnerOf(const net::RequestHead& head) const;
  ReadResult ReadBody(const CallerLimits& current, const net::RequestHead& head, std::string& body,
                      BufferShare& held);
  /// Waits for the next bytes of a request, at most until then.
  ReadResult FillRequest(TimePoint read_by);
  void RefuseAndClose(ReadResult result, bool in_header);

  net::SocketStream socket;
  std::function<CallerLimits()> limits;
  std::function<StopPhase()> phase;
  std::function<std::optional<TimePoint>()> answer_by;
  RequestBudget budget;
  Handler handler;
  SystemClock clock;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_CALLER_CONNECTION_H_
