#ifndef MASTICRILL_CLI_COMMAND_LINE_H_
#define MASTICRILL_CLI_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace masticrill::cli {

/// Runs the program with the words behind its name. Results go to standard output, errors with
/// their remedies to standard error. Returns the exit code: 0 success, 1 the request was refused or
/// failed, 2 wrong usage, 3 the control host cannot be reached, 4 the configuration number is
/// stale.
int Run(const std::vector<std::string>& words);

}  // namespace masticrill::cli

#endif  // MASTICRILL_CLI_COMMAND_LINE_H_
