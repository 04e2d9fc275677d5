#include "cue/evaluation_context.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include "cue/syntax.hpp"
#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

constexpr std::size_t kMaxSteps = 6'000'000;        // enough for files of kMaxBytes
constexpr std::size_t kMaxDepth = 3 * kMaxNesting;  // of the path: definitions may nest values more deeply
constexpr std::size_t kMaxProblems = 100;           // more are of no use to a reader
constexpr std::size_t kMaxLabelBytes = 60;          // of a quoted label in a path

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
  // A trial discards its problems, so their paths are not built.
  problems_.push_back({position, in_trial() ? std::string() : path(), std::move(what)});
}

void EvaluationContext::count_step(Position position) {
  ++steps_;
  if (steps_ > kMaxSteps) stop(position, "takes too much work to read");
}

void EvaluationContext::check_depth(Position position) {
  if (path_.size() > kMaxDepth) stop(position, "takes too much work to read");
}

void EvaluationContext::stop(Position position, std::string what) {
  problems_.push_back({position, {}, std::move(what)});
  throw LimitReached{};
}

}  // namespace dispatcher::cue
