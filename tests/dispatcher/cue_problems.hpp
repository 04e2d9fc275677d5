// What is wrong with a configuration record, in the form that operators read.
#ifndef DISPATCHER_TESTS_DISPATCHER_CUE_PROBLEMS_HPP_
#define DISPATCHER_TESTS_DISPATCHER_CUE_PROBLEMS_HPP_

#include <string>
#include <vector>

#include "cue/errors.hpp"

namespace dispatcher::testing {

// The problems that `read` throws as cue::Errors, with the file's name; empty: it throws none.
template <class Read>
std::vector<std::string> problems_of(const std::string& file, const Read& read) {
  try {
    read();
  } catch (const cue::Errors& errors) {
    std::vector<std::string> texts;
    for (const cue::Problem& problem : errors.problems) texts.push_back(cue::to_text(file, problem));
    return texts;
  }
  return {};
}

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_CUE_PROBLEMS_HPP_
