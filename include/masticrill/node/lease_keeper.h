#ifndef MASTICRILL_NODE_LEASE_KEEPER_H_
#define MASTICRILL_NODE_LEASE_KEEPER_H_

#include <atomic>
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

/// Keeps a node's configuration lease: a thread asks the control host for it at each renewal
/// interval. Safe for several threads.
class LeaseKeeper {
 public:
  /// Told on the keeper's thread of each lease, with the configuration that it is for.
  using LeaseHandler = std::function<void(const config::ConfigurationPtr&, TimePoint valid_until)>;

  /// Gives the roll-out evidence that goes with a request.
  using RolloutReporter = std::function<std::vector<net::RolloutReport>()>;

  LeaseKeeper(std::shared_ptr<ControlLink> link, net::Identity self, std::string address,
              LeaseHandler on_lease, Duration renew_interval = config::kLeaseRenewInterval,
              RolloutReporter report_rollouts = {}, std::string load_address = {});
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  config::LeaseCheck Check(TimePoint now) const;
  /// The configuration in force here; null until the first lease.
  config::ConfigurationPtr Configuration() const;

  /// The entries that held leases when this node's was last renewed, this one among them.
  std::uint32_t EntryCount() const { return this->entry_count; }

  /// Where the other entries take load notices, as of then.
  std::vector<std::string> LoadAddresses() const;

  /// Ends the thread. The lease runs out by itself.
  void Stop();

 private:
  void Run();
  void Renew();
  void NoteRefusal(const std::string& reason);
  bool TakeReply(const net::LeaseReply& reply, config::LeaseRequestId request);

  std::shared_ptr<ControlLink> link;
  net::Identity self;
  std::string address;
  LeaseHandler on_lease;
  Duration renew_interval;
  RolloutReporter report_rollouts;
  std::string load_address;
  std::vector<std::string> load_addresses;
  std::atomic<std::uint32_t> entry_count = 1;
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

#endif  // MASTICRILL_NODE_LEASE_KEEPER_H_
