#ifndef MASTICRILL_CLI_COMMAND_H_
#define MASTICRILL_CLI_COMMAND_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"

namespace masticrill::cli {

/// Exit codes of the program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitStale = 4;

using Arguments = boost::program_options::variables_map;

/// One subcommand: its options are declared once, for parsing, help and completion.
struct Command {
  /// One or two words: "entry", "config patch".
  std::string name;
  std::string summary;
  /// Lines shown under "Examples:".
  std::vector<std::string> examples;
  std::function<void(boost::program_options::options_description&)> declare;
  /// Names of the positional arguments, in order; each is an option too.
  std::vector<std::string> positional;
  /// Runs the command and returns the exit code.
  std::function<Result<int>(const Arguments&)> run;
};

/// All subcommands, in the order of the help.
const std::vector<Command>& Commands();

/// Adds a command from outside this folder. A file that defines one holds a registrar for it.
class CommandRegistrar {
 public:
  explicit CommandRegistrar(Command (*make)());
};

// Each stands in a file of its own.
Command EntryCommand();
Command SidecarCommand();
Command ControlCommand();
Command DevCommand();
Command CheckConfigCommand();
Command ConfigGetCommand();
Command ConfigPatchCommand();
Command ConfigRollbackCommand();
Command ConfigStatusCommand();
Command StatusCommand();
Command ExplainCommand();
Command LedgerCommand();
Command LedgerVerifyCommand();
Command CompletionCommand();
Command VersionCommand();

}  // namespace masticrill::cli

#endif  // MASTICRILL_CLI_COMMAND_H_
