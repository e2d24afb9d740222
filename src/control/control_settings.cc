#include "masticrill/control/control_settings.h"

#include <string>
#include <utility>

#include "masticrill/common/role_settings.h"

namespace masticrill::control {
namespace {

constexpr const char* kNode = "node";
constexpr const char* kControl = "control";

Result<PeerAddress> ParsePeer(const std::string& text) {
  const std::size_t middle = text.find('=');
  if (middle == std::string::npos || middle == 0 || text.find(':', middle) == std::string::npos) {
    return Fail(ErrorKind::kInvalidSettings, "control.peers has \"" + text +
                                                 "\". Write each peer as NODE=IP:PORT, with "
                                                 "commas between.");
  }
  return PeerAddress{NodeId(text.substr(0, middle)), text.substr(middle + 1)};
}

}  // namespace

const std::vector<SettingDeclaration>& ControlSettingDeclarations() {
  static const std::vector<SettingDeclaration> kDeclarations = RoleSettingDeclarations({
      {.section = kControl,
       .key = "rpc_listen",
       .type = SettingType::kAddress,
       .default_value = "127.0.0.1:7400",
       .description = "IP:PORT on which nodes and other control hosts connect."},
      {.section = kControl,
       .key = "http_listen",
       .type = SettingType::kAddress,
       .default_value = "127.0.0.1:7401",
       .description = "IP:PORT of the HTTP interface for operators."},
      {.section = kControl,
       .key = "data_folder",
       .required = true,
       .description = "Folder of the files of the replica."},
      {.section = kControl,
       .key = "peers",
       .description = "The control hosts of the group as NODE=IP:PORT, with commas between; empty "
                      "for a group of this host alone."},
      {.section = kControl,
       .key = "join",
       .type = SettingType::kBoolean,
       .default_value = "false",
       .description = "Wait to be added to a running group instead of forming one."},
      {.section = kControl,
       .key = "bootstrap_document",
       .description = "File with the configuration that is committed when the group has none."},
      {.section = kControl,
       .key = "bootstrap_operator_key",
       .description =
           "Key that may change the configuration while the configuration has no operator."},
  });
  return kDeclarations;
}

Result<ControlOptions> ReadControlOptions(const Settings& settings) {
  ControlOptions options;
  options.node = NodeId(settings.Text(kNode, "name"));
  options.failure_domain = FailureDomainId(settings.Text(kNode, "failure_domain"));
  options.rpc_address = settings.Text(kControl, "rpc_listen");
  options.http_address = settings.Text(kControl, "http_listen");
  options.data_folder = settings.Text(kControl, "data_folder");
  for (const std::string& text : settings.List(kControl, "peers")) {
    BOOST_LEAF_AUTO(peer, ParsePeer(text));
    options.peers.push_back(std::move(peer));
  }
  options.join = settings.Boolean(kControl, "join");
  if (const std::string& path = settings.Text(kControl, "bootstrap_document"); !path.empty()) {
    BOOST_LEAF_AUTO(document, ReadSettingFile(path));
    options.bootstrap_document = std::move(document);
  }
  options.bootstrap_operator_key = settings.Text(kControl, "bootstrap_operator_key");
  BOOST_LEAF_AUTO(secret, ReadSharedSecret(settings));
  options.shared_secret = std::move(secret);
  return options;
}

}  // namespace masticrill::control
