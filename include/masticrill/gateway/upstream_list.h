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

/// One upstream as the list of live hosts shows it.
struct ListedUpstream {
  UpstreamId id;
  ServiceId service;
  /// IP:PORT.
  std::string address;
  FailureDomainId failure_domain;
  /// The version of its software.
  VersionId version;
  /// Requests that it runs at once; 0 when it is not known.
  std::uint32_t slots = 0;
  /// It is about to stop: it gets no new work.
  bool leaving = false;
  /// How much longer it is cold.
  milliseconds cold_left{0};
  /// When it was started, in milliseconds since the Unix epoch; 0 when it is not known. An upstream
  /// that starts again under its name has forgotten everything.
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

using UpstreamList = std::vector<ListedUpstream>;

/// The list as bytes, for control hosts that share it. Decoding fails with kMalformedMessage.
std::string EncodeUpstreamList(const UpstreamList& list);
Result<UpstreamList> DecodeUpstreamList(const std::string& bytes);

/// Reads the whole list from outside. Fails when any part of it cannot be had.
using UpstreamListReader = std::function<Result<UpstreamList>()>;

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_UPSTREAM_LIST_H_
