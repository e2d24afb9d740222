#include "masticrill/config/text_delta.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "masticrill/common/compression.h"
#include "masticrill/common/hash.h"

namespace masticrill::config {
namespace {

/// Pieces end after a closing brace, where records of structured texts end, or at this length.
constexpr std::size_t kMaxPieceBytes = 1024;
constexpr std::size_t kMinPieceBytes = 24;
/// Smaller operations are not worth compressing.
constexpr std::size_t kMinCompressedBytes = 256;

/// A range of the base text.
struct Range {
  std::size_t begin = 0;
  std::size_t size = 0;
};

/// The length of the piece with which the text begins.
std::size_t PieceLength(std::string_view text) {
  const std::size_t most = std::min(text.size(), kMaxPieceBytes);
  if (most <= kMinPieceBytes) {
    return most;
  }
  const std::size_t end = text.substr(0, most).find('}', kMinPieceBytes - 1);
  return end == std::string_view::npos ? most : end + 1;
}

/// The end of the last piece of `base` that lies within its first `size` bytes.
std::size_t LastPieceEnd(std::string_view base, std::size_t size) {
  std::size_t end = 0;
  while (end < size) {
    const std::size_t next = end + PieceLength(base.substr(end));
    if (next > size) {
      break;
    }
    end = next;
  }
  return end;
}

/// Finds pieces of a text by their content.
class PieceIndex {
 public:
  explicit PieceIndex(std::string_view text) : text(text) {
    for (std::size_t begin = 0; begin < text.size();) {
      const std::size_t size = PieceLength(text.substr(begin));
      this->places.emplace(Hash64(text.substr(begin, size)), Range{begin, size});
      begin += size;
    }
  }

  std::optional<Range> Find(std::string_view piece) const {
    const auto found = this->places.find(Hash64(piece));
    if (found == this->places.end() ||
        this->text.substr(found->second.begin, found->second.size) != piece) {
      return std::nullopt;
    }
    return found->second;
  }

 private:
  std::string_view text;
  std::unordered_map<std::uint64_t, Range> places;
};

/// Writes operations: for each its size, doubled and odd for a copy, then the place or the bytes.
class OperationWriter {
 public:
  void Copy(Range range) {
    if (this->copied && this->copied->begin + this->copied->size == range.begin) {
      this->copied->size += range.size;
      return;
    }
    this->Flush();
    this->copied = range;
  }

  void Insert(std::string_view bytes) {
    if (this->copied) {
      this->Flush();
    }
    this->inserted.append(bytes);
  }

  std::string Finish() {
    this->Flush();
    return std::move(this->operations);
  }

 private:
  void Flush() {
    if (this->copied) {
      this->Write((this->copied->size << 1U) | 1U);
      this->Write(this->copied->begin);
      this->copied.reset();
    }
    if (!this->inserted.empty()) {
      this->Write(this->inserted.size() << 1U);
      this->operations.append(this->inserted);
      this->inserted.clear();
    }
  }

  void Write(std::uint64_t value) {
    constexpr std::uint64_t kSevenBits = 0x7f;
    for (; value > kSevenBits; value >>= 7U) {
      this->operations.push_back(static_cast<char>((value & kSevenBits) | (kSevenBits + 1)));
    }
    this->operations.push_back(static_cast<char>(value));
  }

  std::string operations;
  std::optional<Range> copied;
  std::string inserted;
};

class OperationReader {
 public:
  explicit OperationReader(std::string_view bytes) : bytes(bytes) {}

  bool AtEnd() const { return this->bytes.empty(); }

  std::optional<std::uint64_t> ReadNumber() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 63 && !this->bytes.empty(); shift += 7) {
      const auto byte = static_cast<unsigned char>(this->bytes.front());
      this->bytes.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
      if ((byte & 0x80U) == 0) {
        return value;
      }
    }
    return std::nullopt;
  }

  std::optional<std::string_view> ReadBytes(std::size_t size) {
    if (size > this->bytes.size()) {
      return std::nullopt;
    }
    const std::string_view part = this->bytes.substr(0, size);
    this->bytes.remove_prefix(size);
    return part;
  }

 private:
  std::string_view bytes;
};

/// Whether all operations were carried out and made no more than `max_bytes`.
bool Run(OperationReader operations, std::string_view base, std::size_t max_bytes,
         std::string& result) {
  while (!operations.AtEnd()) {
    const std::optional<std::uint64_t> head = operations.ReadNumber();
    if (!head || (*head >> 1U) > max_bytes - result.size()) {
      return false;
    }
    const std::size_t size = *head >> 1U;
    if ((*head & 1U) == 0) {
      const std::optional<std::string_view> bytes = operations.ReadBytes(size);
      if (!bytes) {
        return false;
      }
      result.append(*bytes);
      continue;
    }
    const std::optional<std::uint64_t> begin = operations.ReadNumber();
    if (!begin || *begin > base.size() || size > base.size() - *begin) {
      return false;
    }
    result.append(base.substr(*begin, size));
  }
  return true;
}

}  // namespace

std::string TextDigest(std::string_view text) { return Hash128Hex(text); }

TextDelta MakeTextDelta(std::string_view base, std::string_view result, DeltaEncoding encoding) {
  OperationWriter writer;
  // Pieces are cut at the same places of both texts behind what both begin with.
  const auto differs = std::mismatch(base.begin(), base.end(), result.begin(), result.end());
  const std::size_t shared =
      LastPieceEnd(base, static_cast<std::size_t>(differs.second - result.begin()));
  if (shared > 0) {
    writer.Copy({0, shared});
  }
  const PieceIndex index(base);
  std::size_t expected = shared;
  for (std::size_t begin = shared; begin < result.size();) {
    const std::string_view piece = result.substr(begin, PieceLength(result.substr(begin)));
    // A text that goes on as the base does is copied on, also where a piece stands twice.
    if (base.substr(std::min(expected, base.size()), piece.size()) == piece) {
      writer.Copy({expected, piece.size()});
      expected += piece.size();
    } else if (const std::optional<Range> place = index.Find(piece)) {
      writer.Copy(*place);
      expected = place->begin + place->size;
    } else {
      writer.Insert(piece);
    }
    begin += piece.size();
  }
  TextDelta delta{TextDigest(base), TextDigest(result), result.size(), writer.Finish(), false};
  if (encoding == DeltaEncoding::kCompressed && delta.operations.size() >= kMinCompressedBytes) {
    if (std::string smaller = Deflate(delta.operations); smaller.size() < delta.operations.size()) {
      delta.operations = std::move(smaller);
      delta.compressed = true;
    }
  }
  return delta;
}

Result<std::string> ApplyTextDelta(std::string_view base, const TextDelta& delta) {
  if (TextDigest(base) != delta.base_digest) {
    return Fail(ErrorKind::kStaleConfiguration,
                "The change belongs to another text. Ask for the whole text.");
  }
  if (delta.result_bytes > kMaxDeltaTextBytes) {
    return Fail(ErrorKind::kMalformedMessage, "The changed text would be too large. Shorten it.");
  }
  // An insertion takes its bytes and a length, so plain operations are little larger than the text.
  constexpr std::size_t kMaxOperationBytes = 2 * kMaxDeltaTextBytes;
  std::string plain;
  if (delta.compressed) {
    BOOST_LEAF_ASSIGN(plain, Inflate(delta.operations, kMaxOperationBytes));
  }
  std::string result;
  result.reserve(delta.result_bytes);
  const OperationReader operations(delta.compressed ? plain : delta.operations);
  if (!Run(operations, base, delta.result_bytes, result) ||
      TextDigest(result) != delta.result_digest) {
    return Fail(ErrorKind::kMalformedMessage,
                "A change of a text is damaged. Ask for the whole text.");
  }
  return result;
}

}  // namespace masticrill::config
