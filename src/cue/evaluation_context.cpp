#include "cue/evaluation_context.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include "cue/syntax.hpp"
#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

// Maximum number of steps of one evaluation, enough for files of kMaxBytes.
constexpr std::size_t kMaxSteps = 6'000'000;
// Maximum number of elements in a path. Definitions may nest values more deeply than kMaxNesting.
constexpr std::size_t kMaxDepth = 3 * kMaxNesting;
// Maximum number of reported problems. More would not help the reader.
constexpr std::size_t kMaxProblems = 100;
// Maximum length in bytes of a quoted label in a path.
constexpr std::size_t kMaxLabelBytes = 60;

bool is_identifier(std::string_view label) {
  return !label.empty() && std::all_of(label.begin(), label.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '_' || character == '#' || character == '$';
  });
}

}  // namespace

EvaluationContext::PathElement::PathElement(EvaluationContext& context, std::string name)
    : context_(context) {
  context_.path_.push_back(std::move(name));
}

EvaluationContext::PathElement::PathElement(EvaluationContext& context, std::size_t index)
    : PathElement(context, "[" + std::to_string(index) + "]") {}

EvaluationContext::PathElement::~PathElement() { context_.path_.pop_back(); }

EvaluationContext::DefinitionPath::DefinitionPath(EvaluationContext& context, const std::string& definition)
    : context_(context), outer_(std::move(context.path_)) {
  context_.path_.assign(1, definition);
}

EvaluationContext::DefinitionPath::~DefinitionPath() { context_.path_ = std::move(outer_); }

EvaluationContext::Trial::Trial(EvaluationContext& context)
    : context_(context), problems_before_(context.problems_.size()) {
  ++context_.trial_depth_;
}

EvaluationContext::Trial::~Trial() { --context_.trial_depth_; }

bool EvaluationContext::Trial::succeeded() {
  const bool has_none = context_.problems_.size() == problems_before_;
  context_.problems_.resize(problems_before_);
  return has_none;
}

std::string EvaluationContext::path() const {
  std::string text;
  for (const std::string& name : path_) {
    if (name.starts_with('[')) {
      text += name;
      continue;
    }
    if (!text.empty()) text += '.';
    text += is_identifier(name) ? name : "\"" + clip_utf8(name, kMaxLabelBytes) + "\"";
  }
  return text;
}

void EvaluationContext::report(Position position, std::string what) {
  if (problems_.size() >= kMaxProblems)
    stop(position, "more than " + std::to_string(kMaxProblems) + " problems; further ones are not reported");
  // Problems of a trial are discarded, so their paths are not built.
  problems_.push_back({position, in_trial() ? std::string() : path(), std::move(what)});
}

void EvaluationContext::count_step(Position position) {
  ++steps_;
  if (steps_ > kMaxSteps) stop(position, "evaluation takes too many steps");
}

void EvaluationContext::check_depth(Position position) {
  if (path_.size() > kMaxDepth) stop(position, "values are nested too deeply");
}

void EvaluationContext::stop(Position position, std::string what) {
  problems_.push_back({position, {}, std::move(what)});
  throw LimitReached{};
}

}  // namespace dispatcher::cue
