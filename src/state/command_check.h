#ifndef MASTICRILL_STATE_COMMAND_CHECK_H_
#define MASTICRILL_STATE_COMMAND_CHECK_H_

#include <string>

#include "masticrill/state/commands.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::state {

/// Returns why a command must not be applied, with the remedy: a string or list exceeds its limit,
/// or a value is outside its enumeration. Empty when the command is valid.
std::string FindCommandFault(const Command& command, const Limits& limits);

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_COMMAND_CHECK_H_
