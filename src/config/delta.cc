#include "masticrill/config/delta.h"

#include "masticrill/common/hash.h"
#include "masticrill/config/document.h"

namespace masticrill::config {

Result<NumberedDocument> ApplyDelta(const NumberedDocument& known,
                                    const ConfigurationDelta& delta) {
  if (delta.to < known.number) {
    return Fail(ErrorKind::kStaleConfiguration,
                "The delta leads to number " + std::to_string(delta.to) + ", below " +
                    std::to_string(known.number) + ". Ask another control host.");
  }
  NumberedDocument result{delta.to, delta.full_document};
  if (!delta.IsFull()) {
    if (delta.from != known.number || delta.from + delta.patches.size() != delta.to) {
      return Fail(ErrorKind::kStaleConfiguration, "The delta does not follow number " +
                                                      std::to_string(known.number) +
                                                      ". Ask for the whole document.");
    }
    result.document = known.document;
    for (const std::string& patch : delta.patches) {
      BOOST_LEAF_ASSIGN(result.document, ApplyMergePatch(result.document, patch));
    }
  }
  if (Sha256Hex(result.document) != delta.digest) {
    return Fail(ErrorKind::kStaleConfiguration,
                "The document of number " + std::to_string(delta.to) +
                    " differs from its digest. Ask for the whole document.");
  }
  return result;
}

}  // namespace masticrill::config
