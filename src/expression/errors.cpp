#include "expression/errors.hpp"

#include <utility>

namespace dispatcher::expression {

namespace {

std::string joined(const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    if (!text.empty()) text += "; ";
    text += "at " + std::to_string(problem.at + 1) + ": " + problem.what;
  }
  return text;
}

}  // namespace

Errors::Errors(std::vector<Problem> all) : std::runtime_error(joined(all)), problems(std::move(all)) {}

void fail(std::size_t at, std::string what) { throw Errors({{at, std::move(what)}}); }

}  // namespace dispatcher::expression
