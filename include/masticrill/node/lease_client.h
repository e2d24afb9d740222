#ifndef MASTICRILL_NODE_LEASE_CLIENT_H_
#define MASTICRILL_NODE_LEASE_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "masticrill/common/clock.h"
#include "masticrill/config/delta.h"
#include "masticrill/config/lease.h"
#include "masticrill/node/control_link.h"

namespace masticrill::node {

/// What comes with a lease.
struct LeaseUpdate {
  TimePoint valid_until;
  /// The entries that hold leases, which share limits that bind all of them together; at least 1.
  std::uint32_t entry_count = 1;
  /// The place of this entry among them, from 0; 0 where it is not known.
  std::uint32_t entry_rank = 0;
};

/// Keeps a node's configuration lease: a thread asks the control host for it at each renewal
/// interval. Safe for several threads.
class LeaseClient {
 public:
  /// Told on the keeper's thread of each lease, with the configuration that it is for.
  using LeaseHandler = std::function<void(const config::ConfigurationPtr&, const LeaseUpdate&)>;

  /// Told of a list that was read `age` ago. A version comes once.
  using ListHandler = std::function<void(const std::string& bytes, Duration age)>;

  /// What a node may add to its requests and take from the replies.
  struct Options {
    Duration renew_interval = config::kLeaseRenewInterval;
    /// Gives the roll-out evidence that goes with a request.
    std::function<std::vector<net::RolloutReport>()> report_rollouts = {};
    /// Where the node takes load notices; empty for none.
    std::string load_address = {};
    /// Takes the shared list; called with each reply, with no bytes where it is unchanged.
    ListHandler on_list = {};
  };

  LeaseClient(std::shared_ptr<ControlLink> link, net::Identity self, std::string address,
              LeaseHandler on_lease);
  LeaseClient(std::shared_ptr<ControlLink> link, net::Identity self, std::string address,
              LeaseHandler on_lease, Options options);
  ~LeaseClient();
  LeaseClient(const LeaseClient&) = delete;
  LeaseClient& operator=(const LeaseClient&) = delete;

  config::LeaseCheck Check(TimePoint now) const;
  /// The configuration in force here; null until the first lease.
  config::ConfigurationPtr Configuration() const;

  /// Where the other entries take load notices, as of then.
  std::vector<std::string> LoadAddresses() const;

  /// Ends the thread. The lease runs out by itself.
  void Stop();

 private:
  void Run();
  void Renew();
  std::uint32_t RankOfThisEntry(std::vector<std::string> addresses) const;
  void LogRefusal(const std::string& reason);
  bool ApplyReply(const net::LeaseReply& reply, config::LeaseRequestId request);

  std::shared_ptr<ControlLink> link;
  net::Identity self;
  std::string address;
  LeaseHandler on_lease;
  Options options;
  std::uint64_t list_version = 0;
  std::vector<std::string> load_addresses;
  SystemClock clock;
  std::uint64_t started_at_ms;
  mutable std::mutex mutex;
  std::condition_variable stopping;
  bool stopped = false;
  bool was_granted = false;
  config::LeaseHolder holder;
  config::NumberedDocument document;
  /// Why the last request got no lease; empty when it got one. Used by the thread.
  std::string last_refusal;
  std::thread thread;
};

}  // namespace masticrill::node

#endif  // MASTICRILL_NODE_LEASE_CLIENT_H_
