#include "masticrill/gateway/upstream_list.h"

#include "masticrill/common/codec.h"

namespace masticrill::gateway {

std::string EncodeUpstreamList(const UpstreamList& list) { return EncodeBytes(list); }

Result<UpstreamList> DecodeUpstreamList(const std::string& bytes) {
  return DecodeBytes<UpstreamList>(bytes);
}

}  // namespace masticrill::gateway
