#ifndef MASTICRILL_ENTRY_SESSION_PINNER_H_
#define MASTICRILL_ENTRY_SESSION_PINNER_H_

#include <optional>
#include <string>

#include "entry/entry_services.h"
#include "masticrill/common/refusal.h"
#include "masticrill/routing/request.h"

namespace masticrill::entry {

/// Gives a request with a session its pins: from the caller's signed token where it has them, from
/// the control hosts otherwise. A session without a pin gets one; the first writer wins. Returns a
/// refusal when a pin can neither be found nor made.
std::optional<Refusal> PinSession(EntryServices& services,
                                  const config::Configuration& configuration,
                                  std::string_view token, routing::RequestTraits& traits);

}  // namespace masticrill::entry

#endif  // MASTICRILL_ENTRY_SESSION_PINNER_H_
