#include "masticrill/net/traffic.h"

#include <utility>

namespace masticrill::net {
namespace {

constexpr std::array kNames = std::to_array<std::pair<MessageType, std::string_view>>({
    {MessageType::kHello, "hello"},
    {MessageType::kChallenge, "challenge"},
    {MessageType::kProof, "proof"},
    {MessageType::kWelcome, "welcome"},
    {MessageType::kError, "error"},
    {MessageType::kAttemptRequest, "attempt_request"},
    {MessageType::kAttemptStarted, "attempt_started"},
    {MessageType::kAttemptChunk, "attempt_chunk"},
    {MessageType::kAttemptEnd, "attempt_end"},
    {MessageType::kAttemptRefused, "attempt_refused"},
    {MessageType::kCancelAttempt, "cancel_attempt"},
    {MessageType::kFenceRequest, "fence_request"},
    {MessageType::kFenceReply, "fence_reply"},
    {MessageType::kLoadRequest, "load_request"},
    {MessageType::kLoadReply, "load_reply"},
    {MessageType::kLeaseRequest, "lease_request"},
    {MessageType::kLeaseReply, "lease_reply"},
    {MessageType::kProposeRequest, "propose_request"},
    {MessageType::kProposeReply, "propose_reply"},
    {MessageType::kConsensus, "consensus"},
    {MessageType::kAcknowledgeReceipts, "acknowledge_receipts"},
    {MessageType::kFormRequest, "form_request"},
    {MessageType::kFormReply, "form_reply"},
    {MessageType::kFleetRequest, "fleet_request"},
    {MessageType::kFleetReply, "fleet_reply"},
    {MessageType::kMemberRequest, "member_request"},
    {MessageType::kMemberReply, "member_reply"},
    {MessageType::kSharedListRequest, "shared_list_request"},
    {MessageType::kSharedListReply, "shared_list_reply"},
    {MessageType::kEntryReport, "entry_report"},
    {MessageType::kEntryReportReply, "entry_report_reply"},
    {MessageType::kEntryReportsRequest, "entry_reports_request"},
    {MessageType::kEntryReportsReply, "entry_reports_reply"},
    {MessageType::kRenewRequest, "renew_request"},
    {MessageType::kRenewReply, "renew_reply"},
    {MessageType::kFeaturesRequest, "features_request"},
    {MessageType::kFeaturesReply, "features_reply"},
    {MessageType::kLoadNotice, "load_notice"},
    {MessageType::kLimitNotice, "limit_notice"},
});

}  // namespace

std::string_view ToString(MessageType type) {
  for (const auto& [named, name] : kNames) {
    if (named == type) {
      return name;
    }
  }
  return "unknown";
}

void SentTraffic::Add(MessageType type, std::size_t bytes) {
  Count& count = this->counts.at(static_cast<std::size_t>(type));
  count.messages.fetch_add(1, std::memory_order_relaxed);
  count.bytes.fetch_add(bytes, std::memory_order_relaxed);
}

std::uint64_t SentTraffic::Messages(MessageType type) const {
  return this->counts.at(static_cast<std::size_t>(type)).messages;
}

std::uint64_t SentTraffic::Bytes(MessageType type) const {
  return this->counts.at(static_cast<std::size_t>(type)).bytes;
}

SentTraffic& Sent() {
  static SentTraffic sent;
  return sent;
}

void WriteTraffic(MetricsWriter& writer, const SentTraffic& sent) {
  const auto write = [&](std::string_view metric, std::string_view help, auto read) {
    writer.Header(metric, help, "counter");
    for (const auto& [type, name] : kNames) {
      if (sent.Messages(type) > 0) {
        writer.Labelled(metric, "kind", name, static_cast<double>(read(type)));
      }
    }
  };
  write("masticrill_sent_messages_total", "Messages sent to other processes of the system.",
        [&](MessageType type) { return sent.Messages(type); });
  write("masticrill_sent_bytes_total", "Bytes of messages sent to other processes of the system.",
        [&](MessageType type) { return sent.Bytes(type); });
}

}  // namespace masticrill::net
