#include <boost/program_options/value_semantic.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/command.h"
#include "masticrill/config/document.h"

namespace masticrill::cli {
namespace {

Result<int> CheckConfig(const Arguments& arguments) {
  if (arguments.contains("example")) {
    std::cout << config::ExampleDocument() << "\n";
    return kExitSuccess;
  }
  if (!arguments.contains("FILE")) {
    return Fail(ErrorKind::kInvalidArgument, "the document is missing. Name its FILE.");
  }
  const std::string path = arguments["FILE"].as<std::string>();
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kNotFound, path + " cannot be read. Check the path.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_LEAF_AUTO(configuration, config::ParseDocument(text.str(), 0));
  std::cout << "valid: " << configuration.teams.size() << " teams, " << configuration.models.size()
            << " models, " << configuration.upstreams.size() << " upstreams\n";
  return kExitSuccess;
}

}  // namespace

Command CheckConfigCommand() {
  namespace options = boost::program_options;
  return {"check-config",
          "Check a configuration document without a control host.",
          {"masticrill check-config --example > document.json",
           "masticrill check-config document.json"},
          [](auto& description) {
            description.add_options()("FILE", options::value<std::string>(), "The JSON document.")(
                "example", "Print an example document.");
          },
          {"FILE"},
          CheckConfig};
}

}  // namespace masticrill::cli
