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
  // Of text that isn't JSON it has the line numbers of what comes before the syntax error.
  explicit JsonLineIndex(std::string_view json);

  // The line number, from 1, of a field such as settings.categories[1].deadlineMs: of its key or, in an
  // array, of its value. Of a field that is missing, that of the innermost object or array that contains it.
  [[nodiscard]] int line_number(std::string path) const;

 private:
  std::map<std::string, int> line_numbers_;  // by path
};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_JSON_LINE_INDEX_HPP_
