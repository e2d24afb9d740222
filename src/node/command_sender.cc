#include "masticrill/node/command_sender.h"

#include <algorithm>

#include "masticrill/common/log.h"
#include "masticrill/state/codec.h"

namespace masticrill::node {
namespace {

constexpr Logger kLog(LogPart::kNet);
constexpr std::size_t kMaxBatchCommands = 256;
/// Batches in flight at once, so that commands are collected into one batch while others commit.
constexpr int kSenderThreadCount = 4;
constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kRetryInterval{100};

}  // namespace

CommandSender::CommandSender(std::shared_ptr<ControlLink> link) : link(std::move(link)) {
  for (int i = 0; i < kSenderThreadCount; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

CommandSender::~CommandSender() { this->Stop(); }

void CommandSender::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

Result<state::CommandResult> CommandSender::Commit(const state::Command& command,
                                                   Duration timeout) {
  const auto pending = std::make_shared<PendingCommand>();
  pending->command = state::EncodeCommand(command);
  {
    const std::lock_guard lock(this->mutex);
    this->queue.push_back(pending);
  }
  this->changed.notify_one();
  std::unique_lock lock(pending->mutex);
  pending->done.wait_for(lock, timeout, [&] { return pending->result.has_value(); });
  if (!pending->result) {
    pending->abandoned = true;
    return Fail(
        ErrorKind::kUnavailable,
        "The control replicas did not commit before the time-out. Check that a majority runs.");
  }
  return state::DecodeResult(*pending->result);
}

void CommandSender::Run() {
  while (true) {
    const std::vector<PendingCommandPtr> batch = this->DequeueBatch();
    if (batch.empty()) {
      return;
    }
    if (!this->SendBatch(batch)) {
      this->Requeue(batch);
    }
  }
}

std::vector<CommandSender::PendingCommandPtr> CommandSender::DequeueBatch() {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] { return this->stopped || !this->queue.empty(); });
  std::vector<PendingCommandPtr> batch;
  while (!this->queue.empty() && batch.size() < kMaxBatchCommands) {
    batch.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  return this->stopped ? std::vector<PendingCommandPtr>() : batch;
}

bool CommandSender::SendBatch(const std::vector<PendingCommandPtr>& batch) {
  net::ProposeRequest request;
  for (const PendingCommandPtr& pending : batch) {
    request.commands.push_back(pending->command);
  }
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, this->link->Call<net::ProposeReply>(request, kCallTimeout));
        if (reply.results.size() != batch.size()) {
          return Fail(ErrorKind::kMalformedMessage,
                      "A control host returned a wrong number of results.");
        }
        for (std::size_t i = 0; i < batch.size(); ++i) {
          const std::lock_guard lock(batch[i]->mutex);
          batch[i]->result = reply.results[i];
          batch[i]->done.notify_all();
        }
        return true;
      },
      [](const Error& error) {
        kLog.Warning("A batch of commands was not committed; sending it again.",
                     {{"reason", error.message}});
        return false;
      });
}

void CommandSender::Requeue(const std::vector<PendingCommandPtr>& batch) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, kRetryInterval, [this] { return this->stopped; });
  for (auto pending = batch.rbegin(); pending != batch.rend(); ++pending) {
    const std::lock_guard pending_lock((*pending)->mutex);
    if (!(*pending)->abandoned) {
      this->queue.push_front(*pending);
    }
  }
}

}  // namespace masticrill::node
