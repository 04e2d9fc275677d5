// Determines which degradation level is in force. A higher level is entered as soon as its condition has held
// for its time; levels are left one at a time. No I/O; the clock and the randomness are passed in.
//
// There are at most 4 changes within any minute and 6 within any ten minutes, not counting overrides and
// reloads. This holds for the following reason. Let c be the level in force, n the number of levels and k(W)
// the number of changes during the last window W. A step up is always allowed. A step down is allowed only if
// k(W) + 1 + n - (c - 1) does not exceed the limit of any W. Hence k(W) + n - c never exceeds the limit: a
// step up adds one to k(W) and subtracts one or more from n - c, a step down is checked, and k(W) only falls
// as time passes. Since n - c is never negative, k(W) never exceeds the limit either. With three levels, a
// step down to normal service requires a minute without a change, so it is always allowed in the end.
#ifndef DISPATCHER_DEGRADATION_STATE_MACHINE_HPP_
#define DISPATCHER_DEGRADATION_STATE_MACHINE_HPP_

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "degradation/levels.hpp"

namespace dispatcher::degradation {

// A change of the level in force, as recorded in the history.
struct LevelChange {
  // kEntered and kLeft: a condition held. kOverridden: an operator set the level. kReloaded: the new levels
  // file does not contain the previous level.
  enum class Cause { kEntered, kLeft, kOverridden, kReloaded };
  Time at{};
  std::string from, to;
  Cause cause{};
  std::string condition;  // the condition that held; empty for kOverridden and kReloaded
  // The signals at the time of the change, in the order of their environment. Text values are stored as
  // absent, because the caller owns their memory.
  std::vector<expression::Value> signals;
};

// Returns the name of a cause for the admin interface and the log.
[[nodiscard]] const char* name(LevelChange::Cause cause);

// Decides when the level changes and which requests the level in force sheds. Not synchronized; the
// DegradationController that owns it uses it on one event loop only.
class StateMachine {
 public:
  // Allows at most `max_changes` steps, up and down together, within any `window`.
  struct ChangeLimit {
    Duration window;
    std::size_t max_changes;
  };
  // Ordered by window, with the longest last.
  static constexpr std::array<ChangeLimit, 2> kChangeLimits = {
      {{std::chrono::minutes(1), 4}, {std::chrono::minutes(10), 6}}};
  // Maximum number of changes in the history: more than operators need to explain the current level, and
  // bounded.
  static constexpr std::size_t kMaxHistory = 64;

  explicit StateMachine(std::shared_ptr<const LevelSet> levels) { install(std::move(levels)); }

  // Evaluates the conditions on the current signals and changes the level if required. A missing or stale
  // signal is passed as an error value, which by itself causes no level to be entered or left. Must be
  // called at least five times within the shortest `enter_for` or `leave_for`; these times are only as
  // exact as the interval between calls. Returns whether the level changed; if so, history().back() is the
  // change.
  [[nodiscard]] bool step(std::span<const expression::Value> signals, Time now);

  // Return the number of the level in force, which is kNormalLevel during normal service, and its name.
  [[nodiscard]] std::size_t level() const { return level_; }
  [[nodiscard]] std::string level_name() const { return levels_->name(level_); }

  // Sets an operator's override: the level stays in force, whatever the signals are, until the override is
  // cleared. After that the conditions decide again, starting from this level.
  void set_override(std::size_t level, Time now);
  void clear_override() { overridden_ = false; }
  [[nodiscard]] bool is_overridden() const { return overridden_; }

  // Replaces the levels. The level in force stays if the new set has one of the same name. Otherwise it is
  // replaced by the next milder level that the new set has. For an unchanged condition, the time that it has
  // held is kept.
  void replace_levels(std::shared_ptr<const LevelSet> levels, Time now);

  // Returns the Retry-After of a request if the level in force sheds it, else nullopt. `request`: the values
  // of the request's environment. `random`: a number from 0 to 1, which spreads the retries of requests that
  // are shed together.
  [[nodiscard]] std::optional<Duration> shed(const std::string& request_class,
                                             std::span<const expression::Value> request, double random);

  // Returns the latest kMaxHistory changes, with the latest last.
  [[nodiscard]] const std::deque<LevelChange>& history() const { return history_; }
  [[nodiscard]] const LevelSet& levels() const { return *levels_; }

 private:
  struct LevelTimers {
    std::optional<Time> enter_since, leave_since;  // since when the condition has held without interruption
    std::optional<Time> left_at;                   // when the level was last left for a milder one
    unsigned reentries = 0;  // how often in a row the level was entered again soon after
  };

  void install(std::shared_ptr<const LevelSet> levels);
  // Keeps the timers of levels that have the same name in the previous set, except those of changed
  // conditions.
  void restore_timers(const LevelSet& previous, const std::vector<LevelTimers>& previous_timers);
  void update_timers(std::span<const expression::Value> signals, Time now);
  bool step_up(std::span<const expression::Value> signals, Time now);
  bool step_down(std::span<const expression::Value> signals, Time now);
  [[nodiscard]] bool is_step_down_allowed(Time now);
  // Returns how long the level must stay in force at least, which depends on how often it was entered again.
  [[nodiscard]] Duration min_stay(std::size_t level) const;
  void change_level(std::size_t to, LevelChange::Cause cause, const std::string& condition,
                    std::span<const expression::Value> signals, Time now);
  void record(LevelChange change);

  std::shared_ptr<const LevelSet> levels_;
  expression::Scratch scratch_;
  std::vector<LevelTimers> timers_;  // by level; the entry of normal service is not used
  std::size_t level_ = kNormalLevel;
  Time entered_at_{};  // when the level in force was entered
  bool overridden_ = false;
  std::deque<Time> recent_changes_;  // steps within the longest window, not counting overrides and reloads
  std::deque<LevelChange> history_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_STATE_MACHINE_HPP_
