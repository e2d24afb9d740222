#ifndef MASTICRILL_STATE_CODEC_H_
#define MASTICRILL_STATE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "masticrill/common/result.h"
#include "masticrill/state/commands.h"
#include "masticrill/state/results.h"

namespace masticrill::state {

/// The maximum size of an encoded command, result or record, in bytes.
inline constexpr std::size_t kMaxCommandBytes = std::size_t{8} << 20;

std::string EncodeCommand(const Command& command);
/// Fails with kMalformedMessage unless the bytes are exactly one command.
Result<Command> DecodeCommand(std::string_view bytes);

std::string EncodeResult(const CommandResult& result);
/// Fails with kMalformedMessage unless the bytes are exactly one result.
Result<CommandResult> DecodeResult(std::string_view bytes);

/// Returns the canonical bytes of a chained record, as stored in the outcome log file.
std::string EncodeRecord(const ChainedRecord& record);
Result<ChainedRecord> DecodeRecord(std::string_view bytes);

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CODEC_H_
