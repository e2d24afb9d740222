#include "masticrill/common/role_settings.h"
#include "masticrill/entry/entry_server.h"

namespace masticrill::entry {

const std::vector<SettingDeclaration>& EntrySettingDeclarations() {
  static const std::vector<SettingDeclaration> kDeclarations = RoleSettingDeclarations({
      {.section = "entry",
       .key = "http_listen",
       .type = SettingType::kAddress,
       .required = true,
       .description = "IP:PORT on which callers reach the entry."},
      {.section = "entry",
       .key = "control",
       .type = SettingType::kAddressList,
       .required = true,
       .description = "RPC addresses of the control hosts."},
      {.section = "entry",
       .key = "max_connections",
       .type = SettingType::kInteger,
       .default_value = "512",
       .unit = "connections",
       .minimum = 1,
       .maximum = 20000,
       .description = "Callers' connections that are served at once, each by a thread."},
      {.section = "entry",
       .key = "max_queued_connections",
       .type = SettingType::kInteger,
       .default_value = "64",
       .unit = "connections",
       .minimum = 1,
       .maximum = 10000,
       .description = "Connections that may wait for a thread."},
      {.section = "entry",
       .key = "max_body_bytes",
       .type = SettingType::kInteger,
       .default_value = "4194304",
       .unit = "bytes",
       .minimum = 1024,
       .maximum = 268435456,
       .description = "Largest body of a request."},
      {.section = "entry",
       .key = "read_timeout_ms",
       .type = SettingType::kInteger,
       .default_value = "15000",
       .unit = "ms",
       .minimum = 100,
       .maximum = 600000,
       .description = "Longest silence of a caller while it sends its request."},
      {.section = "entry",
       .key = "default_timeout_ms",
       .type = SettingType::kInteger,
       .default_value = "30000",
       .unit = "ms",
       .minimum = 10,
       .maximum = 3600000,
       .description = "Time that a request has when its caller names none."},
      {.section = "entry",
       .key = "max_timeout_ms",
       .type = SettingType::kInteger,
       .default_value = "600000",
       .unit = "ms",
       .minimum = 10,
       .maximum = 3600000,
       .description = "Most time that a caller may name."},
      {.section = "entry",
       .key = "subset_size",
       .type = SettingType::kInteger,
       .default_value = "24",
       .unit = "upstreams",
       .minimum = 0,
       .maximum = 10000,
       .description = "Upstreams of one version that this entry uses; 0 uses all."},
      {.section = "entry",
       .key = "max_attempts",
       .type = SettingType::kInteger,
       .default_value = "4",
       .unit = "attempts",
       .minimum = 1,
       .maximum = 10,
       .description = "Attempts of one request at one cascade step."},
  });
  return kDeclarations;
}

Result<EntryOptions> ReadEntryOptions(const Settings& settings) {
  EntryOptions options;
  options.name = settings.Text("node", "name");
  options.failure_domain = FailureDomainId(settings.Text("node", "failure_domain"));
  options.http.address = settings.Text("entry", "http_listen");
  options.http.max_connections = static_cast<int>(settings.Integer("entry", "max_connections"));
  options.http.max_queued_connections =
      static_cast<int>(settings.Integer("entry", "max_queued_connections"));
  options.http.max_body_bytes =
      static_cast<std::size_t>(settings.Integer("entry", "max_body_bytes"));
  options.http.read_timeout = milliseconds(settings.Integer("entry", "read_timeout_ms"));
  options.control_addresses = settings.List("entry", "control");
  BOOST_LEAF_ASSIGN(options.shared_secret, ReadSharedSecret(settings));
  options.default_timeout = milliseconds(settings.Integer("entry", "default_timeout_ms"));
  options.max_timeout = milliseconds(settings.Integer("entry", "max_timeout_ms"));
  options.subset_size = static_cast<std::size_t>(settings.Integer("entry", "subset_size"));
  options.request.max_attempts =
      static_cast<std::uint32_t>(settings.Integer("entry", "max_attempts"));
  return options;
}

}  // namespace masticrill::entry
