#include "masticrill/common/role_settings.h"
#include "masticrill/sidecar/sidecar_server.h"

namespace masticrill::sidecar {

const std::vector<SettingDeclaration>& SidecarSettingDeclarations() {
  static const std::vector<SettingDeclaration> kDeclarations = RoleSettingDeclarations({
      {.section = "sidecar",
       .key = "rpc_listen",
       .type = SettingType::kAddress,
       .required = true,
       .description = "IP:PORT on which the sidecar accepts connections from entries."},
      {.section = "sidecar",
       .key = "http_listen",
       .type = SettingType::kAddress,
       .default_value = "127.0.0.1:0",
       .description = "IP:PORT of /healthz, /readyz and /metrics."},
      {.section = "sidecar",
       .key = "control",
       .type = SettingType::kAddressList,
       .required = true,
       .description = "RPC addresses of the control hosts."},
      {.section = "sidecar",
       .key = "max_connections",
       .type = SettingType::kInteger,
       .default_value = "512",
       .unit = "connections",
       .minimum = 1,
       .maximum = 10000,
       .description = "Maximum number of open connections from entries."},
      {.section = "sidecar",
       .key = "max_threads",
       .type = SettingType::kInteger,
       .default_value = "256",
       .unit = "threads",
       .minimum = 1,
       .maximum = 4096,
       .description =
           "Maximum number of attempts at the upstream, whatever the concurrency limit."},
      {.section = "sidecar",
       .key = "queue_length",
       .type = SettingType::kInteger,
       .default_value = "1024",
       .unit = "attempts",
       .minimum = 1,
       .maximum = 100000,
       .description = "Maximum number of attempts queued for the upstream."},
      {.section = "upstream",
       .key = "kind",
       .default_value = "http",
       .description = "Plug-in that calls the upstream: http, or echo for trials."},
      {.section = "upstream",
       .key = "address",
       .type = SettingType::kAddress,
       .description = "IP:PORT of the upstream's HTTP server."},
      {.section = "upstream",
       .key = "read_timeout_ms",
       .type = SettingType::kInteger,
       .default_value = "10000",
       .unit = "ms",
       .minimum = 10,
       .maximum = 600000,
       .description = "Maximum time without data from the upstream during an answer."},
  });
  return kDeclarations;
}

Result<SidecarOptions> ReadSidecarOptions(const Settings& settings) {
  SidecarOptions options;
  options.name = settings.Text("node", "name");
  options.rpc_address = settings.Text("sidecar", "rpc_listen");
  options.http_address = settings.Text("sidecar", "http_listen");
  options.control_addresses = settings.List("sidecar", "control");
  BOOST_LEAF_ASSIGN(options.shared_secret, ReadSharedSecret(settings));
  options.upstream_kind = settings.Text("upstream", "kind");
  options.upstream_address = settings.Text("upstream", "address");
  options.upstream_read_timeout = milliseconds(settings.Integer("upstream", "read_timeout_ms"));
  options.max_connections = static_cast<int>(settings.Integer("sidecar", "max_connections"));
  options.max_threads = static_cast<std::size_t>(settings.Integer("sidecar", "max_threads"));
  options.admission.queue.max_length =
      static_cast<std::size_t>(settings.Integer("sidecar", "queue_length"));
  return options;
}

}  // namespace masticrill::sidecar
