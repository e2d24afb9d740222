#include "masticrill/node/configuration_receiver.h"

#include <memory>
#include <utility>

#include "masticrill/config/document.h"
#include "masticrill/config/text_delta.h"
#include "masticrill/net/message_codec.h"

namespace masticrill::node {
namespace {

/// The changes of a text are hardly larger than the text.
constexpr std::size_t kMaxUpdateBytes = 2 * config::kMaxDeltaTextBytes;

std::size_t SizeOf(const config::ConfigurationDelta& delta) {
  std::size_t bytes = delta.full_document.size();
  for (const std::string& patch : delta.patches) {
    bytes += patch.size();
  }
  return bytes;
}

}  // namespace

void ConfigurationReceiver::Describe(net::RenewRequest& request) const {
  request.lease.known_number = this->document.number;
  request.text_digest = this->text_digest;
  request.update_id = this->update_id;
  request.received_bytes = this->update.size();
}

Result<ReceivedConfiguration> ConfigurationReceiver::Take(const net::RenewReply& reply) {
  auto received = this->TryTake(reply);
  if (!received) {
    const TransferStats so_far = this->stats;
    *this = {};
    this->stats = so_far;
    ++this->stats.restarts;
  }
  return received;
}

Result<ReceivedConfiguration> ConfigurationReceiver::TryTake(const net::RenewReply& reply) {
  const std::optional<config::ConfigurationDelta>& delta = reply.lease.delta;
  const std::size_t bytes = (delta ? SizeOf(*delta) : 0) + reply.piece.bytes.size();
  this->stats.received_bytes += bytes;
  this->stats.replies += bytes > 0 ? 1 : 0;
  if (!delta && reply.lease.number == this->document.number) {
    return ReceivedConfiguration{true, nullptr};
  }
  config::SharedText next_text = reply.text_digest.empty() ? config::SharedText() : this->text;
  if (!reply.text_digest.empty() && reply.text_digest != this->text_digest) {
    if (!this->AddPiece(reply.piece)) {
      return ReceivedConfiguration{};
    }
    BOOST_LEAF_ASSIGN(next_text, this->ApplyUpdate());
  }
  if (!delta) {
    return Fail(ErrorKind::kStaleConfiguration,
                "A newer configuration came without its document. Ask for it again.");
  }
  BOOST_LEAF_AUTO(next, config::ApplyDelta(this->document, *delta));
  BOOST_LEAF_AUTO(parsed, config::ParseDocument(next.document, next.number));
  if (parsed.declaration.digest != reply.text_digest) {
    return Fail(ErrorKind::kStaleConfiguration,
                "The text of the declaration does not belong to the document. Ask for both again.");
  }
  if (!parsed.declaration.digest.empty()) {
    parsed.declaration.text = next_text;
  }
  this->document = std::move(next);
  this->text = std::move(next_text);
  this->text_digest = reply.text_digest;
  this->update_id.clear();
  this->update = {};
  return ReceivedConfiguration{true,
                               std::make_shared<const config::Configuration>(std::move(parsed))};
}

/// Returns whether the update is complete.
bool ConfigurationReceiver::AddPiece(const net::TextPiece& piece) {
  if (piece.update_id != this->update_id) {
    this->stats.restarts += this->update_id.empty() ? 0 : 1;
    this->update_id = piece.update_id;
    this->update.clear();
  }
  const bool follows = piece.offset == this->update.size() &&
                       piece.update_bytes <= kMaxUpdateBytes &&
                       piece.bytes.size() <= piece.update_bytes - piece.offset;
  if (!follows) {
    this->update_id.clear();
    this->update.clear();
    return false;
  }
  this->update += piece.bytes;
  return this->update.size() == piece.update_bytes;
}

Result<config::SharedText> ConfigurationReceiver::ApplyUpdate() const {
  BOOST_LEAF_AUTO(decoded, net::DecodePayload<net::TextChanges>(this->update));
  config::SharedText next = this->text;
  // A whole text comes as a change of the empty one.
  if (!decoded.changes.empty() &&
      decoded.changes.front().base_digest == config::TextDigest(std::string())) {
    next = config::SharedText();
  }
  for (const config::TextDelta& change : decoded.changes) {
    BOOST_LEAF_ASSIGN(next, config::ApplyTextDelta(next.Value(), change));
  }
  return next;
}

}  // namespace masticrill::node
