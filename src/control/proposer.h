#ifndef MASTICRILL_CONTROL_PROPOSER_H_
#define MASTICRILL_CONTROL_PROPOSER_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "control/address_book.h"
#include "control/replica_runner.h"
#include "masticrill/common/error.h"
#include "masticrill/common/metrics.h"

namespace masticrill::control {

/// Result of a request to commit commands.
enum class CommitStatus {
  kCommitted,
  kNotLeader,   // No effect: the leader is being elected or transferred.
  kNoQuorum,    // No effect: no leader with a quorum is known.
  kOverloaded,  // No effect: too many commands are pending.
  kStopping,    // No effect: this host is stopping.
  kMalformed,   // No effect: there are no commands, or they are too large.
  kUnknown,     // The commands may take effect.
};

inline constexpr std::array kAllCommitStatuses = {
    CommitStatus::kCommitted,  CommitStatus::kNotLeader, CommitStatus::kNoQuorum,
    CommitStatus::kOverloaded, CommitStatus::kStopping,  CommitStatus::kMalformed,
    CommitStatus::kUnknown,
};

std::string_view ToString(CommitStatus status);

struct CommitOutcome {
  CommitStatus status = CommitStatus::kUnknown;
  /// The encoded results, one for each command, when committed.
  std::vector<std::string> results;
};

/// The error, with its remedy, that the requester receives for a status other than kCommitted.
Error ToError(CommitStatus status);

/// Whether a leader is known and, on the leader, whether its quorum answered within
/// `election_timeout`.
bool HasQuorum(const consensus::DriverStatus& status, TimePoint now, Duration election_timeout);

/// Commits commands, through the local replica when it leads and otherwise by forwarding them to
/// the leader. Thread-safe; owns the forwarding threads.
class Proposer {
 public:
  using Callback = std::function<void(CommitOutcome)>;

  /// The arguments must outlive the proposer.
  Proposer(ReplicaRunner& replica, AddressBook& addresses, const ControlTimings& timings);
  ~Proposer();
  Proposer(const Proposer&) = delete;
  Proposer& operator=(const Proposer&) = delete;

  /// The callback is called once, on the calling or another thread, and must not block. Commands
  /// that another replica has forwarded here are not forwarded again.
  void Propose(std::vector<std::string> commands, bool forwarded, Callback callback);
  /// Waits for the result, for at most ControlTimings::propose_timeout.
  CommitOutcome ProposeAndWait(std::vector<std::string> commands);

  /// Rejects all further commands with kStopping.
  void StopAccepting() { this->stopping = true; }
  /// Ends the threads. Commands that wait to be forwarded end with kStopping.
  void Stop();

  const EnumCounter<CommitStatus, kAllCommitStatuses.size()>& StatusCounts() const {
    return this->status_counts;
  }
  std::uint64_t Forwarded() const { return this->forwarded_commands; }

 private:
  struct PendingRequest {
    std::vector<std::string> commands;
    Callback callback;
  };

  void ProposeHere(std::vector<std::string> commands, const Callback& callback);
  void RunForwarder();
  std::vector<PendingRequest> DequeuePending(std::unique_lock<std::mutex>& lock);
  void Forward(std::vector<PendingRequest> taken);
  CommitOutcome CallLeader(std::vector<std::string> commands);
  net::FrameQueue::Next AwaitAnswer(net::Exchange& exchange, const NodeId& leader) const;

  ReplicaRunner& replica;
  AddressBook& addresses;
  ControlTimings timings;
  SystemClock clock;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> forwarded_commands = 0;
  EnumCounter<CommitStatus, kAllCommitStatuses.size()> status_counts{kAllCommitStatuses};

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<PendingRequest> pending;
  std::size_t pending_commands = 0;
  bool stopped = false;
  std::vector<std::thread> forwarders;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_PROPOSER_H_
