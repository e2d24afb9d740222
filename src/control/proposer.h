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

/// How a request to commit commands ended.
enum class CommitStatus {
  kCommitted,
  kNotLeader,   // No effect: leadership is moving.
  kNoQuorum,    // No effect: no leader with a quorum is known.
  kOverloaded,  // No effect: too much waits.
  kStopping,    // No effect: this host is stopping.
  kMalformed,   // No effect: the commands are too large, or are none.
  kUnknown,     // It may take effect.
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

/// The error, with its remedy, that a requester gets for an end other than kCommitted.
Error ToError(CommitStatus status);

/// Whether a leader is known and, at the leader, whether its quorum answered lately.
bool HasQuorum(const consensus::DriverStatus& status, TimePoint now, Duration election_timeout);

/// Commits commands: through the local replica where it leads, else through the leader. Safe for
/// several threads.
class Proposer {
 public:
  using Callback = std::function<void(CommitOutcome)>;

  /// The arguments outlive the proposer.
  Proposer(ReplicaRunner& replica, AddressBook& addresses, const ControlTimings& timings);
  ~Proposer();
  Proposer(const Proposer&) = delete;
  Proposer& operator=(const Proposer&) = delete;

  /// The callback runs once, on this or another thread; it must not block. Commands that another
  /// replica handed on are not handed on again.
  void Propose(std::vector<std::string> commands, bool forwarded, Callback callback);
  /// Waits for the end, at most for the time that the settings give.
  CommitOutcome ProposeAndWait(std::vector<std::string> commands);

  /// Refuses all further commands.
  void StopAccepting() { this->stopping = true; }
  /// Ends the threads. Commands that wait to be handed on get kStopping.
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
