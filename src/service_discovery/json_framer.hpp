// Splits a byte stream of JSON objects (RFC 8259), separated by optional white space, into single objects.
#ifndef DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::service_discovery {

// Finds the end of each object by counting braces outside of strings. The objects may be indented and the
// stream split in any way. A value type, used by one thread.
class JsonFramer {
 public:
  static constexpr std::size_t kMaxObjectBytes = 16UL * 1024 * 1024;
  explicit JsonFramer(std::size_t max_object_bytes = kMaxObjectBytes) : max_object_bytes_(max_object_bytes) {}

  // Appends the next bytes and returns the objects that they complete. Doesn't check that the text inside an
  // object's braces is valid JSON, which the parser does. Returns no further objects once is_malformed().
  [[nodiscard]] std::vector<std::string> append(std::string_view bytes);
  // Returns whether an object has begun and not ended.
  [[nodiscard]] bool is_inside_object() const { return depth_ > 0; }
  // Returns whether there was anything but white space between two objects, or an object was too long.
  [[nodiscard]] bool is_malformed() const { return is_malformed_; }

 private:
  void advance(char byte);

  std::size_t max_object_bytes_;
  std::string partial_object_;
  std::size_t depth_ = 0;  // the number of open braces
  bool is_in_string_ = false;
  bool is_escaped_ = false;  // whether the previous byte was an escaping backslash in a string
  bool is_malformed_ = false;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
