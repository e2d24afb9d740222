#ifndef MASTICRILL_COMMON_HASH_H_
#define MASTICRILL_COMMON_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace masticrill {

/// A fast 64-bit hash, equal on every host. Not for secrets.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// A fast 128-bit hash in lower-case hexadecimal, equal on every host. Not for secrets.
std::string Hash128Hex(std::string_view data);

/// CRC-32 of a byte string.
std::uint32_t Crc32(std::string_view data);

/// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

/// Compares in a time that depends only on the lengths.
bool ConstantTimeEqual(std::string_view left, std::string_view right);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_HASH_H_
