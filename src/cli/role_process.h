#ifndef MASTICRILL_CLI_ROLE_PROCESS_H_
#define MASTICRILL_CLI_ROLE_PROCESS_H_

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "cli/termination.h"
#include "masticrill/common/log.h"
#include "masticrill/common/role_settings.h"
#include "masticrill/common/settings.h"

namespace masticrill::cli {

inline void DeclareRoleOptions(boost::program_options::options_description& description) {
  namespace options = boost::program_options;
  description.add_options()("config", options::value<std::string>(), "The settings file (INI).")(
      "example", "Print a commented settings file and end.")("check",
                                                             "Check the settings file and end.");
}

/// Runs one role until it is told to stop. `start` makes the server from the checked settings;
/// `describe` prints the addresses of a started server as one line.
template <typename Start, typename Describe>
Result<int> RunRole(const Arguments& arguments, const std::vector<SettingDeclaration>& declarations,
                    const Start& start, const Describe& describe) {
  if (arguments.contains("example")) {
    std::cout << ExampleSettings(declarations);
    return kExitSuccess;
  }
  if (!arguments.contains("config")) {
    return Fail(ErrorKind::kInvalidArgument,
                "the settings file is missing. Add --config FILE; --example prints one.");
  }
  BOOST_LEAF_AUTO(settings, Settings::Load(arguments["config"].as<std::string>(), declarations));
  BOOST_LEAF_AUTO(log_options, ReadLogOptions(settings));
  // Before any thread starts, so that none takes a signal in place of WaitForTermination.
  BlockTerminationSignals();
  ConfigureLog(log_options);
  BOOST_LEAF_AUTO(server, start(settings, arguments.contains("check")));
  if (server == nullptr) {
    std::cout << "The settings are valid.\n";
    return kExitSuccess;
  }
  std::cout << describe(*server) << std::endl;
  WaitForTermination();
  server->Stop();
  constexpr std::chrono::milliseconds kLogFlushTime{200};
  FlushLog(kLogFlushTime);
  return kExitSuccess;
}

}  // namespace masticrill::cli

#endif  // MASTICRILL_CLI_ROLE_PROCESS_H_
