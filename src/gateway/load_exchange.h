#ifndef MASTICRILL_GATEWAY_LOAD_EXCHANGE_H_
#define MASTICRILL_GATEWAY_LOAD_EXCHANGE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/gateway/upstream_pool.h"

namespace masticrill::gateway {

/// One entry's work at all upstreams, sent to other entries as one datagram.
struct LoadNotice {
  NodeId sender;
  /// Increases with each notice of a sender; receivers drop a notice that arrives after a later
  /// one. Starts from the wall-clock time of the sender's start, so that the notices of a restarted
  /// sender are not dropped as old.
  std::uint64_t sequence = 0;
  std::vector<UpstreamWork> work;

  friend bool operator==(const LoadNotice&, const LoadNotice&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->sequence, this->work);
  }
};

/// News of the limits that upstreams state, in a datagram of its own: entries of an earlier program
/// reject it and still take load notices.
struct LimitNotice {
  NodeId sender;
  std::vector<StatedLimit> limits;

  friend bool operator==(const LimitNotice&, const LimitNotice&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->sender, this->limits);
  }
};

/// Encodes a notice with a signature, and decodes it. Decoding fails with kMalformedMessage or
/// kUnauthenticated.
std::string EncodeNotice(const LoadNotice& notice, const std::string& shared_secret);
Result<LoadNotice> DecodeNotice(const std::string& datagram, const std::string& shared_secret);
/// The same for news of limits, which are signed otherwise.
std::string EncodeLimits(const LimitNotice& notice, const std::string& shared_secret);
Result<LimitNotice> DecodeLimits(const std::string& datagram, const std::string& shared_secret);
/// Whether the datagram is a LimitNotice. Its signature is not checked.
bool IsLimitNotice(std::string_view datagram);

/// Chooses the entries to which an entry sends its notices: at most `count`, so that its traffic
/// stays bounded in a large fleet. A rendezvous hash spreads the choices over the fleet.
std::vector<std::string> ChoosePeers(const std::string& own_address,
                                     std::vector<std::string> addresses, std::size_t count);

struct LoadExchangeOptions {
  NodeId node;
  /// IP:PORT for datagrams.
  std::string address;
  std::string shared_secret;
  /// How often notices are sent: several times within the service time of a request.
  Duration interval = milliseconds(100);
  std::size_t max_peers = 16;
  /// How often load notices are sent in a fleet of more entries than receive those of one: there,
  /// each entry knows a sample of the work only. News of limits is passed on at `interval`.
  Duration sample_interval = milliseconds(300);
};

/// How often an entry sends load notices when so many entries, itself included, take them.
Duration NoticeInterval(const LoadExchangeOptions& options, std::size_t entries);

/// Tells other entries over UDP how much work this one has at each upstream, and passes the
/// notices of other entries to the pool. A lost notice is replaced by the next one. Runs on a
/// thread of its own.
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
