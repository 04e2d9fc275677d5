#include "service_discovery/json_framer.hpp"

#include <utility>

namespace dispatcher::service_discovery {

namespace {

// The white space of RFC 8259, section 2.
bool is_json_space(char byte) { return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n'; }

}  // namespace

std::vector<std::string> JsonFramer::append(std::string_view bytes) {
  std::vector<std::string> objects;
  for (const char byte : bytes) {
    if (is_malformed_) break;
    const bool was_inside = is_inside_object();
    advance(byte);
    if (!was_inside && !is_inside_object()) continue;
    partial_object_ += byte;
    if (!is_inside_object()) {
      objects.push_back(std::exchange(partial_object_, {}));
    } else if (partial_object_.size() >= max_object_bytes_) {
      is_malformed_ = true;
    }
  }
  if (is_malformed_) partial_object_ = {};
  return objects;
}

void JsonFramer::advance(char byte) {
  if (is_in_string_) {
    if (std::exchange(is_escaped_, false)) return;
    is_escaped_ = byte == '\\';
    is_in_string_ = byte != '"';
  } else if (byte == '{') {
    ++depth_;
  } else if (is_inside_object()) {
    is_in_string_ = byte == '"';
    if (byte == '}') --depth_;
  } else {
    is_malformed_ = !is_json_space(byte);
  }
}

}  // namespace dispatcher::service_discovery
