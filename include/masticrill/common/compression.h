#ifndef MASTICRILL_COMMON_COMPRESSION_H_
#define MASTICRILL_COMMON_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "masticrill/common/result.h"

namespace masticrill {

/// Compresses bytes in the zlib format.
std::string Deflate(std::string_view bytes);

/// Restores what Deflate made. Fails with kMalformedMessage when the input is damaged, or when the
/// result would be larger than `max_bytes`.
Result<std::string> Inflate(std::string_view compressed, std::size_t max_bytes);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_COMPRESSION_H_
