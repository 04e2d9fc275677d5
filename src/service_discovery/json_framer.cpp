#include "service_discovery/json_framer.hpp"

#include <utility>

namespace dispatcher::service_discovery {

std::vector<std::string> JsonFramer::feed(std::string_view bytes) {
  std::vector<std::string> objects;
  for (const char c : bytes) {
    if (bad_) break;
    const bool was_inside = inside();
    step(c);
    if (!was_inside && !inside()) continue;
    held_ += c;
    if (!inside()) {
      objects.push_back(std::exchange(held_, {}));
    } else if (held_.size() >= max_) {
      bad_ = true;
    }
  }
  if (bad_) held_ = {};
  return objects;
}

void JsonFramer::step(char c) {
  if (in_string_) {
    if (std::exchange(escaped_, false)) return;
    escaped_ = c == '\\';
    in_string_ = c != '"';
  } else if (c == '{') {
    ++depth_;
  } else if (inside()) {
    in_string_ = c == '"';
    if (c == '}') --depth_;
  } else {
    bad_ = c != ' ' && c != '\t' && c != '\r' && c != '\n';
  }
}

}  // namespace dispatcher::service_discovery
