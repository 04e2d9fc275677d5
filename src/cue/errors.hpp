// The problems of a configuration file and the exception that carries them.
#ifndef DISPATCHER_CUE_ERRORS_HPP_
#define DISPATCHER_CUE_ERRORS_HPP_

#include <stdexcept>
#include <string>
#include <vector>

#include "cue/source.hpp"

namespace dispatcher::cue {

/// One error in a file.
struct Problem {
  Position at;
  std::string path;  // of the field, such as `rules[2].limit.rate`; empty if there is none
  std::string what;  // the message, without position and path
};

/// Returns the problem as one line, `file:line:column: path: what`, without the parts that are unknown.
[[nodiscard]] std::string to_text(const std::string& file, const Problem& problem);

/// Thrown with all errors of a file, of which there is at least one. what() has one line for each problem.
struct Errors : std::runtime_error {
  Errors(const std::string& file, std::vector<Problem> all);
  std::vector<Problem> problems;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_ERRORS_HPP_
