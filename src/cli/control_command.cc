#include "cli/command.h"
#include "cli/role_process.h"
#include "masticrill/control/control_server.h"
#include "masticrill/control/control_settings.h"

namespace masticrill::cli {
namespace {

using control::ControlServer;

Result<std::unique_ptr<ControlServer>> Start(const Settings& settings, bool check_only) {
  BOOST_LEAF_AUTO(options, control::ReadControlOptions(settings));
  if (check_only) {
    return std::unique_ptr<ControlServer>();
  }
  return ControlServer::Start(options);
}

}  // namespace

Command ControlCommand() {
  return {"control",
          "Run a control host: a replica of the state that all share.",
          {"masticrill control --example > control.ini", "masticrill control --config control.ini"},
          DeclareRoleOptions,
          {},
          [](const Arguments& arguments) {
            return RunRole(arguments, control::ControlSettingDeclarations(), Start,
                           [](const ControlServer& server) {
                             return "control ready rpc=" + server.RpcAddress() +
                                    " http=" + server.HttpAddress();
                           });
          }};
}

}  // namespace masticrill::cli
