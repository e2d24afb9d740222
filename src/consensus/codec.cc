#include "masticrill/consensus/codec.h"

#include "masticrill/common/codec.h"

namespace masticrill::consensus {

std::string EncodeMessage(const Message& message) { return EncodeBytes(message); }

Result<Message> DecodeMessage(std::string_view bytes) { return DecodeBytes<Message>(bytes); }

std::string EncodeMembership(const Membership& membership) { return EncodeBytes(membership); }

Result<Membership> DecodeMembership(std::string_view bytes) {
  return DecodeBytes<Membership>(bytes);
}

}  // namespace masticrill::consensus
