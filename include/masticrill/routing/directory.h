#ifndef MASTICRILL_ROUTING_DIRECTORY_H_
#define MASTICRILL_ROUTING_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"

namespace masticrill::routing {

/// One upstream that may take new work for a version or a service.
struct RoutableUpstream {
  UpstreamId id = {};
  FailureDomainId failure_domain = {};
  RegionId region = {};
  std::uint32_t max_concurrency = 1;
  std::uint64_t id_hash = 0;
  /// In the same failure domain, or in the same region, as the entry.
  bool same_domain = false;
  bool same_region = false;

  friend bool operator==(const RoutableUpstream&, const RoutableUpstream&) = default;
};

struct DirectorySettings {
  NodeId entry = {};
  FailureDomainId failure_domain = {};
  /// The upstreams of one version or service that this entry uses; 0 means all of them.
  std::size_t subset_size = 24;

  friend bool operator==(const DirectorySettings&, const DirectorySettings&) = default;
};

/// The members of an entry's subset: ranked by rendezvous hash inside each failure domain, then
/// taken from the domains in turn. A change of one upstream moves at most one member.
std::vector<RoutableUpstream> SubsetOf(const NodeId& entry, std::vector<RoutableUpstream> upstreams,
                                       std::size_t subset_size);

/// An index of one configuration for one entry: for each version and service, the upstreams that
/// may take new work. Upstreams that leave and failure domains that are out are not in it. Made
/// once per configuration; immutable and safe for use by several threads.
class UpstreamDirectory {
 public:
  UpstreamDirectory(config::ConfigurationPtr configuration, const DirectorySettings& settings);

  const config::Configuration& Config() const { return *this->configuration; }

  const std::vector<RoutableUpstream>& UpstreamsServing(const ModelVersion& version) const;
  const std::vector<RoutableUpstream>& UpstreamsOffering(const ServiceId& service) const;

  /// Every upstream in any subset: those whose load reports this entry wants.
  std::vector<UpstreamId> AllUpstreams() const;

 private:
  config::ConfigurationPtr configuration;
  std::map<ModelVersion, std::vector<RoutableUpstream>> by_version;
  std::map<ServiceId, std::vector<RoutableUpstream>> by_service;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_DIRECTORY_H_
