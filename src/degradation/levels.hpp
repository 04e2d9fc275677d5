// Levels of reduced service as the operators' file has them: when each is entered and left, and what it
// sheds.
#ifndef DISPATCHER_DEGRADATION_LEVELS_HPP_
#define DISPATCHER_DEGRADATION_LEVELS_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cue/data.hpp"
#include "expression/program.hpp"
#include "routing/router.hpp"

namespace dispatcher::degradation {

using routing::Duration;
using routing::Time;

// Above normal service. The bounds on changes could not be kept with more (state_machine.hpp).
inline constexpr std::size_t kMaxLevels = 3;

struct SheddingRule {
  std::vector<std::string> classes;  // by name, and no others
  expression::Program when;          // over the request and the signals
  Duration retry_min{}, retry_max{};
};

struct Level {
  std::string name;
  expression::Program enter, leave;  // over the signals
  std::string enter_text, leave_text;
  Duration enter_for{}, leave_for{};  // how long a condition must hold
  Duration min_stay{}, max_stay{};    // a level that is soon entered again is kept twice as long each time
  std::vector<SheddingRule> shed;
};

// The levels in order, the mildest first. Level 0, normal service, is not among them.
class LevelSet {
 public:
  // `signals` and `request`: the fields that conditions and `shed.when` may ask for; the latter begins with
  // the signals. `classes`: the names that the settings know, none: any. Throws cue::Errors.
  static std::shared_ptr<const LevelSet> read(const cue::File& file, const expression::Environment& signals,
                                              const expression::Environment& request,
                                              const std::vector<std::string>& classes);

  [[nodiscard]] const std::vector<Level>& levels() const { return levels_; }
  [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;  // 0: normal
  [[nodiscard]] std::string name(std::size_t level) const {
    return level == 0 ? "normal" : levels_[level - 1].name;
  }
  void reserve(expression::Scratch& scratch) const;

 private:
  std::vector<Level> levels_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_LEVELS_HPP_
