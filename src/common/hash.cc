#include "masticrill/common/hash.h"

#include <Poco/Checksum.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <xxhash.h>

#include <algorithm>

namespace masticrill {
namespace {

/// Poco's engines have no default constructor of the wanted length for use in HMACEngine.
class Sha256Engine : public Poco::SHA2Engine {
 public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };  // NOLINT(readability-identifier-naming)
  Sha256Engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

}  // namespace

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string Hash128Hex(std::string_view data) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits(data.data(), data.size()));
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes.digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0fU]);
  }
  return text;
}

std::uint32_t Crc32(std::string_view data) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(data.data(), static_cast<unsigned int>(data.size()));
  return checksum.checksum();
}

std::string Sha256Hex(std::string_view data) {
  Sha256Engine engine;
  engine.update(data.data(), data.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  Poco::HMACEngine<Sha256Engine> engine{std::string(key)};
  engine.update(data.data(), data.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0U : 1U;
  const std::size_t length = std::min(left.size(), right.size());
  for (std::size_t i = 0; i < length; ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace masticrill
