// Line numbers of the fields of a JSON text, which nlohmann's values don't contain.
#ifndef DISPATCHER_SETTINGS_JSON_LINE_INDEX_HPP_
#define DISPATCHER_SETTINGS_JSON_LINE_INDEX_HPP_

#include <map>
#include <string>
#include <string_view>

namespace dispatcher::settings {

// Line numbers of one JSON text, computed when it is constructed; the text isn't needed afterwards.
class JsonLineIndex {
 public:
  // Indexes the text. If it is invalid JSON, indexes the part before the syntax error.
  explicit JsonLineIndex(std::string_view json);

  // Returns the line number, from 1, of a field such as settings.categories[1].deadlineMs: the line of its
  // key or, for an element of an array, of its value. For a missing field, returns the line of the innermost
  // object or array that would contain it and exists.
  [[nodiscard]] int line_number(std::string path) const;

 private:
  std::map<std::string, int> line_numbers_;  // by path
};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_JSON_LINE_INDEX_HPP_
