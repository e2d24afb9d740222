#ifndef MASTICRILL_CONSENSUS_CODEC_H_
#define MASTICRILL_CONSENSUS_CODEC_H_

#include <string>
#include <string_view>

#include "masticrill/common/result.h"
#include "masticrill/consensus/message.h"

namespace masticrill::consensus {

std::string EncodeMessage(const Message& message);
/// Fails with kMalformedMessage.
Result<Message> DecodeMessage(std::string_view bytes);

std::string EncodeMembership(const Membership& membership);
/// Fails with kMalformedMessage.
Result<Membership> DecodeMembership(std::string_view bytes);

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_CODEC_H_
