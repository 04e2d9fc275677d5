// Framing of server-sent events and extraction of their fields.
#include "http/event_framer.hpp"

namespace dispatcher::http {

std::string EventFramer::take_event() {
  is_complete_ = false;
  return std::exchange(buffer_, {});
}

std::vector<std::string> EventFramer::append(std::string_view bytes) {
  std::vector<std::string> events;
  for (const char byte : bytes) {
    if (is_complete_ && byte != '\n') events.push_back(take_event());
    const bool was_after_cr = std::exchange(is_after_cr_, byte == '\r');
    buffer_ += byte;
    if (was_after_cr && byte == '\n') {  // the second half of a CR LF
      if (is_complete_) events.push_back(take_event());
      continue;
    }
    if (byte != '\n' && byte != '\r') {
      ++line_length_;
      continue;
    }
    const bool is_blank_line = std::exchange(line_length_, 0) == 0;
    if (!is_blank_line) continue;
    is_complete_ = true;
    if (byte == '\n') events.push_back(take_event());
  }
  return events;
}

std::string event_field(std::string_view event, std::string_view field) {
  std::string value;
  bool is_first = true;
  while (!event.empty()) {
    const std::size_t end = event.find_first_of("\r\n");
    const std::string_view text = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    const std::size_t colon = text.find(':');
    if (text.empty() || text.substr(0, colon) != field) continue;
    std::string_view part;
    if (colon != std::string_view::npos) part = text.substr(colon + 1);
    if (part.starts_with(' ')) part.remove_prefix(1);
    if (!std::exchange(is_first, false)) value += '\n';
    value += part;
  }
  return value;
}

}  // namespace dispatcher::http
