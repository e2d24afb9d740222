#ifndef MASTICRILL_NET_KEEP_ALIVE_H_
#define MASTICRILL_NET_KEEP_ALIVE_H_

#include "masticrill/common/clock.h"

namespace Poco::Net {  // NOLINT(readability-identifier-naming): a library's name.
class StreamSocket;
}  // namespace Poco::Net

namespace masticrill::net {

/// Breaks a connection whose peer acknowledges nothing for that long, also while nothing is sent.
/// A peer behind a cut link would otherwise hold it for minutes. Whole seconds, at least 2.
void SetSilenceTimeout(Poco::Net::StreamSocket& socket, seconds timeout);

/// The silence after which a connection between two hosts is given up: more than a few lost
/// packets, less than the time in which a change must be in force.
inline constexpr seconds kPeerSilenceTimeout{3};

}  // namespace masticrill::net

#endif  // MASTICRILL_NET_KEEP_ALIVE_H_
