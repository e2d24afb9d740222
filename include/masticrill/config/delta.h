#ifndef MASTICRILL_CONFIG_DELTA_H_
#define MASTICRILL_CONFIG_DELTA_H_

#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/config/configuration.h"

namespace masticrill::config {

/// A document at its number.
struct NumberedDocument {
  Number number = 0;
  std::string document = "{}";

  friend bool operator==(const NumberedDocument&, const NumberedDocument&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->document);
  }
};

/// What a node needs to go from the number it knows to a newer one: the merge patches between them,
/// or the whole document where the patches are no longer kept.
struct ConfigurationDelta {
  /// The number that the patches start from; unused with a whole document.
  Number from = 0;
  Number to = 0;
  /// One merge patch for each number after `from`; empty with a whole document.
  std::vector<std::string> patches;
  /// The document of `to`; empty with patches.
  std::string full_document;
  /// SHA-256 of the document of `to`, in hexadecimal.
  std::string digest;

  bool IsFull() const { return !this->full_document.empty(); }

  friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->patches, this->full_document, this->digest);
  }
};

/// Applies a delta. Fails with kStaleConfiguration when the delta does not start at the known
/// number or its result differs from the digest (ask for the whole document then), and when it
/// would lower the number.
Result<NumberedDocument> ApplyDelta(const NumberedDocument& known, const ConfigurationDelta& delta);

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_DELTA_H_
