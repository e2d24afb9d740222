#include "config/strict_json.h"

#include <algorithm>
#include <set>

#include "masticrill/common/nearest.h"
#include "masticrill/config/document.h"

namespace masticrill::config {
namespace {

using Json = nlohmann::json;

const Json& EmptyObject() {
  static const Json kEmpty = Json::object();
  return kEmpty;
}

/// Follows the parser's events and keeps the first fault that the parser itself lets pass.
class StructureCheck {
 public:
  bool OnEvent(int depth, Json::parse_event_t event, const Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        this->levels.emplace_back();
        if (depth >= kMaxDocumentDepth) {
          this->Add("is nested too deeply. Write it with fewer levels.");
        }
        break;
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        this->levels.pop_back();
        this->CountElement();
        break;
      case Json::parse_event_t::key:
        this->OnKey(parsed.get_ref<const std::string&>());
        break;
      case Json::parse_event_t::value:
        this->CountElement();
        break;
    }
    return true;
  }

  const std::string& Fault() const { return this->fault; }

 private:
  struct Level {
    std::set<std::string> seen;
    std::string last_key;
    std::size_t elements = 0;
  };

  void OnKey(const std::string& key) {
    Level& level = this->levels.back();
    level.last_key = key;
    if (!level.seen.insert(key).second) {
      this->Add("stands twice. Remove one of the two.");
    }
  }

  void CountElement() {
    if (!this->levels.empty() && ++this->levels.back().elements > kMaxMembers) {
      this->Add("has more than " + std::to_string(kMaxMembers) + " members. Remove some.");
    }
  }

  void Add(const std::string& what) {
    if (!this->fault.empty()) {
      return;
    }
    std::string path = "$";
    for (const Level& level : this->levels) {
      path += level.last_key.empty() ? "" : "." + level.last_key;
    }
    this->fault = path + ": " + what;
  }

  std::vector<Level> levels;
  std::string fault;
};

bool IsName(const std::string& text) {
  const auto is_name_byte = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_name_byte);
}

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    joined += (joined.empty() ? "" : ", ") + word;
  }
  return joined;
}

}  // namespace

Result<Json> ParseStrict(std::string_view text) {
  if (text.size() > kMaxDocumentBytes) {
    return Fail(
        ErrorKind::kInvalidConfiguration,
        "$: is larger than " + std::to_string(kMaxDocumentBytes) + " bytes. Make it smaller.");
  }
  StructureCheck check;
  Json parsed;
  try {
    parsed = Json::parse(text, [&check](int depth, Json::parse_event_t event, const Json& value) {
      return check.OnEvent(depth, event, value);
    });
  } catch (const Json::parse_error& error) {
    return Fail(ErrorKind::kInvalidConfiguration, "$: is not JSON in UTF-8 at byte " +
                                                      std::to_string(error.byte) +
                                                      ". Correct its form there.");
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kInvalidConfiguration,
                "$: holds a value out of range. Write a smaller number.");
  }
  if (!check.Fault().empty()) {
    return Fail(ErrorKind::kInvalidConfiguration, check.Fault());
  }
  if (!parsed.is_object()) {
    return Fail(ErrorKind::kInvalidConfiguration, "$: is not an object. Write {...}.");
  }
  return parsed;
}

void FaultSink::Add(const std::string& path, const std::string& fault) {
  if (this->first.empty()) {
    this->first = path + ": " + fault;
  }
}

std::string JsonNode::PathOf(const std::string& name) const { return this->path + "." + name; }

const Json* JsonNode::Find(const char* name) const {
  if (!this->value->is_object()) {
    return nullptr;
  }
  const auto member = this->value->find(name);
  return member == this->value->end() ? nullptr : &*member;
}

bool JsonNode::Has(const char* name) const { return this->Find(name) != nullptr; }

void JsonNode::Fault(const char* name, const std::string& fault) const {
  this->faults->Add(this->PathOf(name), fault);
}

void JsonNode::Only(const std::vector<std::string>& names) const {
  if (!this->value->is_object()) {
    this->faults->Add(this->path, "is not an object. Write {...}.");
    return;
  }
  for (const auto& [name, member] : this->value->items()) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      this->faults->Add(this->PathOf(name),
                        "is unknown. Did you mean '" + Nearest(name, names) + "'?");
    }
  }
}

std::vector<std::pair<std::string, JsonNode>> JsonNode::Entries() const {
  std::vector<std::pair<std::string, JsonNode>> entries;
  if (!this->value->is_object()) {
    this->faults->Add(this->path, "is not an object. Write {\"name\": ...}.");
    return entries;
  }
  for (const auto& [name, member] : this->value->items()) {
    if (!IsName(name)) {
      this->faults->Add(this->PathOf(name), "is not a name. Use 1 to " +
                                                std::to_string(kMaxNameBytes) +
                                                " of the characters a-z, A-Z, 0-9, '.', '_', '-'.");
      continue;
    }
    entries.emplace_back(name, JsonNode(member, this->PathOf(name), *this->faults));
  }
  return entries;
}

JsonNode JsonNode::Object(const char* name) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return {EmptyObject(), this->PathOf(name), *this->faults};
  }
  if (!member->is_object()) {
    this->Fault(name, "is not an object. Write {...}.");
    return {EmptyObject(), this->PathOf(name), *this->faults};
  }
  return {*member, this->PathOf(name), *this->faults};
}

std::string JsonNode::Text(const char* name) const {
  std::string text = this->LongText(name);
  if (text.size() > kMaxTextBytes) {
    this->Fault(name, "is longer than " + std::to_string(kMaxTextBytes) + " bytes. Shorten it.");
  }
  return text;
}

std::string JsonNode::LongText(const char* name) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return "";
  }
  if (!member->is_string()) {
    this->Fault(name, "is not a text. Write it in quotes.");
    return "";
  }
  return member->get<std::string>();
}

std::string JsonNode::RequiredText(const char* name) const {
  const std::string text = this->Text(name);
  if (text.empty()) {
    this->Fault(name, "is missing. Give it a value.");
  }
  return text;
}

std::uint64_t JsonNode::Integer(const char* name, std::uint64_t fallback,
                                IntegerRange range) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return fallback;
  }
  const bool in_range = member->is_number_unsigned() &&
                        member->get<std::uint64_t>() >= range.minimum &&
                        member->get<std::uint64_t>() <= range.maximum;
  if (!in_range) {
    this->Fault(name, "is out of range. Write a whole number from " +
                          std::to_string(range.minimum) + " to " + std::to_string(range.maximum) +
                          ".");
    return fallback;
  }
  return member->get<std::uint64_t>();
}

double JsonNode::Fraction(const char* name, double fallback) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_number() || member->get<double>() < 0.0 || member->get<double>() > 1.0) {
    this->Fault(name, "is out of range. Write a number from 0 to 1.");
    return fallback;
  }
  return member->get<double>();
}

bool JsonNode::Boolean(const char* name, bool fallback) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    this->Fault(name, "is not a boolean. Write true or false.");
    return fallback;
  }
  return member->get<bool>();
}

std::vector<std::string> JsonNode::Elements() const {
  std::vector<std::string> texts;
  if (!this->value->is_array()) {
    this->faults->Add(this->path, "is not an array. Write [\"...\"].");
    return texts;
  }
  std::set<std::string> seen;
  for (std::size_t i = 0; i < this->value->size(); ++i) {
    const Json& element = (*this->value)[i];
    const std::string element_path = this->path + "[" + std::to_string(i) + "]";
    if (!element.is_string()) {
      this->faults->Add(element_path, "is not a text. Write it in quotes.");
      return texts;
    }
    if (!seen.insert(element.get<std::string>()).second) {
      this->faults->Add(element_path, "stands twice. Remove one of the two.");
    }
    texts.push_back(element.get<std::string>());
  }
  return texts;
}

std::vector<std::string> JsonNode::Texts(const char* name) const {
  const Json* member = this->Find(name);
  if (member == nullptr) {
    return {};
  }
  return JsonNode(*member, this->PathOf(name), *this->faults).Elements();
}

std::size_t JsonNode::Choice(const char* name, const std::vector<std::string>& choices) const {
  if (!this->Has(name)) {
    return 0;
  }
  const std::string text = this->Text(name);
  const auto choice = std::find(choices.begin(), choices.end(), text);
  if (choice == choices.end()) {
    this->Fault(name, "is unknown. Write one of: " + Join(choices) + ".");
    return 0;
  }
  return static_cast<std::size_t>(choice - choices.begin());
}

}  // namespace masticrill::config
