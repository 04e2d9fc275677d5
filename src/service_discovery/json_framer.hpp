// Splits a byte stream of JSON objects (RFC 8259), separated by any white space or none, into single objects.
#ifndef DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::service_discovery {

// Finds where each object ends by counting braces outside of strings, however the objects are indented and
// the stream is cut. A value type, used by one thread.
class JsonFramer {
 public:
  static constexpr std::size_t kMaxObjectBytes = 16UL * 1024 * 1024;
  explicit JsonFramer(std::size_t max_object_bytes = kMaxObjectBytes) : max_object_bytes_(max_object_bytes) {}

  // Adds the next bytes and returns the objects that they complete. Whether an object is valid JSON inside
  // its braces is for the parser to find out. Returns nothing more once is_malformed().
  [[nodiscard]] std::vector<std::string> append(std::string_view bytes);
  // An object has begun and not ended.
  [[nodiscard]] bool is_inside_object() const { return depth_ > 0; }
  // There was something other than white space between two objects, or an object was too long.
  [[nodiscard]] bool is_malformed() const { return is_malformed_; }

 private:
  void advance(char byte);

  std::size_t max_object_bytes_;
  std::string partial_object_;
  std::size_t depth_ = 0;  // of open braces
  bool is_in_string_ = false;
  bool is_escaped_ = false;  // the byte before was a backslash in a string
  bool is_malformed_ = false;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
