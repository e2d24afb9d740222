#ifndef MASTICRILL_GATEWAY_EVENT_SPLITTER_H_
#define MASTICRILL_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace masticrill::gateway {

/// Cuts an event stream (text/event-stream) into whole events, so that a stream that breaks inside
/// an event can go on at another upstream behind the last whole one.
class EventSplitter {
 public:
  /// Adds bytes of the stream and returns those of the events that are whole now.
  std::string Feed(std::string_view bytes);

  /// The id of the last whole event that had one; empty before the first.
  const std::string& LastEventId() const { return this->last_event_id; }
  std::uint64_t EventCount() const { return this->event_count; }
  /// Bytes of an event that is not whole yet.
  const std::string& Pending() const { return this->pending; }
  /// Forgets the event that is not whole, when the stream goes on elsewhere.
  void DropPending() { this->pending.clear(); }

 private:
  void OnEvent(std::string_view event);

  std::string pending;
  std::string last_event_id;
  std::uint64_t event_count = 0;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_EVENT_SPLITTER_H_
