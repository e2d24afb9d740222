#ifndef MASTICRILL_NET_MESSAGE_CODEC_H_
#define MASTICRILL_NET_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "masticrill/common/result.h"
#include "masticrill/net/messages.h"

namespace masticrill::net {

/// Serializes a message of messages.h to the payload of a frame.
template <typename Message>
std::string EncodePayload(const Message& message);

/// Reads the payload of a frame. Fails with kMalformedMessage.
template <typename Message>
Result<Message> DecodePayload(std::string_view payload);

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_MESSAGE_CODEC_H_
