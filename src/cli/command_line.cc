#include "masticrill/cli/command_line.h"

#include <algorithm>
#include <boost/program_options/parsers.hpp>
#include <iostream>

#include "cli/command.h"

namespace masticrill::cli {
namespace {

namespace options = boost::program_options;

constexpr std::size_t kNameWidth = 18;
constexpr unsigned kHelpWidth = 100;

std::vector<std::string> SplitWords(const std::string& name) {
  const std::size_t space = name.find(' ');
  if (space == std::string::npos) {
    return {name};
  }
  return {name.substr(0, space), name.substr(space + 1)};
}

void PrintOverview(std::ostream& out) {
  out << "masticrill: a model-aware router for versions and cascades.\n\n"
      << "Usage: masticrill COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name << std::string(kNameWidth - command.name.size(), ' ')
        << command.summary << "\n";
  }
  out << "\nmasticrill COMMAND --help tells the options of a command.\n"
      << "Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 control host not reached,\n"
      << "4 stale configuration number.\n";
}

options::options_description DescriptionOf(const Command& command) {
  options::options_description description("Options", kHelpWidth);
  description.add_options()("help,h", "Show this help.");
  command.declare(description);
  return description;
}

void PrintHelp(std::ostream& out, const Command& command) {
  out << command.summary << "\n\nUsage: masticrill " << command.name;
  for (const std::string& name : command.positional) {
    out << " " << name;
  }
  out << " [OPTIONS]\n\n" << DescriptionOf(command);
  if (!command.examples.empty()) {
    out << "\nExamples:\n";
  }
  for (const std::string& example : command.examples) {
    out << "  " << example << "\n";
  }
}

const Command* FindCommand(const std::vector<std::string>& words) {
  const Command* found = nullptr;
  for (const Command& command : Commands()) {
    const std::vector<std::string> name = SplitWords(command.name);
    const bool matches =
        words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin());
    if (matches && (found == nullptr || name.size() > SplitWords(found->name).size())) {
      found = &command;
    }
  }
  return found;
}

int UsageError(const std::string& message) {
  std::cerr << "masticrill: " << message << "\n";
  return kExitUsage;
}

int RunCommand(const Command& command, const std::vector<std::string>& words) {
  const options::options_description description = DescriptionOf(command);
  options::positional_options_description positional;
  for (const std::string& name : command.positional) {
    positional.add(name.c_str(), 1);
  }
  Arguments arguments;
  try {
    options::store(
        options::command_line_parser(words).options(description).positional(positional).run(),
        arguments);
    if (arguments.contains("help")) {
      PrintHelp(std::cout, command);
      return kExitSuccess;
    }
    options::notify(arguments);
  } catch (const options::error& error) {
    return UsageError(std::string(error.what()) + ". See: masticrill " + command.name + " --help");
  }
  return HandleErrors([&] { return command.run(arguments); },
                      [](const Error& error) {
                        std::cerr << "masticrill: " << error.message << "\n";
                        switch (error.kind) {
                          case ErrorKind::kUnavailable:
                          case ErrorKind::kTimeout:
                            return kExitUnreachable;
                          case ErrorKind::kStaleConfiguration:
                            return kExitStale;
                          case ErrorKind::kInvalidArgument:
                            return kExitUsage;
                          default:
                            return kExitFailure;
                        }
                      });
}

std::vector<Command (*)()>& RegisteredCommands() {
  static std::vector<Command (*)()> commands;
  return commands;
}

std::vector<Command> AllCommands() {
  std::vector<Command> commands = {
      DevCommand(),          EntryCommand(),      SidecarCommand(),     ControlCommand(),
      CheckConfigCommand(),  ConfigGetCommand(),  ConfigPatchCommand(), ConfigRollbackCommand(),
      ConfigStatusCommand(), StatusCommand(),     ExplainCommand(),     LedgerCommand(),
      LedgerVerifyCommand(), CompletionCommand(), VersionCommand(),
  };
  for (Command (*make)() : RegisteredCommands()) {
    commands.push_back(make());
  }
  return commands;
}

}  // namespace

CommandRegistrar::CommandRegistrar(Command (*make)()) { RegisteredCommands().push_back(make); }

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = AllCommands();
  return kCommands;
}

int Run(const std::vector<std::string>& words) {
  if (words.empty()) {
    PrintOverview(std::cerr);
    return kExitUsage;
  }
  if (words[0] == "--help" || words[0] == "-h" || words[0] == "help") {
    PrintOverview(std::cout);
    return kExitSuccess;
  }
  if (words[0] == "--version") {
    return RunCommand(VersionCommand(), {});
  }
  const Command* command = FindCommand(words);
  if (command == nullptr) {
    return UsageError("there is no command '" + words[0] + "'. See: masticrill --help");
  }
  const auto name_words = static_cast<std::ptrdiff_t>(SplitWords(command->name).size());
  return RunCommand(*command, {words.begin() + name_words, words.end()});
}

}  // namespace masticrill::cli
