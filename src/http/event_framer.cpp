#include "http/event_framer.hpp"

#include <utility>

namespace dispatcher::http {

std::vector<std::string> EventFramer::feed(std::string_view bytes) {
  std::vector<std::string> events;
  const auto emit = [&] {
    events.push_back(std::exchange(held_, {}));
    complete_ = false;
  };
  for (const char c : bytes) {
    if (complete_ && c != '\n') emit();
    const bool second_half = std::exchange(after_cr_, c == '\r') && c == '\n';
    held_ += c;
    if (second_half) {
      if (complete_) emit();
      continue;
    }
    if (c != '\n' && c != '\r') {
      ++line_;
      continue;
    }
    const bool blank = std::exchange(line_, 0) == 0;
    if (!blank) continue;
    complete_ = true;
    if (c == '\n') emit();
  }
  return events;
}

std::string event_field(std::string_view event, std::string_view field) {
  std::string value;
  bool first = true;
  while (!event.empty()) {
    const std::size_t end = event.find_first_of("\r\n");
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    const std::size_t colon = line.find(':');
    if (line.empty() || line.substr(0, colon) != field) continue;
    std::string_view part = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (part.starts_with(' ')) part.remove_prefix(1);
    if (!std::exchange(first, false)) value += '\n';
    value += part;
  }
  return value;
}

}  // namespace dispatcher::http
