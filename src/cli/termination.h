#ifndef MASTICRILL_CLI_TERMINATION_H_
#define MASTICRILL_CLI_TERMINATION_H_

#include <chrono>
#include <optional>

namespace masticrill::cli {

/// Keeps SIGTERM and SIGINT from ending the process, so that it can stop in order, and ignores
/// SIGPIPE. Called before any thread is started, since threads inherit it.
void BlockTerminationSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForTermination();

/// What a process was told from outside.
enum class ProcessSignal { kStop, kReload };

/// Blocks the signals that WaitForSignal takes. Called before any thread is started.
void BlockProcessSignals();
/// Waits for the order to stop (SIGTERM, SIGINT) or to read the settings again (SIGHUP); nothing
/// when none came in that time.
std::optional<ProcessSignal> WaitForSignal(std::chrono::milliseconds timeout);

}  // namespace masticrill::cli

#endif  // MASTICRILL_CLI_TERMINATION_H_
