#include "cue/errors.hpp"

#include <utility>

namespace dispatcher::cue {

namespace {

std::string join_lines(const std::string& file, const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    if (!text.empty()) text += '\n';
    text += to_text(file, problem);
  }
  return text;
}

}  // namespace

std::string to_text(const std::string& file, const Problem& problem) {
  std::string text = file;
  if (problem.at.in_file())
    text += ":" + std::to_string(problem.at.line) + ":" + std::to_string(problem.at.column);
  if (!problem.path.empty()) text += ": " + problem.path;
  return text + ": " + problem.what;
}

Errors::Errors(const std::string& file, std::vector<Problem> all)
    : std::runtime_error(join_lines(file, all)), problems(std::move(all)) {}

}  // namespace dispatcher::cue
