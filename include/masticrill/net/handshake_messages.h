#ifndef MASTICRILL_NET_HANDSHAKE_MESSAGES_H_
#define MASTICRILL_NET_HANDSHAKE_MESSAGES_H_

#include <cstdint>
#include <string>

#include "masticrill/common/name.h"
#include "masticrill/net/message_type.h"

namespace masticrill::net {

/// The role of a process of the system.
enum class NodeRole : std::uint8_t { kEntry, kSidecar, kControl, kOperator };

/// First message of a connection, from the side that connects.
struct Hello {
  static constexpr MessageType kType = MessageType::kHello;
  std::uint32_t protocol_version = 0;
  NodeRole role = NodeRole::kEntry;
  NodeId node;
  IncarnationId incarnation;
  std::string nonce;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->protocol_version, this->role, this->node, this->incarnation, this->nonce);
  }
};

/// The accepting side proves that it knows the shared secret.
struct Challenge {
  static constexpr MessageType kType = MessageType::kChallenge;
  NodeId node;
  IncarnationId incarnation;
  std::string nonce;
  /// HMAC-SHA-256, by the shared secret, of both nonces and the accepting side's names.
  std::string proof;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->incarnation, this->nonce, this->proof);
  }
};

/// The connecting side proves that it knows the shared secret.
struct Proof {
  static constexpr MessageType kType = MessageType::kProof;
  std::string proof;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->proof);
  }
};

/// Ends the handshake.
struct Welcome {
  static constexpr MessageType kType = MessageType::kWelcome;
  std::uint32_t protocol_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->protocol_version);
  }
};

/// The answer to a request that could not be served.
struct ErrorReply {
  static constexpr MessageType kType = MessageType::kError;
  /// ErrorKind by name.
  std::string kind;
  std::string message;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->message);
  }
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_HANDSHAKE_MESSAGES_H_
