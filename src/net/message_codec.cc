#include "masticrill/net/message_codec.h"

#include "masticrill/common/codec.h"

namespace masticrill::net {

template <typename Message>
std::string EncodePayload(const Message& message) {
  return EncodeBytes(message);
}

template <typename Message>
Result<Message> DecodePayload(std::string_view payload) {
  return DecodeBytes<Message>(payload);
}

#define MASTICRILL_INSTANTIATE_CODEC(Message)           \
  template std::string EncodePayload<>(const Message&); \
  template Result<Message> DecodePayload<Message>(std::string_view)

MASTICRILL_INSTANTIATE_CODEC(Hello);
MASTICRILL_INSTANTIATE_CODEC(Challenge);
MASTICRILL_INSTANTIATE_CODEC(Proof);
MASTICRILL_INSTANTIATE_CODEC(Welcome);
MASTICRILL_INSTANTIATE_CODEC(ErrorReply);
MASTICRILL_INSTANTIATE_CODEC(AttemptRequest);
MASTICRILL_INSTANTIATE_CODEC(AttemptStarted);
MASTICRILL_INSTANTIATE_CODEC(AttemptChunk);
MASTICRILL_INSTANTIATE_CODEC(AttemptEnd);
MASTICRILL_INSTANTIATE_CODEC(AttemptRefused);
MASTICRILL_INSTANTIATE_CODEC(CancelAttempt);
MASTICRILL_INSTANTIATE_CODEC(FenceRequest);
MASTICRILL_INSTANTIATE_CODEC(FenceReply);
MASTICRILL_INSTANTIATE_CODEC(AcknowledgeReceipts);
MASTICRILL_INSTANTIATE_CODEC(LoadRequest);
MASTICRILL_INSTANTIATE_CODEC(LoadReply);
MASTICRILL_INSTANTIATE_CODEC(LeaseRequest);
MASTICRILL_INSTANTIATE_CODEC(LeaseReply);
MASTICRILL_INSTANTIATE_CODEC(ProposeRequest);
MASTICRILL_INSTANTIATE_CODEC(ProposeReply);
MASTICRILL_INSTANTIATE_CODEC(ConsensusEnvelope);
MASTICRILL_INSTANTIATE_CODEC(FormRequest);
MASTICRILL_INSTANTIATE_CODEC(FormReply);
MASTICRILL_INSTANTIATE_CODEC(FleetRequest);
MASTICRILL_INSTANTIATE_CODEC(FleetReply);
MASTICRILL_INSTANTIATE_CODEC(MemberRequest);
MASTICRILL_INSTANTIATE_CODEC(MemberReply);
MASTICRILL_INSTANTIATE_CODEC(SharedListRequest);
MASTICRILL_INSTANTIATE_CODEC(SharedListReply);
MASTICRILL_INSTANTIATE_CODEC(EntryReport);
MASTICRILL_INSTANTIATE_CODEC(EntryReportReply);
MASTICRILL_INSTANTIATE_CODEC(EntryReportsRequest);
MASTICRILL_INSTANTIATE_CODEC(EntryReportsReply);
MASTICRILL_INSTANTIATE_CODEC(RenewRequest);
MASTICRILL_INSTANTIATE_CODEC(RenewReply);
MASTICRILL_INSTANTIATE_CODEC(TextChanges);
MASTICRILL_INSTANTIATE_CODEC(FeaturesRequest);
MASTICRILL_INSTANTIATE_CODEC(FeaturesReply);

#undef MASTICRILL_INSTANTIATE_CODEC

}  // namespace masticrill::net
