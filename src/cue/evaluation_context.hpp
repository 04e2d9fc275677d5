// The state that the steps of one evaluation share: the problems found, the path of the current field, and
// the limits on work.
#ifndef DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_
#define DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "cue/errors.hpp"

namespace dispatcher::cue {

/// Thrown where an evaluation reaches a limit, after the problem that names the limit has been reported.
/// Schema catches it, so that it leaves no file of this package; it is deliberately no std::exception.
struct LimitReached {};

/// The state of one evaluation. Not thread-safe.
class EvaluationContext {
 public:
  /// Names a field or item for as long as it lives: problems reported meanwhile have it in their path.
  class PathElement {
   public:
    PathElement(EvaluationContext& context, std::string name);
    /// The item at `index` of a list.
    PathElement(EvaluationContext& context, std::size_t index);
    ~PathElement();
    PathElement(const PathElement&) = delete;
    PathElement& operator=(const PathElement&) = delete;

   private:
    EvaluationContext& context_;
  };

  /// Replaces the path by one that begins at a definition, for as long as it lives.
  class DefinitionPath {
   public:
    DefinitionPath(EvaluationContext& context, const std::string& definition);
    ~DefinitionPath();
    DefinitionPath(const DefinitionPath&) = delete;
    DefinitionPath& operator=(const DefinitionPath&) = delete;

   private:
    EvaluationContext& context_;
    std::vector<std::string> outer_;
  };

  /// An attempt whose problems are discarded: it only finds out whether there are any.
  class Trial {
   public:
    explicit Trial(EvaluationContext& context);
    ~Trial();
    Trial(const Trial&) = delete;
    Trial& operator=(const Trial&) = delete;
    /// Discards the problems reported since the trial began. Returns whether there were none.
    [[nodiscard]] bool succeeded();

   private:
    EvaluationContext& context_;
    std::size_t problems_before_;
  };

  /// Records a problem at the current path. Throws LimitReached where there are too many.
  void report(Position position, std::string what);
  /// Counts a step of work. Throws LimitReached past the limit.
  void count_step(Position position);
  /// Throws LimitReached where the path is too long.
  void check_depth(Position position);
  /// Records a problem that belongs to the file rather than to a field, and throws LimitReached.
  [[noreturn]] void stop(Position position, std::string what);

  [[nodiscard]] bool in_trial() const { return trial_depth_ > 0; }
  /// The path of the current field, as `rules[2].limit.rate`.
  [[nodiscard]] std::string path() const;
  [[nodiscard]] const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
  std::vector<std::string> path_;  // names of fields, and `[index]` for items
  std::size_t steps_ = 0;
  std::size_t trial_depth_ = 0;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_
