#ifndef MASTICRILL_STATE_ARCHIVE_H_
#define MASTICRILL_STATE_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

/// Archives of the cereal library for bytes that are equal on every host and that may come from a
/// faulty peer. Integers are encoded as varints, signed ones zigzag-encoded. Unlike the library's
/// own binary archives, reading never allocates more memory than a fixed multiple of the input,
/// because each length is checked against the remaining bytes. Only the .cc files of this module
/// include this header.
namespace masticrill::state {

/// Writes values to a string.
class ByteWriter : public cereal::OutputArchive<ByteWriter, cereal::AllowEmptyClassElision> {
 public:
  explicit ByteWriter(std::string& bytes)
      : cereal::OutputArchive<ByteWriter, cereal::AllowEmptyClassElision>(this), bytes(&bytes) {}

  void WriteVarint(std::uint64_t value) {
    while (value >= 0x80) {
      this->bytes->push_back(static_cast<char>((value & 0x7f) | 0x80));
      value >>= 7;
    }
    this->bytes->push_back(static_cast<char>(value));
  }

  void WriteBytes(const void* data, std::size_t size) {
    this->bytes->append(static_cast<const char*>(data), size);
  }

 private:
  std::string* bytes;
};

/// Reads values from a string. Throws cereal::Exception when the bytes are malformed; the direct
/// caller must catch the exception.
class ByteReader : public cereal::InputArchive<ByteReader, cereal::AllowEmptyClassElision> {
 public:
  explicit ByteReader(std::string_view bytes)
      : cereal::InputArchive<ByteReader, cereal::AllowEmptyClassElision>(this), bytes(bytes) {}

  std::uint64_t ReadVarint() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      const auto byte = static_cast<unsigned char>(this->ReadBytes(1)[0]);
      if (shift == 63 && byte > 1) {
        break;
      }
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0) {
        return value;
      }
    }
    throw cereal::Exception("A variable-length integer exceeds 64 bits.");
  }

  /// Reads the length of a string or list, whose elements take at least one byte each.
  std::size_t ReadLength() {
    const std::uint64_t length = this->ReadVarint();
    if (length > this->bytes.size()) {
      throw cereal::Exception("A length exceeds the remaining bytes of the message.");
    }
    return length;
  }

  std::string_view ReadBytes(std::size_t size) {
    if (size > this->bytes.size()) {
      throw cereal::Exception("The message is truncated.");
    }
    const std::string_view part = this->bytes.substr(0, size);
    this->bytes.remove_prefix(size);
    return part;
  }

  /// Throws unless all bytes were read.
  void ExpectEnd() const {
    if (!this->bytes.empty()) {
      throw cereal::Exception("The message has trailing bytes.");
    }
  }

 private:
  std::string_view bytes;
};

// The customization points that the library looks up by these names.

template <std::unsigned_integral T>
void save(ByteWriter& archive, const T& value) {
  archive.WriteVarint(static_cast<std::uint64_t>(value));
}

template <std::signed_integral T>
void save(ByteWriter& archive, const T& value) {
  const auto value64 = static_cast<std::int64_t>(value);
  archive.WriteVarint((static_cast<std::uint64_t>(value64) << 1) ^
                      static_cast<std::uint64_t>(value64 >> 63));
}

template <std::unsigned_integral T>
void load(ByteReader& archive, T& value) {
  const std::uint64_t value64 = archive.ReadVarint();
  if (value64 > std::numeric_limits<T>::max()) {
    throw cereal::Exception("An integer exceeds the range of its type.");
  }
  value = static_cast<T>(value64);
}

template <std::signed_integral T>
void load(ByteReader& archive, T& value) {
  const std::uint64_t zigzag = archive.ReadVarint();
  const auto value64 = static_cast<std::int64_t>((zigzag >> 1) ^ (~(zigzag & 1) + 1));
  if (value64 > std::numeric_limits<T>::max() || value64 < std::numeric_limits<T>::min()) {
    throw cereal::Exception("An integer exceeds the range of its type.");
  }
  value = static_cast<T>(value64);
}

template <typename T>
void serialize(ByteWriter& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void serialize(ByteReader& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void save(ByteWriter& archive, const cereal::SizeTag<T>& tag) {
  archive.WriteVarint(tag.size);
}

template <typename T>
void load(ByteReader& archive, cereal::SizeTag<T>& tag) {
  tag.size = archive.ReadLength();
}

template <typename T>
void save(ByteWriter& archive, const cereal::BinaryData<T>& data) {
  archive.WriteBytes(data.data, data.size);
}

template <typename T>
void load(ByteReader& archive, cereal::BinaryData<T>& data) {
  const std::string_view part = archive.ReadBytes(data.size);
  part.copy(static_cast<char*>(data.data), part.size());
}

// The library's own function for vectors allocates the full length before it reads the elements.
template <typename T>
void save(ByteWriter& archive, const std::vector<T>& values) {
  archive.WriteVarint(values.size());
  for (const T& value : values) {
    archive(value);
  }
}

template <typename T>
void load(ByteReader& archive, std::vector<T>& values) {
  const std::size_t length = archive.ReadLength();
  values.clear();
  for (std::size_t i = 0; i < length; ++i) {
    archive(values.emplace_back());
  }
}

}  // namespace masticrill::state

CEREAL_SETUP_ARCHIVE_TRAITS(masticrill::state::ByteReader, masticrill::state::ByteWriter)

#endif  // MASTICRILL_STATE_ARCHIVE_H_
