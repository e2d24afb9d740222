#include "state/command_check.h"

#include <concepts>
#include <type_traits>

namespace masticrill::state {
namespace {

constexpr RequestClass LastEnumerator(RequestClass) { return RequestClass::kTag; }
constexpr OutcomeKind LastEnumerator(OutcomeKind) { return OutcomeKind::kFailed; }
constexpr RefusalKind LastEnumerator(RefusalKind) { return RefusalKind::kPromptBlocked; }
constexpr Execution LastEnumerator(Execution) { return Execution::kUnknown; }
constexpr ChargeReporter LastEnumerator(ChargeReporter) { return ChargeReporter::kSidecar; }
constexpr ClaimResolution LastEnumerator(ClaimResolution) {
  return ClaimResolution::kOutcomeUnknown;
}

/// Checks every value of a command and stores the first fault. The serialize functions of the
/// commands take a validator in place of an archive.
class CommandValidator {
 public:
  explicit CommandValidator(const Limits& limits) : limits(&limits) {}

  template <typename... Values>
  void operator()(const Values&... values) {
    (this->Visit(values), ...);
  }

  const std::string& Fault() const { return this->fault; }

 private:
  template <typename Tag>
  void Visit(const Name<Tag>& name) {
    if (name.Value().size() > this->limits->max_identifier_bytes) {
      this->SetFault("An identifier is longer than " +
                     std::to_string(this->limits->max_identifier_bytes) + " bytes. Shorten it.");
    }
  }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void Visit(const Enum& value) {
    if (value < Enum{} || value > LastEnumerator(value)) {
      this->SetFault("The value of an enumeration is unknown. Run the same version on all hosts.");
    }
  }

  void Visit(const std::vector<TraceStep>& steps) {
    if (steps.size() > this->limits->max_trace_steps) {
      this->SetFault("A trace has more than " + std::to_string(this->limits->max_trace_steps) +
                     " steps. Shorten it.");
    }
    this->VisitAll(steps);
  }

  template <typename Value>
  void Visit(const std::vector<Value>& values) {
    this->VisitAll(values);
  }

  template <std::integral Integer>
  void Visit(const Integer&) {}

  /// Strings are checked where they are used, because their limits differ.
  void Visit(const std::string&) {}

  template <typename Value>
  requires std::is_class_v<Value>
  void Visit(const Value& value) {
    // serialize() is not const because it also serves for loading; this visitor only reads.
    const_cast<Value&>(value).serialize(*this);  // NOLINT(cppcoreguidelines-pro-type-const-cast)
  }

  template <typename Value>
  void VisitAll(const std::vector<Value>& values) {
    for (const Value& value : values) {
      this->Visit(value);
    }
  }

  void SetFault(const std::string& message) {
    if (this->fault.empty()) {
      this->fault = message;
    }
  }

  const Limits* limits;
  std::string fault;
};

std::string FindTextFault(const Command& command, const Limits& limits) {
  const auto is_too_long = [&](const std::string& text) {
    return text.size() > limits.max_identifier_bytes;
  };
  if (const auto* open = std::get_if<OpenClaim>(&command); open && is_too_long(open->body_hash)) {
    return "The body hash is too long. Send a SHA-256 in hexadecimal.";
  }
  if (const auto* resolve = std::get_if<ResolveClaim>(&command);
      resolve && is_too_long(resolve->answer.content_type)) {
    return "The content type is too long. Shorten it.";
  }
  return "";
}

}  // namespace

std::string FindCommandFault(const Command& command, const Limits& limits) {
  CommandValidator validator(limits);
  std::visit([&validator](const auto& inner) { validator(inner); }, command);
  return validator.Fault().empty() ? FindTextFault(command, limits) : validator.Fault();
}

}  // namespace masticrill::state
