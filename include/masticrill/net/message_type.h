#ifndef MASTICRILL_NET_MESSAGE_TYPE_H_
#define MASTICRILL_NET_MESSAGE_TYPE_H_

#include <cstdint>

namespace masticrill::net {

/// What a frame between two processes carries.
enum class MessageType : std::uint8_t {
  kHello = 1,
  kChallenge,
  kProof,
  kWelcome,
  kError,
  kAttemptRequest,
  kAttemptStarted,
  kAttemptChunk,
  kAttemptEnd,
  kAttemptRefused,
  kCancelAttempt,
  kFenceRequest,
  kFenceReply,
  kLoadRequest,
  kLoadReply,
  kLeaseRequest,
  kLeaseReply,
  kProposeRequest,
  kProposeReply,
  kConsensus,
  kAcknowledgeReceipts,
  kFormRequest,
  kFormReply,
  kFleetRequest,
  kFleetReply,
  kMemberRequest,
  kMemberReply,
  kSharedListRequest,
  kSharedListReply,
  kEntryReport,
  kEntryReportReply,
  kEntryReportsRequest,
  kEntryReportsReply,
  kRenewRequest,
  kRenewReply,
  kFeaturesRequest,
  kFeaturesReply,
  kLoadNotice,   // Sent as a datagram, not in a frame.
  kLimitNotice,  // The same.
};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_MESSAGE_TYPE_H_
