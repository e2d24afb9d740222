#ifndef MASTICRILL_NODE_LEASE_CLIENT_H_
#define MASTICRILL_NODE_LEASE_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "masticrill/common/clock.h"
#include "masticrill/config/lease.h"
#include "masticrill/node/configuration_receiver.h"
#include "masticrill/node/control_link.h"

namespace masticrill::node {

/// Validity of a granted lease, and the facts about the entries that its reply carries.
struct LeaseUpdate {
  TimePoint valid_until;
  /// Number of entries that hold leases and share the limits that apply to all of them together; at
  /// least 1.
  std::uint32_t entry_count = 1;
  /// Position of this entry's load address among theirs, from 0; 0 when it has none.
  std::uint32_t entry_rank = 0;
  /// The load addresses of the entries that hold leases.
  std::vector<std::string> load_addresses = {};
  /// The reply to the last report; empty where none was sent, or where the control host takes none.
  net::EntryReportReply report_reply = {};
};

/// Renews a node's configuration lease: a thread of its own requests the lease from the control
/// host at each renewal interval. Thread-safe.
class LeaseClient {
 public:
  /// Called on the client's thread for each granted lease, with the configuration of that lease.
  /// Puts the configuration in force and returns whether it is; the lease is taken only then.
  using LeaseHandler = std::function<bool(const config::ConfigurationPtr&, const LeaseUpdate&)>;

  /// Receives the shared list, which was read from its source `age` ago. The bytes of a version are
  /// passed once.
  using ListHandler = std::function<void(const std::string& bytes, Duration age)>;

  /// Optional parts of lease requests, and handlers for optional parts of the replies.
  struct Options {
    Duration renew_interval = config::kLeaseRenewInterval;
    /// Returns the roll-out evidence to send with a request.
    std::function<std::vector<net::RolloutReport>()> report_rollouts = {};
    /// Returns the report to send beside a request; empty to send none. The client fills in who
    /// sends it.
    std::function<net::EntryReport()> make_report = {};
    /// Address at which the node receives load notices; empty for none.
    std::string load_address = {};
    /// Called with the shared list of each granted reply that has one; the bytes are empty when the
    /// list is unchanged.
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

  /// Addresses at which entries receive load notices, as of the last granted lease.
  std::vector<std::string> LoadAddresses() const;

  /// Renews the lease shortly instead of at the next interval, to send a report with it.
  void RenewSoon();

  /// Ends the thread. The lease is not released; it expires.
  void Stop();

 private:
  /// What to do after a request.
  enum class NextRequest { kAtInterval, kSoon, kAtOnce };

  void Run();
  NextRequest Renew();
  Result<net::RenewReply> Ask(const net::RenewRequest& request);
  std::uint32_t RankOfThisEntry(std::vector<std::string> addresses) const;
  void LogRefusal(const std::string& reason);
  void SendReport();
  NextRequest ApplyReply(const net::RenewReply& reply, config::LeaseRequestId request,
                         TimePoint sent_at);
  NextRequest TakeGrant(const net::LeaseReply& reply, config::LeaseRequestId request,
                        const config::ConfigurationPtr& received);
  void LogChange(const config::Configuration& configuration);

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
  bool renew_soon = false;
  /// Used only by the client's thread.
  net::EntryReportReply report_reply;
  config::LeaseHolder holder;
  ConfigurationReceiver receiver;
  /// When the first reply that belongs to a newer configuration came, and what was received before.
  std::optional<TimePoint> change_begun_at;
  TransferStats before_change;
  /// The control host of an earlier program that was asked last, and until when it is taken for
  /// one.
  std::weak_ptr<net::RpcClient> older_host;
  TimePoint older_host_until;
  /// Reason why the last request was not granted; empty when it was. Used only by the client's
  /// thread.
  std::string last_refusal;
  std::thread thread;
};

}  // namespace masticrill::node

#endif  // MASTICRILL_NODE_LEASE_CLIENT_H_
