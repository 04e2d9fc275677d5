// The state that the steps of one evaluation share: the problems found, the path of the current field, and
// the limits on work.
#ifndef DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_
#define DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "cue/errors.hpp"

namespace dispatcher::cue {

/// Thrown when an evaluation reaches a limit, after the problem that names the limit has been reported.
/// Schema catches it, so it never leaves this package. It is deliberately not derived from std::exception.
struct LimitReached {};

/// The state of one evaluation. Not thread-safe.
class EvaluationContext {
 public:
  /// Appends a field or list item to the current path for the lifetime of this object. Problems reported in
  /// the meantime have it in their path.
  class PathElement {
   public:
    PathElement(EvaluationContext& context, std::string name);
    /// Appends the item at `index` of a list.
    PathElement(EvaluationContext& context, std::size_t index);
    ~PathElement();
    PathElement(const PathElement&) = delete;
    PathElement& operator=(const PathElement&) = delete;

   private:
    EvaluationContext& context_;
  };

  /// Replaces the current path by one that begins at a definition, for the lifetime of this object.
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

  /// An attempt that only finds out whether problems occur. succeeded() discards them.
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

  /// Records a problem at the current path. Throws LimitReached if there are too many.
  void report(Position position, std::string what);
  /// Counts one step of the evaluation. Throws LimitReached if the number of steps exceeds the limit.
  void count_step(Position position);
  /// Throws LimitReached if the current path is too long.
  void check_depth(Position position);
  /// Records a problem that belongs to the file rather than to a field, and throws LimitReached.
  [[noreturn]] void stop(Position position, std::string what);

  [[nodiscard]] bool in_trial() const { return trial_depth_ > 0; }
  /// Returns the path of the current field, such as `rules[2].limit.rate`.
  [[nodiscard]] std::string path() const;
  [[nodiscard]] const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
  std::vector<std::string> path_;  // field labels, and `[index]` for list items
  std::size_t steps_ = 0;
  std::size_t trial_depth_ = 0;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_EVALUATION_CONTEXT_HPP_
