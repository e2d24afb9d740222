#ifndef MASTICRILL_ROUTING_DIRECTORY_H_
#define MASTICRILL_ROUTING_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "masticrill/common/name.h"
#include "masticrill/config/configuration.h"

namespace masticrill::routing {

/// One upstream to which an entry may route new requests for a version or a service.
struct RoutableUpstream {
  UpstreamId id = {};
  FailureDomainId failure_domain = {};
  RegionId region = {};
  std::uint32_t max_concurrency = 1;
  std::uint64_t id_hash = 0;
  /// Whether the entry is in the same failure domain, and whether it is in the same region.
  bool same_domain = false;
  bool same_region = false;

  friend bool operator==(const RoutableUpstream&, const RoutableUpstream&) = default;
};

struct DirectorySettings {
  NodeId entry = {};
  FailureDomainId failure_domain = {};
  /// The number of upstreams of one version or service that this entry uses; 0 means all of them.
  std::size_t subset_size = 24;

  friend bool operator==(const DirectorySettings&, const DirectorySettings&) = default;
};

/// Selects an entry's subset: ranks the upstreams of each failure domain by rendezvous hash, then
/// takes them from the domains in turn. Adding or removing an upstream changes at most one member.
std::vector<RoutableUpstream> SubsetOf(const NodeId& entry, std::vector<RoutableUpstream> upstreams,
                                       std::size_t subset_size);

/// An index of one configuration for one entry: for each version and service, the upstreams that
/// may get new requests. Omits an upstream that is leaving or whose failure domain is out of
/// service. Built once per configuration; immutable and safe for use by several threads.
class UpstreamDirectory {
 public:
  UpstreamDirectory(config::ConfigurationPtr configuration, const DirectorySettings& settings);

  const config::Configuration& Config() const { return *this->configuration; }

  const std::vector<RoutableUpstream>& UpstreamsServing(const ModelVersion& version) const;
  const std::vector<RoutableUpstream>& UpstreamsOffering(const ServiceId& service) const;

  /// Every upstream in any subset; the entry subscribes to the load reports of these.
  std::vector<UpstreamId> AllUpstreams() const;

 private:
  config::ConfigurationPtr configuration;
  std::map<ModelVersion, std::vector<RoutableUpstream>> by_version;
  std::map<ServiceId, std::vector<RoutableUpstream>> by_service;
};

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_DIRECTORY_H_
