#ifndef MASTICRILL_SIDECAR_ANSWER_METER_H_
#define MASTICRILL_SIDECAR_ANSWER_METER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace masticrill::sidecar {

/// Counts the tokens of a model engine's answer while it is relayed, and detects whether the answer
/// is complete. Not thread-safe.
class AnswerMeter {
 public:
  /// `event_stream`: the answer comes as server-sent events that end in "[DONE]".
  explicit AnswerMeter(bool event_stream) : event_stream(event_stream) {}

  /// Processes the next part of the answer. Parts of an event stream are whole lines.
  void Add(std::string_view data);

  /// Whether an event stream ended with its end marker; always true for any other answer.
  bool IsComplete() const;
  std::uint64_t PromptTokens() const { return this->prompt_tokens; }
  std::uint64_t GeneratedTokens() const { return this->generated_tokens; }
  /// Whether any content of the answer was received.
  bool ContentSeen() const { return this->content_seen; }

 private:
  void AddEventLine(std::string_view line);

  bool event_stream;
  bool done_marker_seen = false;
  bool content_seen = false;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  /// The body of an answer that is not an event stream; parsed after each part that ends with '}'.
  std::string body;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ANSWER_METER_H_
