#ifndef MASTICRILL_NET_MESSAGES_H_
#define MASTICRILL_NET_MESSAGES_H_

// Every message between processes of the system.

#include "masticrill/net/attempt_messages.h"
#include "masticrill/net/control_messages.h"
#include "masticrill/net/handshake_messages.h"

#endif  // MASTICRILL_NET_MESSAGES_H_
