#ifndef MASTICRILL_NODE_COMMAND_SENDER_H_
#define MASTICRILL_NODE_COMMAND_SENDER_H_

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/node/control_link.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/results.h"

namespace masticrill::node {

/// Commits commands through a control host. Commands that are queued at the same time are sent in
/// one message. A command whose reply was lost is sent again until its time-out, which is safe
/// because the commands of the replicated state are idempotent. Thread-safe; owns its sender
/// threads.
class CommandSender {
 public:
  explicit CommandSender(std::shared_ptr<ControlLink> link);
  ~CommandSender();
  CommandSender(const CommandSender&) = delete;
  CommandSender& operator=(const CommandSender&) = delete;

  /// Waits until the command is committed. Fails with kUnavailable after `timeout`; the command may
  /// still be committed later.
  Result<state::CommandResult> Commit(const state::Command& command, Duration timeout);

  void Stop();

 private:
  /// A command whose caller waits for the result.
  struct PendingCommand {
    std::string command;
    std::mutex mutex;
    std::condition_variable done;
    std::optional<std::string> result;
    bool abandoned = false;
  };
  using PendingCommandPtr = std::shared_ptr<PendingCommand>;

  void Run();
  std::vector<PendingCommandPtr> DequeueBatch();
  bool SendBatch(const std::vector<PendingCommandPtr>& batch);
  void Requeue(const std::vector<PendingCommandPtr>& batch);

  std::shared_ptr<ControlLink> link;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<PendingCommandPtr> queue;
  bool stopped = false;
  std::vector<std::thread> threads;
};

}  // namespace masticrill::node

#endif  // MASTICRILL_NODE_COMMAND_SENDER_H_
