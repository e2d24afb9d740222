#ifndef MASTICRILL_ENTRY_LEDGER_CLIENT_H_
#define MASTICRILL_ENTRY_LEDGER_CLIENT_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/net/channel.h"
#include "masticrill/node/command_sender.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/records.h"

namespace masticrill::entry {

/// Reports to the control hosts what an entry received, how it ended and what it costs. Safe for
/// several threads. A thread sends what has gathered; a charge that cannot be committed at once is
/// held and sent again.
class LedgerClient {
 public:
  LedgerClient(node::CommandSender& sender, const net::Identity& self);
  ~LedgerClient();
  LedgerClient(const LedgerClient&) = delete;
  LedgerClient& operator=(const LedgerClient&) = delete;

  void CountReceived(const state::TeamClass& team_class);
  void CountEnded(const state::Outcome& outcome);

  /// Bills a request. Returns true once the ledger has the line; after `timeout` the line is held
  /// and sent again later.
  bool Charge(const state::ChargeLine& line, Duration timeout);

  std::size_t HeldCharges() const;

  /// Sends what is left, for at most the given time, then ends the thread.
  void Stop(Duration limit);

 private:
  struct OpenReport {
    std::map<state::TeamClass, std::uint64_t> received;
    std::vector<state::Outcome> outcomes;
  };

  void Run();
  bool SendReport();
  bool SendHeldCharges();
  bool CommitCharge(const state::ChargeLine& line, Duration timeout);
  state::RecordOutcomes MakeReport();
  void StartNewStream();
  bool Settled() const;

  node::CommandSender& sender;
  net::Identity self;
  SystemClock clock;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  /// Requests received since the report stream began.
  std::map<state::TeamClass, std::uint64_t> received;
  /// Requests received and not ended: what a new stream begins with.
  std::map<state::TeamClass, std::uint64_t> open;
  bool received_changed = false;
  std::deque<state::Outcome> ended;
  std::deque<state::ChargeLine> held_charges;
  /// The report under way. It is sent again unchanged until it is recorded.
  std::optional<state::RecordOutcomes> unanswered;
  std::uint64_t next_report = 1;
  std::uint64_t stream = 0;
  std::thread thread;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_LEDGER_CLIENT_H_
