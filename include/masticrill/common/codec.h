#ifndef MASTICRILL_COMMON_CODEC_H_
#define MASTICRILL_COMMON_CODEC_H_

// Serialization by cereal. Include it in codec sources only: its templates are slow to compile.

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstring>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "masticrill/common/result.h"

namespace masticrill {

/// Reads what cereal's BinaryOutputArchive wrote. Unlike cereal's own reader it checks each length
/// against the bytes that are left, so that a malformed message cannot make it allocate memory.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view data)
      : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
        data(data) {}

  void LoadBinary(void* target, std::size_t size) {
    if (size > this->data.size()) {
      throw cereal::Exception("The message ends early.");
    }
    std::memcpy(target, this->data.data(), size);
    this->data.remove_prefix(size);
  }

  /// Every element takes at least one byte.
  void CheckCount(cereal::size_type count) const {
    if (count > this->data.size()) {
      throw cereal::Exception("A length is larger than the message.");
    }
  }

  bool AtEnd() const { return this->data.empty(); }

 private:
  std::string_view data;
};

// cereal finds these by their names.
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {  // NOLINT
  archive.LoadBinary(&value, sizeof(value));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,  // NOLINT
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,  // NOLINT
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckCount(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,  // NOLINT
                               cereal::BinaryData<T>& data) {
  archive.LoadBinary(data.data, static_cast<std::size_t>(data.size));
}

/// Serializes a value to bytes. Hosts are little-endian.
template <typename T>
std::string EncodeBytes(const T& value) {
  std::ostringstream stream;
  {
    cereal::BinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

/// Reads a value back. Fails with kMalformedMessage when the bytes are not exactly one value.
template <typename T>
Result<T> DecodeBytes(std::string_view data) {
  T value{};
  try {
    BoundedInputArchive archive(data);
    archive(value);
    if (archive.AtEnd()) {
      return value;
    }
  } catch (const std::exception&) {
    // Falls through to the one error for all malformed messages.
  }
  return Fail(ErrorKind::kMalformedMessage,
              "A message could not be read. Run the same version on every host.");
}

}  // namespace masticrill

// cereal has no loader for durations: a duration travels as its count of ticks.
namespace std::chrono {

template <typename Archive, typename Rep, typename Period>
Rep CEREAL_SAVE_MINIMAL_FUNCTION_NAME(const Archive& /*archive*/,  // NOLINT
                                      const duration<Rep, Period>& value) {
  return value.count();
}

template <typename Archive, typename Rep, typename Period>
void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const Archive& /*archive*/,  // NOLINT
                                       duration<Rep, Period>& value, const Rep& count) {
  value = duration<Rep, Period>(count);
}

}  // namespace std::chrono

// Tells cereal which writer the reader belongs to.
template <>
struct cereal::traits::detail::get_output_from_input<masticrill::BoundedInputArchive> {
  using type = cereal::BinaryOutputArchive;  // NOLINT
};

#endif  // MASTICRILL_COMMON_CODEC_H_
