// Which level of reduced service is in force: up as soon as a level's condition has held for its time, down
// one level at a time. No I/O; the clock and the randomness are passed in.
//
// The bound on changes, those that operators order aside: at most 4 in any minute and 6 in any ten. Let c be
// the level in force, n the number of levels and k(W) the changes of the last W. A step up is always allowed,
// a step down only while k(W) + 1 + n - (c - 1) stays within the bound of each W. So k(W) + n - c is never
// above it: a step up adds one to k and takes one or more from n - c, a step down is checked, and with time k
// only falls. As n - c is never below 0, nor is k(W) ever above the bound. With three levels a step down to
// normal service asks for a minute without a change, so that it is always allowed in the end.
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

struct Change {
  enum class Cause { kEntered, kLeft, kPinned, kReloaded };
  Time at{};
  std::string from, to;
  Cause cause{};
  std::string condition;  // that held; empty where an operator or a file made the change
  std::vector<expression::Value>
      signals;  // as they were, in the environment's order; numbers and truths only
};
const char* name(Change::Cause cause);

class StateMachine {
 public:
  struct Bound {
    Duration window;
    std::size_t maximum;
  };
  static constexpr std::array<Bound, 2> kBounds = {
      {{std::chrono::minutes(1), 4}, {std::chrono::minutes(10), 6}}};
  static constexpr std::size_t kKept = 64;  // changes in the history

  explicit StateMachine(std::shared_ptr<const LevelSet> levels) { take(std::move(levels)); }

  // Looks at the signals as they are now; a signal that is missing or stale is a fault among them, and
  // neither enters a level nor leaves one. True: the level changed, as history().back() tells. Asked often,
  // but for a condition's time to be kept no more rarely than a fifth of it.
  bool step(std::span<const expression::Value> signals, Time now);

  [[nodiscard]] std::size_t level() const { return level_; }  // 0: normal service
  [[nodiscard]] std::string level_name() const { return levels_->name(level_); }
  // An operator's word goes before the signals until it is taken back; the level then goes on from there.
  void pin(std::size_t level, Time now);
  void unpin() { pinned_ = false; }
  [[nodiscard]] bool pinned() const { return pinned_; }

  // Other levels: the one in force stays where it has the same name; else the next milder one that is still
  // there takes its place.
  void adopt(std::shared_ptr<const LevelSet> levels, Time now);

  // What the level in force sheds: when the request may come again, if it is to be shed. `request`: the
  // values of the request's environment; `random` from 0 to 1 spreads those that are shed together.
  std::optional<Duration> shed(const std::string& request_class, std::span<const expression::Value> request,
                               double random);

  [[nodiscard]] const std::deque<Change>& history() const { return history_; }
  [[nodiscard]] const LevelSet& levels() const { return *levels_; }

 private:
  struct Watch {                         // of one level
    std::optional<Time> enters, leaves;  // since when the condition has held
    std::optional<Time> left;            // when it was left for a milder one
    unsigned again = 0;                  // how often it was soon entered again
  };
  void take(std::shared_ptr<const LevelSet> levels);
  void change(std::size_t to, Change::Cause cause, const std::string& condition,
              std::span<const expression::Value> signals, Time now);
  bool may_step_down(Time now);
  [[nodiscard]] Duration stay() const;
  static void hold(std::optional<Time>& since, bool holds, Time now);

  std::shared_ptr<const LevelSet> levels_;
  expression::Scratch scratch_;
  std::vector<Watch> watches_;  // by level, the first one's at 1
  std::size_t level_ = 0;
  Time since_{};  // when the level in force was entered
  bool pinned_ = false;
  std::deque<Time> recent_;  // changes of the longest window
  std::deque<Change> history_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_STATE_MACHINE_HPP_
