#include <iostream>
#include <sstream>

#include "cli/command.h"

namespace masticrill::cli {
namespace {

std::string OptionWords(const Command& command) {
  boost::program_options::options_description description;
  command.declare(description);
  std::string words;
  for (const auto& option : description.options()) {
    const std::string& name = option->long_name();
    if (!name.empty() && std::islower(static_cast<unsigned char>(name[0])) != 0) {
      words += " --" + name;
    }
  }
  return words;
}

Result<int> PrintCompletion(const Arguments& /*arguments*/) {
  std::ostringstream cases;
  std::string names;
  for (const Command& command : Commands()) {
    names += command.name.substr(0, command.name.find(' ')) + " ";
    cases << "    '" << command.name << "') words='" << OptionWords(command) << "' ;;\n";
  }
  std::cout << "_masticrill() {\n"
            << "  local words='" << names << "' current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
            << "  case \"${COMP_WORDS[1]}\" in config) words='get patch rollback status' ;; "
               "ledger) words='verify' ;; esac\n"
            << "  case \"${COMP_WORDS[*]:1:COMP_CWORD-1}\" in\n"
            << cases.str() << "  esac\n"
            << "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
            << "}\ncomplete -F _masticrill masticrill\n";
  return kExitSuccess;
}

}  // namespace

Command CompletionCommand() {
  return {"completion",
          "Print the completion script for bash.",
          {"source <(masticrill completion)"},
          [](auto&) {},
          {},
          PrintCompletion};
}

}  // namespace masticrill::cli
