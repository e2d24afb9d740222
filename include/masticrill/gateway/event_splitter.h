#ifndef MASTICRILL_GATEWAY_EVENT_SPLITTER_H_
#define MASTICRILL_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace masticrill::gateway {

/// Splits an event stream (text/event-stream) into complete events, so that a stream that breaks
/// inside an event can resume at another upstream after the last complete one.
class EventSplitter {
 public:
  /// Adds bytes of the stream and returns the bytes of all events that they complete.
  std::string Feed(std::string_view bytes);

  /// The id of the last complete event that had an id; empty before the first.
  const std::string& LastEventId() const { return this->last_event_id; }
  std::uint64_t EventCount() const { return this->event_count; }
  /// The bytes of the incomplete event at the end.
  const std::string& Pending() const { return this->pending; }
  /// The memory that the incomplete event takes.
  std::size_t HeldBytes() const { return this->pending.capacity(); }
  /// Whether the event at the end is longer than any that is believed.
  bool TooLong() const { return this->pending.size() > kMaxEventBytes; }
  /// Discards the incomplete event, as the stream resumes at another upstream. What follows must
  /// begin behind the last event.
  void Resume();
  /// Whether what followed a resumption did not begin behind the last event. No more events are
  /// returned then.
  bool Misplaced() const { return this->misplaced; }

 private:
  /// Engines send a few tokens with each event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

  /// Returns whether the event may follow those before it.
  bool OnEvent(std::string_view event);

  std::string pending;
  std::string last_event_id;
  std::uint64_t event_count = 0;
  /// Between a resumption and the first event behind it.
  bool resuming = false;
  bool misplaced = false;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_EVENT_SPLITTER_H_
