// The degradation levels of the operators' file: when each is entered and left, and which requests it sheds.
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

// Levels besides normal service. With more the limits on changes could not be guaranteed (state_machine.hpp).
inline constexpr std::size_t kMaxLevels = 3;

// Level 0, at which nothing is shed. Its name is reserved.
inline constexpr std::size_t kNormalLevel = 0;
inline constexpr const char* kNormalLevelName = "normal";

// Which requests a level sheds, and the range that their Retry-After is drawn from.
struct SheddingRule {
  std::vector<std::string> classes;  // the names of the classes that it applies to
  expression::Program when;          // its condition, over the signals and the request
  Duration min_retry_after{}, max_retry_after{};
};

// One level of reduced service. Conditions are over the signals.
struct Level {
  std::string name;
  expression::Program enter, leave;
  std::string enter_text, leave_text;  // the conditions' texts in the file
  Duration enter_for{}, leave_for{};   // how long the condition must hold
  // How long the level stays in force at least: min_stay, doubled up to max_stay each time that the level is
  // entered again soon after it was left.
  Duration min_stay{}, max_stay{};
  std::vector<SheddingRule> shedding_rules;
};

// The levels in order, the mildest first; immutable once read, so that it may be shared. Levels are numbered
// from 1, after kNormalLevel.
class LevelSet {
 public:
  // Reads and checks a file. `signals`: the fields that conditions may use. `request`: the fields that
  // `shed.when` may use, the signals first. `classes`: those that the settings define; none: any name is
  // valid. Throws cue::Errors with all problems.
  [[nodiscard]] static std::shared_ptr<const LevelSet> read(const cue::File& file,
                                                            const expression::Environment& signals,
                                                            const expression::Environment& request,
                                                            const std::vector<std::string>& classes);

  [[nodiscard]] const std::vector<Level>& levels() const { return levels_; }
  // `number`: above kNormalLevel.
  [[nodiscard]] const Level& level(std::size_t number) const { return levels_[number - 1]; }
  // The level's number. Nullopt: there is no level of this name.
  [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;
  // The name of any level, kNormalLevel too.
  [[nodiscard]] std::string name(std::size_t number) const {
    return number == kNormalLevel ? kNormalLevelName : level(number).name;
  }
  // Makes the scratch large enough for all programs of the levels.
  void reserve(expression::Scratch& scratch) const;

 private:
  std::vector<Level> levels_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_LEVELS_HPP_
