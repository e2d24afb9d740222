#include "cli/command.h"
#include "cli/role_process.h"
#include "masticrill/entry/entry_server.h"

namespace masticrill::cli {
namespace {

using entry::EntryServer;

Result<std::unique_ptr<EntryServer>> Start(const Settings& settings, bool check_only) {
  BOOST_LEAF_AUTO(options, entry::ReadEntryOptions(settings));
  if (check_only) {
    return std::unique_ptr<EntryServer>();
  }
  return EntryServer::Start(options);
}

}  // namespace

Command EntryCommand() {
  return {"entry",
          "Run an entry: takes callers' requests.",
          {"masticrill entry --example > entry.ini", "masticrill entry --config entry.ini"},
          DeclareRoleOptions,
          {},
          [](const Arguments& arguments) {
            return RunRole(arguments, entry::EntrySettingDeclarations(), Start,
                           [](const EntryServer& server) {
                             return "entry ready http=" + server.HttpAddress();
                           });
          }};
}

}  // namespace masticrill::cli
