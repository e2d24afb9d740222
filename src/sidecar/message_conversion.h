#ifndef MASTICRILL_SIDECAR_MESSAGE_CONVERSION_H_
#define MASTICRILL_SIDECAR_MESSAGE_CONVERSION_H_

#include "masticrill/net/messages.h"
#include "masticrill/sidecar/admission.h"
#include "masticrill/state/commands.h"

// Converts between messages, commands and the types of Admission.
namespace masticrill::sidecar {

AttemptSpec ToAttemptSpec(const net::AttemptRequest& request,
                          const config::ConfigurationPtr& configuration, TimePoint now);

net::AttemptRefusalCode ToRefusalCode(RefuseReason reason);

net::FenceReply ToFenceReply(const FenceResult& result);

net::LoadReport ToNetLoadReport(const LoadReport& load, const UpstreamId& upstream,
                                WallTimeMs started_at);

/// The billing line of an attempt whose entry did not bill its request.
state::Charge ToCharge(const Receipt& receipt, const config::ConfigurationPtr& configuration,
                       WallTimeMs now);

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_MESSAGE_CONVERSION_H_
