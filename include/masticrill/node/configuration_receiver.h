#ifndef MASTICRILL_NODE_CONFIGURATION_RECEIVER_H_
#define MASTICRILL_NODE_CONFIGURATION_RECEIVER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "masticrill/common/result.h"
#include "masticrill/config/configuration.h"
#include "masticrill/config/delta.h"
#include "masticrill/net/messages.h"

namespace masticrill::node {

/// What a node has received of the configuration so far.
struct ReceivedConfiguration {
  /// Whether the node has all that belongs to the number of the reply. Otherwise it asks for the
  /// next piece.
  bool complete = false;
  /// The configuration of that number; null where it is the one that the node had, or incomplete.
  config::ConfigurationPtr configuration;
};

/// Sizes of the transfers of a node, for its logs and metrics.
struct TransferStats {
  /// Bytes of patches and of pieces, since the start.
  std::uint64_t received_bytes = 0;
  /// Replies that carried any of them.
  std::uint64_t replies = 0;
  /// Transfers that began anew, as the configuration changed again or did not fit.
  std::uint64_t restarts = 0;

  friend bool operator==(const TransferStats&, const TransferStats&) = default;
};

/// Assembles a node's configuration from the changes that lease replies carry, in pieces where they
/// are large. Pure; confined to one thread.
class ConfigurationReceiver {
 public:
  /// Sets what the next request says of this node's configuration.
  void Describe(net::RenewRequest& request) const;

  /// Takes what a granted reply carries. After an error it begins anew with the whole
  /// configuration.
  Result<ReceivedConfiguration> Take(const net::RenewReply& reply);

  const TransferStats& Stats() const { return this->stats; }

 private:
  Result<ReceivedConfiguration> TryTake(const net::RenewReply& reply);
  bool AddPiece(const net::TextPiece& piece);
  Result<config::SharedText> ApplyUpdate() const;

  config::NumberedDocument document;
  config::SharedText text;
  /// Empty while the text stands in the document.
  std::string text_digest;
  /// An update that is not complete yet.
  std::string update_id;
  std::string update;
  TransferStats stats;
};

}  // namespace masticrill::node

#endif  // MASTICRILL_NODE_CONFIGURATION_RECEIVER_H_
