// The degradation levels in the operators' file: when each level is entered and left, and which requests it
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

// Maximum number of levels besides normal service. With more levels, the limits on changes could not be
// guaranteed (see state_machine.hpp).
inline constexpr std::size_t kMaxLevels = 3;

// The number of normal service, at which nothing is shed. Its name is reserved.
inline constexpr std::size_t kNormalLevel = 0;
inline constexpr const char* kNormalLevelName = "normal";

// Which requests a level sheds, and the range from which their Retry-After is chosen at random.
struct SheddingRule {
  std::vector<std::string> classes;  // the names of the classes that the rule applies to
  expression::Program when;          // the rule's condition on the signals and the request
  Duration min_retry_after{}, max_retry_after{};
};

// One degradation level. Its conditions are evaluated on the signals.
struct Level {
  std::string name;
  expression::Program enter, leave;
  std::string enter_text, leave_text;  // the text of the conditions in the file
  Duration enter_for{}, leave_for{};   // how long a condition must hold
  // How long the level stays in force at least: min_stay, which is doubled, up to max_stay, each time that
  // the level is entered again soon after it was left.
  Duration min_stay{}, max_stay{};
  std::vector<SheddingRule> shedding_rules;
};

// The levels in order, with the mildest first. Immutable once read, so that it can be shared. Levels are
// numbered from 1, after kNormalLevel.
class LevelSet {
 public:
  // Reads and checks a levels file. `signals`: the fields that the conditions of levels may use. `request`:
  // the fields that `shed.when` may use, with the signals first. `classes`: the classes that the settings
  // define; if it is empty, any name is valid. Throws cue::Errors with all problems.
  [[nodiscard]] static std::shared_ptr<const LevelSet> read(const cue::File& file,
                                                            const expression::Environment& signals,
                                                            const expression::Environment& request,
                                                            const std::vector<std::string>& classes);

  [[nodiscard]] const std::vector<Level>& levels() const { return levels_; }
  // Returns the level of this number, which must be above kNormalLevel.
  [[nodiscard]] const Level& level(std::size_t number) const { return levels_[number - 1]; }
  // Returns the number of the level called `name`, or nullopt if there is none.
  [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;
  // Returns the name of any level, including kNormalLevel.
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
