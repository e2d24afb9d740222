#ifndef MASTICRILL_GATEWAY_LOAD_EXCHANGE_H_
#define MASTICRILL_GATEWAY_LOAD_EXCHANGE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {

/// What one entry tells others of its work, as one datagram.
struct LoadNotice {
  NodeId sender;
  /// Grows with each notice of a sender; an overtaken one is dropped. Begins at the time of start,
  /// so that a restarted sender is not taken for an old one.
  std::uint64_t sequence = 0;
  std::vector<UpstreamWork> work;

  friend bool operator==(const LoadNotice&, const LoadNotice&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->sequence, this->work);
  }
};

/// Signs a notice for the wire, and reads one back. Reading fails with kMalformedMessage or
/// kUnauthenticated.
std::string EncodeNotice(const LoadNotice& notice, const std::string& shared_secret);
Result<LoadNotice> DecodeNotice(const std::string& datagram, const std::string& shared_secret);

/// The entries, at most `count`, that an entry tells of its work: by rendezvous hash, so that what
/// an entry sends stays bounded in a large fleet.
std::vector<std::string> ChoosePeers(const std::string& own_address,
                                     std::vector<std::string> addresses, std::size_t count);

struct LoadExchangeOptions {
  NodeId node;
  /// IP:PORT for datagrams; empty for no exchange.
  std::string address;
  std::string shared_secret;
  /// How often notices are sent: several times within the service time of a request.
  Duration interval = milliseconds(100);
  std::size_t max_peers = 16;
};

/// Tells other entries over UDP how much work this one has at which upstreams, and hears the same
/// of them. A lost notice is replaced by the next. Runs a thread.
class LoadExchange {
 public:
  using PeerSource = std::function<std::vector<std::string>()>;

  /// Fails with kUnavailable when the address cannot be bound. The pool outlives the exchange.
  static Result<std::unique_ptr<LoadExchange>> Start(const LoadExchangeOptions& options,
                                                     UpstreamPool& pool, PeerSource peers);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  void Stop();

 private:
  struct State;
  explicit LoadExchange(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_LOAD_EXCHANGE_H_
