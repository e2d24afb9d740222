#ifndef MASTICRILL_CONTROL_STORAGE_WAIT_H_
#define MASTICRILL_CONTROL_STORAGE_WAIT_H_

#include <memory>
#include <string>

#include "masticrill/common/error.h"
#include "masticrill/common/result.h"
#include "masticrill/control/control_options.h"
#include "masticrill/net/http_server.h"

namespace masticrill::control {

/// Stands in for a ControlServer that cannot start because its data folder refuses writes: rejects
/// the operators' requests at once, and tells when to try again. Destroy it before the next start,
/// which needs the same address. Owns the threads of a server; thread-safe.
class StorageWait {
 public:
  /// Fails with kUnavailable when the operators' address cannot be bound.
  static Result<std::unique_ptr<StorageWait>> Start(const ControlOptions& options);

  /// Whether a start that failed with this error can succeed once the disk takes writes.
  static bool IsRemedy(const Error& error) {
    return error.kind == ErrorKind::kStorageFull || error.kind == ErrorKind::kStorageFailed;
  }

  /// Whether the data folder takes writes again. Writes to the disk.
  bool TakesWrites() const;
  /// The bound IP:PORT.
  std::string HttpAddress() const { return this->server->Address(); }

 private:
  explicit StorageWait(std::string folder) : folder(std::move(folder)) {}

  std::string folder;
  std::unique_ptr<net::HttpServer> server;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_STORAGE_WAIT_H_
