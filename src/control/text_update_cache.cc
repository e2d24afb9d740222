#include "control/text_update_cache.h"

#include <algorithm>

#include "masticrill/common/hash.h"
#include "masticrill/net/message_codec.h"

namespace masticrill::control {
namespace {

constexpr std::size_t kMaxKept = 4;

std::string Encode(const config::TextUpdate& update) {
  if (!update.whole) {
    return net::EncodePayload(net::TextChanges{update.changes});
  }
  return net::EncodePayload(net::TextChanges{
      {config::MakeTextDelta("", update.whole->Value(), config::DeltaEncoding::kCompressed)}});
}

}  // namespace

net::TextPiece TextUpdateCache::NextPiece(const net::RenewRequest& request,
                                          const config::TextUpdate& update) {
  const std::shared_ptr<const Encoded> encoded = this->Find(request.text_digest, update);
  const bool continues =
      request.update_id == encoded->id && request.received_bytes <= encoded->bytes.size();
  const std::size_t offset = continues ? request.received_bytes : 0;
  return {encoded->id, encoded->bytes.size(), offset,
          encoded->bytes.substr(offset, kMaxTextPieceBytes)};
}

/// Encodes under the lock: nodes that need the same update wait for it instead of encoding it too.
std::shared_ptr<const TextUpdateCache::Encoded> TextUpdateCache::Find(
    const std::string& from, const config::TextUpdate& update) {
  const std::scoped_lock lock(this->mutex);
  // A whole text leads to the current one from any other.
  const std::string key = update.whole ? std::string() : from;
  const auto found = std::find_if(this->kept.begin(), this->kept.end(), [&](const auto& encoded) {
    return encoded->from == key && encoded->to == update.digest;
  });
  if (found != this->kept.end()) {
    return *found;
  }
  std::string bytes = Encode(update);
  std::string id = Hash128Hex(bytes);
  this->kept.push_back(std::make_shared<const Encoded>(
      Encoded{key, update.digest, std::move(id), std::move(bytes)}));
  if (this->kept.size() > kMaxKept) {
    this->kept.pop_front();
  }
  return this->kept.back();
}

}  // namespace masticrill::control
