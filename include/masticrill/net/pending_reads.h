#ifndef MASTICRILL_NET_PENDING_READS_H_
#define MASTICRILL_NET_PENDING_READS_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/net/socket_stream.h"

namespace masticrill::net {

/// The connections of a server on which a request is awaited or has not come whole. When the server
/// has no room left, the one that has been so for longest is given up. Thread-safe.
class PendingReads {
 public:
  /// `min_age`: a connection that has waited for less is not given up.
  explicit PendingReads(Duration min_age) : min_age(min_age) {}

  /// Registers a connection from its construction to its destruction. Used by the thread that reads
  /// from the stream, which outlives it.
  class Registration {
   public:
    Registration(PendingReads& reads, SocketStream& stream, TimePoint now);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    /// Ends the registration. Returns whether the connection was given up: reads from it end then
    /// as if its peer had closed it.
    bool Finish();

   private:
    friend class PendingReads;

    PendingReads& reads;
    SocketStream& stream;
    TimePoint since;
    /// Guarded by the mutex of `reads`.
    bool given_up = false;
    bool is_pending = true;
    std::list<Registration*>::iterator place;
  };

  /// Gives up the oldest connection. Returns false where none is old enough.
  bool GiveUpOldest(TimePoint now);
  /// How many were given up.
  std::uint64_t GivenUpCount() const { return this->count; }

 private:
  Duration min_age;
  std::mutex mutex;
  /// From the oldest to the newest; those that were given up are no longer in it.
  std::list<Registration*> pending;
  std::atomic<std::uint64_t> count = 0;
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_PENDING_READS_H_
