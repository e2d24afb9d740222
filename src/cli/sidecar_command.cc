#include "cli/command.h"
#include "cli/role_process.h"
#include "masticrill/sidecar/sidecar_server.h"

namespace masticrill::cli {
namespace {

using sidecar::SidecarServer;

Result<std::unique_ptr<SidecarServer>> Start(const Settings& settings, bool check_only) {
  BOOST_LEAF_AUTO(options, sidecar::ReadSidecarOptions(settings));
  if (check_only) {
    return std::unique_ptr<SidecarServer>();
  }
  return SidecarServer::Start(options);
}

}  // namespace

Command SidecarCommand() {
  return {"sidecar",
          "Run a sidecar: the way into one upstream.",
          {"masticrill sidecar --example > sidecar.ini", "masticrill sidecar --config sidecar.ini"},
          DeclareRoleOptions,
          {},
          [](const Arguments& arguments) {
            return RunRole(arguments, sidecar::SidecarSettingDeclarations(), Start,
                           [](const SidecarServer& server) {
                             return "sidecar ready rpc=" + server.RpcAddress() +
                                    " http=" + server.HttpAddress();
                           });
          }};
}

}  // namespace masticrill::cli
