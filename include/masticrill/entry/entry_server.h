#ifndef MASTICRILL_ENTRY_ENTRY_SERVER_H_
#define MASTICRILL_ENTRY_ENTRY_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/common/settings.h"
#include "masticrill/net/http_server.h"
#include "masticrill/routing/request_state_machine.h"

namespace masticrill::entry {

/// What one entry process is started with.
struct EntryOptions {
  std::string name;
  FailureDomainId failure_domain;
  net::HttpServerOptions http;
  std::vector<std::string> control_addresses;
  std::string shared_secret;
  /// The time a request has when its caller names none, and the most it may name.
  milliseconds default_timeout{30000};
  milliseconds max_timeout{600000};
  /// The upstreams of one version that this entry uses; 0 means all.
  std::size_t subset_size = 24;
  routing::RequestSettings request;
};

/// The declarations of an entry's settings file.
const std::vector<SettingDeclaration>& EntrySettingDeclarations();
Result<EntryOptions> ReadEntryOptions(const Settings& settings);

/// The entry role: takes callers' requests and answers or refuses each one.
class EntryServer {
 public:
  static Result<std::unique_ptr<EntryServer>> Start(const EntryOptions& options);
  /// Stops at once.
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  std::string HttpAddress() const;

  /// Planned stop: refuses new requests, finishes open ones, settles charges and outcomes.
  void Stop();

 private:
  class Impl;
  explicit EntryServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_ENTRY_SERVER_H_
