// What is wrong with settings before anything is served by them: values out of bounds, and values that
// contradict each other. Pure; part of the module, whose constructor turns down what check() refuses.
// docs/settings.md argues for each finding why it refuses or only warns.
#ifndef DISPATCHER_SETTINGS_CHECK_HPP_
#define DISPATCHER_SETTINGS_CHECK_HPP_

#include <string>
#include <vector>

#include "routing/settings.hpp"

namespace dispatcher::settings {

using routing::Settings;

enum class Severity {
  kRefuse,  // means nothing, contradicts itself, or nobody could be served
  kWarn     // absurd, but what follows from it is known and keeps the rules
};

struct Finding {
  Severity severity{};
  std::string field;   // its path in the wire's names, such as limits.mostTries or categories[1].deadlineMs
  std::string wrong;   // what is wrong, with the value
  std::string wanted;  // what would be right; may be empty
};

std::vector<Finding> check(const Settings& settings);
// Those beside them that concern a dispatcher on sockets only.
std::vector<Finding> check_sockets(const Settings& settings);

// Throws std::invalid_argument that names all that check() refuses.
void require(const Settings& settings);

// "field 'limits.mostTries': 0; wanted: at least 1".
std::string text(const Finding& finding);

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_CHECK_HPP_
