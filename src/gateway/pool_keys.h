#ifndef MASTICRILL_GATEWAY_POOL_KEYS_H_
#define MASTICRILL_GATEWAY_POOL_KEYS_H_

#include <algorithm>
#include <cstdint>
#include <limits>

#include "masticrill/gateway/upstream_list.h"

namespace masticrill::gateway {

/// Converts a number to the narrower type of a notice; the largest value where it does not fit.
template <typename Narrow, typename Wide>
Narrow Saturate(Wide value) {
  constexpr auto kMax = static_cast<Wide>(std::numeric_limits<Narrow>::max());
  return static_cast<Narrow>(std::min(value, kMax));
}

/// Identifies the upstream and its start. An upstream that has started anew has stated no limit
/// yet, so its former key means nothing.
std::uint64_t StartHash(const ListedUpstream& upstream);

/// The key of the upstream in StatedLimit.
std::uint32_t LimitKey(const ListedUpstream& upstream);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_POOL_KEYS_H_
