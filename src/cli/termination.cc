#include "cli/termination.h"

#include <csignal>
#include <cstdint>
#include <ctime>

namespace masticrill::cli {
namespace {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

sigset_t ProcessSignals() {
  sigset_t signals = TerminationSignals();
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockProcessSignals() {
  const sigset_t signals = ProcessSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<ProcessSignal> WaitForSignal(std::chrono::milliseconds timeout) {
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1'000'000;
  const sigset_t signals = ProcessSignals();
  const timespec wait{timeout.count() / kMsPerSecond, timeout.count() % kMsPerSecond * kNsPerMs};
  switch (sigtimedwait(&signals, nullptr, &wait)) {
    case SIGTERM:
    case SIGINT:
      return ProcessSignal::kStop;
    case SIGHUP:
      return ProcessSignal::kReload;
    default:
      return std::nullopt;
  }
}

void BlockTerminationSignals() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForTermination() {
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace masticrill::cli
