// Which degradation level is in force: up as soon as a level's condition has held for its time, down one
// level at a time. No I/O; the clock and the randomness are passed in.
//
// The limits on changes, those of an override or a reload aside: at most 4 in any minute and 6 in any ten.
// Let c be the level in force, n the number of levels and k(W) the changes of the last W. A step up is always
// allowed, a step down only while k(W) + 1 + n - (c - 1) stays within the limit of each W. So k(W) + n - c is
// never above it: a step up adds one to k and takes one or more from n - c, a step down is checked, and with
// time k only falls. As n - c is never below 0, nor is k(W) ever above the limit. With three levels a step
// down to normal service needs a minute without a change, so that it is always allowed in the end.
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

// A change of the level in force, as the history records it.
struct LevelChange {
  // kEntered, kLeft: a condition held. kOverridden: by an operator. kReloaded: the new file lacks the level.
  enum class Cause { kEntered, kLeft, kOverridden, kReloaded };
  Time at{};
  std::string from, to;
  Cause cause{};
  std::string condition;  // the one that held; empty for kOverridden and kReloaded
  // At the time of the change, in the environment's order. Texts are absent, as their memory is the caller's.
  std::vector<expression::Value> signals;
};

// The cause as the admin interface and the log write it.
[[nodiscard]] const char* name(LevelChange::Cause cause);

// Decides on changes of the level, and which requests the level in force sheds. Not synchronized: the
// DegradationController owns it, on one event loop.
class StateMachine {
 public:
  // At most `max_changes` steps up and down within any `window`.
  struct ChangeLimit {
    Duration window;
    std::size_t max_changes;
  };
  // The longest window last.
  static constexpr std::array<ChangeLimit, 2> kChangeLimits = {
      {{std::chrono::minutes(1), 4}, {std::chrono::minutes(10), 6}}};
  // Changes in the history: more than operators need to explain the present, and bounded.
  static constexpr std::size_t kMaxHistory = 64;

  explicit StateMachine(std::shared_ptr<const LevelSet> levels) { install(std::move(levels)); }

  // Evaluates the conditions on the signals as they are now. A signal that is missing or stale is a fault
  // among them, and neither enters a level nor leaves one. Call it at least five times in the shortest
  // `enter_for` or `leave_for`, which are kept no more exactly than that. Returns whether the level changed;
  // history().back() is the change then.
  [[nodiscard]] bool step(std::span<const expression::Value> signals, Time now);

  [[nodiscard]] std::size_t level() const { return level_; }  // kNormalLevel: normal service
  [[nodiscard]] std::string level_name() const { return levels_->name(level_); }

  // An operator's override: the level stays in force, whatever the signals are, until the override is
  // cleared. From then on the conditions decide again, starting from this level.
  void set_override(std::size_t level, Time now);
  void clear_override() { overridden_ = false; }
  [[nodiscard]] bool is_overridden() const { return overridden_; }

  // Replaces the levels. The level in force stays where the new set has one of the same name; otherwise it is
  // replaced by the next milder one that the new set has. Unchanged conditions keep the time that they have
  // held.
  void replace_levels(std::shared_ptr<const LevelSet> levels, Time now);

  // Whether the level in force sheds a request: the Retry-After then, else nullopt. `request`: the values of
  // the request's environment. `random`: from 0 to 1, spreads the retries of requests that are shed together.
  [[nodiscard]] std::optional<Duration> shed(const std::string& request_class,
                                             std::span<const expression::Value> request, double random);

  [[nodiscard]] const std::deque<LevelChange>& history() const { return history_; }  // the latest last
  [[nodiscard]] const LevelSet& levels() const { return *levels_; }

 private:
  struct LevelTimers {
    std::optional<Time> enter_since, leave_since;  // since when the condition has held
    std::optional<Time> left_at;                   // when the level was last left for a milder one
    unsigned reentries = 0;                        // how often in a row it was entered again soon after
  };

  void install(std::shared_ptr<const LevelSet> levels);
  // Takes over the timers of levels that the set before had by the same name.
  void restore_timers(const LevelSet& previous, const std::vector<LevelTimers>& previous_timers);
  void update_timers(std::span<const expression::Value> signals, Time now);
  bool step_up(std::span<const expression::Value> signals, Time now);
  bool step_down(std::span<const expression::Value> signals, Time now);
  [[nodiscard]] bool is_step_down_allowed(Time now);
  // How long the level stays in force at least, by how often it was entered again.
  [[nodiscard]] Duration min_stay(std::size_t level) const;
  void change_level(std::size_t to, LevelChange::Cause cause, const std::string& condition,
                    std::span<const expression::Value> signals, Time now);
  void record(LevelChange change);

  std::shared_ptr<const LevelSet> levels_;
  expression::Scratch scratch_;
  std::vector<LevelTimers> timers_;  // by level; that of normal service is not used
  std::size_t level_ = kNormalLevel;
  Time entered_at_{};  // the level in force
  bool overridden_ = false;
  std::deque<Time> recent_changes_;  // within the longest window; without overrides and reloads
  std::deque<LevelChange> history_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_STATE_MACHINE_HPP_
