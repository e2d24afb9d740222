#include <iostream>

#include "cli/command.h"

namespace masticrill::cli {

Command VersionCommand() {
  return {"version",
          "Print the program's version.",
          {},
          [](auto&) {},
          {},
          [](const Arguments&) -> Result<int> {
            std::cout << "masticrill " << MASTICRILL_VERSION << "\n";
            return kExitSuccess;
          }};
}

}  // namespace masticrill::cli
