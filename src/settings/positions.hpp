// Where the fields of a JSON text stand, which nlohmann's values do not keep.
#ifndef DISPATCHER_SETTINGS_POSITIONS_HPP_
#define DISPATCHER_SETTINGS_POSITIONS_HPP_

#include <map>
#include <string>
#include <string_view>

namespace dispatcher::settings {

class Positions {
 public:
  // Text that is no JSON has the positions of what came before the mistake.
  explicit Positions(std::string_view json);
  // The line, from 1, of a field such as settings.categories[1].deadlineMs: of its key or, in an array, of
  // its value. Of one that is not there, the line of the innermost object or array round it that is.
  [[nodiscard]] int line_of(std::string path) const;

 private:
  std::map<std::string, int> lines_;
};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_POSITIONS_HPP_
