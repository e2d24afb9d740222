#include "masticrill/gateway/event_splitter.h"

#include <algorithm>

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

constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  this->pending.append(bytes);
  std::size_t whole = 0;
  while (true) {
    const std::string_view rest = std::string_view(this->pending).substr(whole);
    const std::size_t end = FindEventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    this->OnEvent(rest.substr(0, end));
    whole += end;
  }
  std::string events = this->pending.substr(0, whole);
  this->pending.erase(0, whole);
  return events;
}

void EventSplitter::OnEvent(std::string_view event) {
  ++this->event_count;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      this->last_event_id = std::string(line);
    }
  }
}

}  // namespace masticrill::gateway
