// Cuts a stream of JSON objects into whole objects as it comes, however they are indented or cut.
#ifndef DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::service_discovery {

class JsonFramer {
 public:
  static constexpr std::size_t kMaxObject = 16 * 1024 * 1024;
  explicit JsonFramer(std::size_t maximum = kMaxObject) : max_(maximum) {}

  // Takes the next bytes and returns the objects that they complete. Whether an object is valid inside its
  // braces is the parser's to tell.
  std::vector<std::string> feed(std::string_view bytes);
  [[nodiscard]] bool inside() const { return depth_ > 0; }  // an object has begun and not ended
  // Something stood between objects that is no white space, or an object is too long. Nothing more is read.
  [[nodiscard]] bool bad() const { return bad_; }

 private:
  void step(char c);
  std::size_t max_;
  std::string held_;
  std::size_t depth_ = 0;
  bool in_string_ = false, escaped_ = false, bad_ = false;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_JSON_FRAMER_HPP_
