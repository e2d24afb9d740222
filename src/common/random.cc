#include "masticrill/common/random.h"

#include <sys/random.h>

#include <cstdlib>
#include <pcg_random.hpp>
#include <vector>

namespace masticrill {
namespace {

std::vector<unsigned char> SystemBytes(int byte_count) {
  std::vector<unsigned char> bytes(static_cast<std::size_t>(byte_count));
  if (getentropy(bytes.data(), bytes.size()) != 0) {
    // Keys and tokens made without entropy would be guessable.
    std::abort();
  }
  return bytes;
}

}  // namespace

struct Random::State {
  pcg64 generator;
};

Random::Random(std::uint64_t seed) : state(std::make_unique<State>(State{pcg64(seed)})) {}
Random::Random(const Random& other) : state(std::make_unique<State>(*other.state)) {}
Random& Random::operator=(const Random& other) {
  if (this != &other) {
    *this->state = *other.state;
  }
  return *this;
}
Random::Random(Random&&) noexcept = default;
Random& Random::operator=(Random&&) noexcept = default;
Random::~Random() = default;

Random Random::FromSystem() {
  std::uint64_t seed = 0;
  for (const unsigned char byte : SystemBytes(sizeof(seed))) {
    seed = seed << 8U | byte;
  }
  return Random(seed);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return this->state->generator(bound);
}

double Random::Uniform() {
  constexpr int kMantissaBits = 53;
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << kMantissaBits);
  return static_cast<double>(this->Next() >> (64 - kMantissaBits)) * kScale;
}

std::uint64_t Random::Next() { return this->state->generator(); }

std::string SecureRandomHex(int byte_count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : SystemBytes(byte_count)) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

}  // namespace masticrill
