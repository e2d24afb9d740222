#ifndef MASTICRILL_CONTROL_PEER_TRANSPORT_H_
#define MASTICRILL_CONTROL_PEER_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "control/address_book.h"
#include "masticrill/consensus/message.h"

namespace masticrill::control {

/// Sends consensus messages to the other replicas, with a bounded queue, a connection and a thread
/// for each. Send never blocks: a message is dropped when its queue is full. Send is called by the
/// replica's thread; the other methods are thread-safe.
class PeerTransport {
 public:
  /// The address book must outlive the transport. The peers send their messages to `own_address`.
  PeerTransport(AddressBook& addresses, std::string own_address);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  void Send(const consensus::Message& message);
  /// Drops the queued messages and ends the threads.
  void Stop();

  std::uint64_t SentBytes() const { return this->sent_bytes; }
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  class Peer;

  AddressBook& addresses;
  std::string own_address;
  std::atomic<std::uint64_t> sent_bytes = 0;
  std::atomic<std::uint64_t> dropped = 0;
  std::mutex mutex;
  bool stopped = false;
  std::map<NodeId, std::unique_ptr<Peer>> peers;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_PEER_TRANSPORT_H_
