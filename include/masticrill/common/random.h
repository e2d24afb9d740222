#ifndef MASTICRILL_COMMON_RANDOM_H_
#define MASTICRILL_COMMON_RANDOM_H_

#include <cstdint>
#include <memory>
#include <string>

namespace masticrill {

/// A seeded generator of random numbers. Equal seeds give equal sequences.
class Random {
 public:
  explicit Random(std::uint64_t seed);
  Random(const Random& other);
  Random& operator=(const Random& other);
  Random(Random&&) noexcept;
  Random& operator=(Random&&) noexcept;
  ~Random();

  /// Seeds from the operating system.
  static Random FromSystem();

  /// Uniform in [0, bound); 0 when bound is 0.
  std::uint64_t Below(std::uint64_t bound);
  /// Uniform in [0, 1).
  double Uniform();
  std::uint64_t Next();

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Bytes from the operating system's cryptographic generator, in lower-case hexadecimal.
std::string SecureRandomHex(int byte_count);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_RANDOM_H_
