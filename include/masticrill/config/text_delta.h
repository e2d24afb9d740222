#ifndef MASTICRILL_CONFIG_TEXT_DELTA_H_
#define MASTICRILL_CONFIG_TEXT_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/config/shared_text.h"

namespace masticrill::config {

/// The largest text that a delta may make, in bytes.
inline constexpr std::size_t kMaxDeltaTextBytes = std::size_t{8} << 20U;

/// What turns one text into another: ranges copied from the first, and new bytes. Its size grows
/// with what differs, not with the texts.
struct TextDelta {
  /// Digests of the text that the delta applies to and of its result; see TextDigest.
  std::string base_digest;
  std::string result_digest;
  std::uint64_t result_bytes = 0;
  /// The operations in their own encoding.
  std::string operations;
  /// Whether `operations` is compressed.
  bool compressed = false;

  friend bool operator==(const TextDelta&, const TextDelta&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->base_digest, this->result_digest, this->result_bytes, this->operations,
            this->compressed);
  }
};

/// What a node needs to get from the text that it holds to the current one.
struct TextUpdate {
  /// The digest of the current text.
  std::string digest;
  /// One after the other; empty where the node has the text, or where `whole` is set.
  std::vector<TextDelta> changes;
  /// The current text, where no changes lead to it, or where they are larger.
  std::optional<SharedText> whole;

  friend bool operator==(const TextUpdate&, const TextUpdate&) = default;
};

enum class DeltaEncoding {
  kPlain,       // The same bytes on every host, whatever compressor it has.
  kCompressed,  // Compressed where that makes it smaller.
};

/// A digest by which texts are told apart. Not for secrets.
std::string TextDigest(std::string_view text);

/// The delta between two texts. Takes time in proportion to their lengths.
TextDelta MakeTextDelta(std::string_view base, std::string_view result, DeltaEncoding encoding);

/// Fails with kStaleConfiguration when the delta belongs to another base, and with
/// kMalformedMessage when it is damaged.
Result<std::string> ApplyTextDelta(std::string_view base, const TextDelta& delta);

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_TEXT_DELTA_H_
