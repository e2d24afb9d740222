#ifndef MASTICRILL_CONFIG_STRICT_JSON_H_
#define MASTICRILL_CONFIG_STRICT_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/result.h"

namespace masticrill::config {

/// Parses a JSON object. Refuses what ordinary parsers let pass: doubled members, deep nesting,
/// objects and arrays with too many members, and texts over the size limit.
Result<nlohmann::json> ParseStrict(std::string_view text);

/// Keeps the first fault of a document.
class FaultSink {
 public:
  void Add(const std::string& path, const std::string& fault);
  bool Empty() const { return this->first.empty(); }
  const std::string& First() const { return this->first; }

 private:
  std::string first;
};

/// The range of a whole number, with both ends.
struct IntegerRange {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;
};

/// A value of a document with its path. Reads members; a fault goes to the sink and gives the
/// default, so that a caller need not check each member.
class JsonNode {
 public:
  JsonNode(const nlohmann::json& value, std::string path, FaultSink& faults)
      : value(&value), path(std::move(path)), faults(&faults) {}

  const std::string& Path() const { return this->path; }
  bool Has(const char* name) const;
  /// Refuses members that are not in the list.
  void Only(const std::vector<std::string>& names) const;

  /// The members of this object, which maps names to objects. Bad names are faults.
  std::vector<std::pair<std::string, JsonNode>> Entries() const;
  /// A member that is an object; an empty one where it is absent.
  JsonNode Object(const char* name) const;
  std::string Text(const char* name) const;
  /// A text that only the size of the document bounds.
  std::string LongText(const char* name) const;
  std::string RequiredText(const char* name) const;
  std::uint64_t Integer(const char* name, std::uint64_t fallback, IntegerRange range) const;
  double Fraction(const char* name, double fallback) const;
  bool Boolean(const char* name, bool fallback) const;
  /// A member that is an array of different texts.
  std::vector<std::string> Texts(const char* name) const;
  /// This value itself as an array of different texts.
  std::vector<std::string> Elements() const;
  /// The place of a member's text in the list of choices; the first choice where it is absent.
  std::size_t Choice(const char* name, const std::vector<std::string>& choices) const;

  void Fault(const char* name, const std::string& fault) const;

 private:
  std::string PathOf(const std::string& name) const;
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json* value;
  std::string path;
  FaultSink* faults;
};

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_STRICT_JSON_H_
