#include <string>
#include <vector>

#include "masticrill/cli/command_line.h"

int main(int argc, char** argv) {
  return masticrill::cli::Run(std::vector<std::string>(argv + 1, argv + argc));
}
