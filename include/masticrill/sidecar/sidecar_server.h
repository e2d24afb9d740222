#ifndef MASTICRILL_SIDECAR_SIDECAR_SERVER_H_
#define MASTICRILL_SIDECAR_SIDECAR_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/common/settings.h"
#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {

/// Options of one sidecar process.
struct SidecarOptions {
  /// The node's name, which is also the name of its upstream in the configuration.
  std::string name;
  /// IP:PORT for entries; port 0 lets the system choose.
  std::string rpc_address;
  /// IP:PORT for /healthz, /readyz and /metrics.
  std::string http_address;
  std::vector<std::string> control_addresses;
  std::string shared_secret;
  /// Name of the plug-in that calls the upstream.
  std::string upstream_kind = "http";
  std::string upstream_address;
  milliseconds upstream_read_timeout{10000};
  int max_connections = 512;
  std::size_t max_threads = 256;
  AdmissionOptions admission;
};

/// The declarations of a sidecar's settings file.
const std::vector<SettingDeclaration>& SidecarSettingDeclarations();
Result<SidecarOptions> ReadSidecarOptions(const Settings& settings);

/// The sidecar role: the only access path to one upstream. Owns its servers, its worker threads and
/// the link to the control hosts.
class SidecarServer {
 public:
  static Result<std::unique_ptr<SidecarServer>> Start(const SidecarOptions& options);
  /// Stops at once, without draining.
  ~SidecarServer();
  SidecarServer(const SidecarServer&) = delete;
  SidecarServer& operator=(const SidecarServer&) = delete;

  std::string RpcAddress() const;
  std::string HttpAddress() const;

  /// Planned stop: refuses queued and new attempts, and waits until running attempts have ended and
  /// their receipts are acknowledged, but at most for kDrainTimeout (see sidecar_server.cc).
  void Stop();

 private:
  class Impl;
  explicit SidecarServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_SIDECAR_SERVER_H_
