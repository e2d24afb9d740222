#include "masticrill/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace masticrill::gateway {
namespace {

/// The position after the empty line that ends the first event; npos when no event is complete.
/// Lines end with LF or CRLF.
std::size_t FindEventEnd(std::string_view bytes) {
  std::size_t line_begin = 0;
  while (true) {
    const std::size_t line_end = bytes.find('\n', line_begin);
    if (line_end == std::string_view::npos) {
      return std::string_view::npos;
    }
    std::string_view line = bytes.substr(line_begin, line_end - line_begin);
    if (line.empty() || line == "\r") {
      return line_end + 1;
    }
    line_begin = line_end + 1;
  }
}

/// Memory that is kept after a long event for the next ones.
constexpr std::size_t kKeptBytes = 16'384;

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

/// What an event says of its place in the stream.
struct EventFields {
  std::optional<std::string> id;
  bool has_data = false;
};

EventFields ReadFields(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    fields.has_data = fields.has_data || line.starts_with(kDataField);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      fields.id = std::string(line);
    }
  }
  return fields;
}

std::optional<std::uint64_t> ToNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

/// Whether an id stands behind another one. Ids that are no numbers only have to differ.
bool IsLater(const std::string& id, const std::string& than) {
  const std::optional<std::uint64_t> number = ToNumber(id);
  const std::optional<std::uint64_t> other = ToNumber(than);
  return number && other ? *number > *other : id != than;
}

}  // namespace

void EventSplitter::Resume() {
  this->pending.clear();
  this->misplaced = false;
  this->resuming = this->event_count > 0;
}

std::string EventSplitter::Feed(std::string_view bytes) {
  if (this->misplaced) {
    return "";
  }
  this->pending.append(bytes);
  std::size_t whole = 0;
  while (true) {
    const std::string_view rest = std::string_view(this->pending).substr(whole);
    const std::size_t end = FindEventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    if (!this->OnEvent(rest.substr(0, end))) {
      this->misplaced = true;
      this->pending.resize(whole);
      break;
    }
    whole += end;
  }
  std::string events = this->pending.substr(0, whole);
  this->pending.erase(0, whole);
  if (this->pending.capacity() > kKeptBytes && this->pending.size() < kKeptBytes) {
    this->pending.shrink_to_fit();
  }
  return events;
}

bool EventSplitter::OnEvent(std::string_view event) {
  const EventFields fields = ReadFields(event);
  if (this->resuming && fields.id) {
    if (!IsLater(*fields.id, this->last_event_id)) {
      return false;
    }
    this->resuming = false;
  } else if (this->resuming && fields.has_data) {
    return false;
  }
  ++this->event_count;
  if (fields.id) {
    this->last_event_id = *fields.id;
  }
  return true;
}

}  // namespace masticrill::gateway
