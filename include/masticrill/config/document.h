#ifndef MASTICRILL_CONFIG_DOCUMENT_H_
#define MASTICRILL_CONFIG_DOCUMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/result.h"
#include "masticrill/config/configuration.h"

namespace masticrill::config {

/// The largest document and the largest merge patch, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{4} << 20;
/// The deepest nesting of objects and arrays in a document or a patch.
inline constexpr int kMaxDocumentDepth = 16;
/// The most members of one object and elements of one array.
inline constexpr std::size_t kMaxMembers = 4096;
/// The longest name of a team, model, upstream and so on, in bytes.
inline constexpr std::size_t kMaxNameBytes = 64;
/// The longest free text, in bytes.
inline constexpr std::size_t kMaxTextBytes = 512;

/// Reads a configuration from its JSON document and validates it. The error is of kind
/// kInvalidConfiguration; its message holds the JSON path, what is wrong and the remedy. Unknown
/// and doubled members, null values and text that is not UTF-8 are refused, and every reference
/// must lead to something that exists.
Result<Configuration> ParseDocument(std::string_view json, Number number);

/// Writes the canonical document of a configuration: sorted members, no white space, every member
/// present. ParseDocument of it gives an equal configuration.
std::string SerializeDocument(const Configuration& configuration);

/// Applies a JSON Merge Patch (RFC 7396) to a document and returns the new document, in canonical
/// form: sorted members, no white space.
Result<std::string> ApplyMergePatch(std::string_view document, std::string_view patch);

/// A new document with the merge patches between it and the old one. Neither document may contain a
/// null value, which ParseDocument ensures.
struct DocumentChange {
  std::string document;
  std::string forward_patch;
  std::string reverse_patch;

  friend bool operator==(const DocumentChange&, const DocumentChange&) = default;
};

/// Applies a merge patch and returns the new document with the least patches there and back.
Result<DocumentChange> ChangeDocument(std::string_view document, std::string_view patch);

/// Returns the least patches between a document and the one that replaces it.
Result<DocumentChange> ReplaceDocument(std::string_view document, std::string_view new_document);

/// A document without the text of its declaration, of which it names the digest.
struct SplitDocument {
  std::string document;
  /// Absent where the document held none.
  std::optional<std::string> text;

  friend bool operator==(const SplitDocument&, const SplitDocument&) = default;
};

/// Takes the text of the declaration out of a document.
Result<SplitDocument> TakeDeclarationText(std::string_view document);

/// The merge patch that sets a declaration with its whole text.
std::string MakeDeclarationPatch(const Declaration& declaration);

/// Puts the text of the declaration back.
Result<std::string> PutDeclarationText(std::string_view document, const std::string& text);

/// A small valid document with one of everything, for `masticrill dev` and for readers. Its keys
/// are listed in its "keys" members under salt and hash; the secrets are "dev-guild-key",
/// "dev-lux-key" and, for the operator, "dev-operator-key".
std::string ExampleDocument();

/// The document that configures nothing.
inline constexpr std::string_view kEmptyDocument = "{}";

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_DOCUMENT_H_
