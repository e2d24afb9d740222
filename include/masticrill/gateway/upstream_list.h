#ifndef MASTICRILL_GATEWAY_UPSTREAM_LIST_H_
#define MASTICRILL_GATEWAY_UPSTREAM_LIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/result.h"

namespace masticrill::gateway {

/// One entry of the list of live upstreams.
struct ListedUpstream {
  UpstreamId id;
  ServiceId service;
  /// IP:PORT.
  std::string address;
  FailureDomainId failure_domain;
  /// The version of its software.
  VersionId version;
  /// The number of requests that the upstream runs at once; 0 when unknown.
  std::uint32_t slots = 0;
  /// The upstream is about to stop and must not get new work.
  bool leaving = false;
  /// How much longer the upstream is cold.
  milliseconds cold_left{0};
  /// The start time, in milliseconds since the Unix epoch; 0 when unknown. An upstream that
  /// restarts under the same name has lost its caches.
  WallTimeMs started_at = 0;

  friend bool operator==(const ListedUpstream&, const ListedUpstream&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t cold_ms = this->cold_left.count();
    archive(this->id, this->service, this->address, this->failure_domain, this->version,
            this->slots, this->leaving, cold_ms, this->started_at);
    this->cold_left = milliseconds(cold_ms);
  }
};

/// The version under which evidence on an upstream is counted. The service takes the model's place.
inline ModelVersion VersionOf(const ListedUpstream& upstream) {
  return {ModelId(upstream.service.Value()), upstream.version};
}

using UpstreamList = std::vector<ListedUpstream>;

/// Encodes the list for control hosts, which distribute it. Decoding fails with kMalformedMessage.
std::string EncodeUpstreamList(const UpstreamList& list);
Result<UpstreamList> DecodeUpstreamList(const std::string& bytes);

/// Reads the complete list from its external source. Fails when any part of it cannot be read.
using UpstreamListReader = std::function<Result<UpstreamList>()>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_LIST_H_
