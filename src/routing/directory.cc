#include "masticrill/routing/directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::routing {
namespace {

/// The upstreams of one failure domain, the best last; `rank` orders domains at equal distance.
struct RankedDomain {
  std::uint64_t rank = 0;
  std::vector<RoutableUpstream> upstreams;
};

std::vector<RankedDomain> RankByDomain(std::uint64_t entry_hash,
                                       std::vector<RoutableUpstream> upstreams) {
  const auto rank = [&](const RoutableUpstream& upstream) {
    return Hash64(upstream.id.Value(), entry_hash);
  };
  std::map<FailureDomainId, RankedDomain> domains;
  for (RoutableUpstream& upstream : upstreams) {
    domains[upstream.failure_domain].upstreams.push_back(std::move(upstream));
  }
  std::vector<RankedDomain> ranked;
  for (auto& [id, domain] : domains) {
    domain.rank = Hash64(id.Value(), entry_hash);
    std::sort(domain.upstreams.begin(), domain.upstreams.end(),
              [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    ranked.push_back(std::move(domain));
  }
  // The nearest domains come first, so that they get the members left by an even division.
  std::sort(ranked.begin(), ranked.end(), [](const RankedDomain& left, const RankedDomain& right) {
    const auto order = [](const RankedDomain& domain) {
      const RoutableUpstream& any = domain.upstreams.front();
      return std::pair(any.same_domain ? 0 : any.same_region ? 1 : 2, domain.rank);
    };
    return order(left) < order(right);
  });
  return ranked;
}

}  // namespace

std::vector<RoutableUpstream> SubsetOf(const NodeId& entry, std::vector<RoutableUpstream> upstreams,
                                       std::size_t subset_size) {
  if (subset_size == 0 || upstreams.size() <= subset_size) {
    return upstreams;
  }
  std::vector<RankedDomain> domains = RankByDomain(Hash64(entry.Value()), std::move(upstreams));
  std::vector<RoutableUpstream> subset;
  while (subset.size() < subset_size) {
    for (RankedDomain& domain : domains) {
      if (domain.upstreams.empty() || subset.size() == subset_size) {
        continue;
      }
      subset.push_back(std::move(domain.upstreams.back()));
      domain.upstreams.pop_back();
    }
  }
  return subset;
}

UpstreamDirectory::UpstreamDirectory(config::ConfigurationPtr configuration,
                                     const DirectorySettings& settings)
    : configuration(std::move(configuration)) {
  const auto& domains = this->configuration->failure_domains;
  const auto own_domain = domains.find(settings.failure_domain);
  for (const auto& [id, upstream] : this->configuration->upstreams) {
    const auto domain = domains.find(upstream.failure_domain);
    const bool in_service = domain != domains.end() &&
                            domain->second.state == config::DomainState::kIn &&
                            upstream.state == config::UpstreamState::kActive;
    if (!in_service) {
      continue;
    }
    const RoutableUpstream routable{
        .id = id,
        .failure_domain = upstream.failure_domain,
        .region = domain->second.region,
        .max_concurrency = std::max(1U, upstream.max_concurrency),
        .id_hash = Hash64(id.Value()),
        .same_domain = upstream.failure_domain == settings.failure_domain,
        .same_region =
            own_domain != domains.end() && own_domain->second.region == domain->second.region};
    for (const ModelVersion& version : upstream.serves) {
      this->by_version[version].push_back(routable);
    }
    for (const ServiceId& service : upstream.services) {
      this->by_service[service].push_back(routable);
    }
  }
  for (auto& [version, upstreams] : this->by_version) {
    upstreams = SubsetOf(settings.entry, std::move(upstreams), settings.subset_size);
  }
  for (auto& [service, upstreams] : this->by_service) {
    upstreams = SubsetOf(settings.entry, std::move(upstreams), settings.subset_size);
  }
}

const std::vector<RoutableUpstream>& UpstreamDirectory::UpstreamsServing(
    const ModelVersion& version) const {
  static const std::vector<RoutableUpstream> kNone;
  const auto found = this->by_version.find(version);
  return found == this->by_version.end() ? kNone : found->second;
}

const std::vector<RoutableUpstream>& UpstreamDirectory::UpstreamsOffering(
    const ServiceId& service) const {
  static const std::vector<RoutableUpstream> kNone;
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? kNone : found->second;
}

std::vector<UpstreamId> UpstreamDirectory::AllUpstreams() const {
  std::set<UpstreamId> all;
  for (const auto& [version, upstreams] : this->by_version) {
    for (const RoutableUpstream& upstream : upstreams) {
      all.insert(upstream.id);
    }
  }
  for (const auto& [service, upstreams] : this->by_service) {
    for (const RoutableUpstream& upstream : upstreams) {
      all.insert(upstream.id);
    }
  }
  return {all.begin(), all.end()};
}

}  // namespace masticrill::routing
