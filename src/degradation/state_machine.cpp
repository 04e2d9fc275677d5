#include "degradation/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::degradation {

namespace {

// Maximum number of counted re-entries, each of which doubles a level's min_stay. max_stay is reached by
// then, and the shift in StateMachine::min_stay() does not overflow.
constexpr unsigned kMaxReentries = 16;

// Updates the time since when a condition has held without interruption.
void update_since(std::optional<Time>& since, bool holds, Time now) {
  if (!holds) {
    since.reset();
  } else if (!since) {
    since = now;
  }
}

bool has_held(const std::optional<Time>& since, Duration duration, Time now) {
  return since && now - *since >= duration;
}

// Returns the level of `next` that replaces `level` of `current`: the level of the same name or, if there is
// none, the one that has the name of the next milder level.
std::size_t matching_level(const LevelSet& current, std::size_t level, const LevelSet& next) {
  for (std::size_t i = level; i > kNormalLevel; --i) {
    if (const auto same_name = next.find(current.name(i))) return *same_name;
  }
  return kNormalLevel;
}

}  // namespace

const char* name(LevelChange::Cause cause) {
  // Operators' scripts parse these names, which call an override "pinned".
  constexpr std::array<const char*, 4> kNames = {"entered", "left", "pinned", "reloaded"};
  return kNames[static_cast<std::size_t>(cause)];
}

void StateMachine::install(std::shared_ptr<const LevelSet> levels) {
  levels_ = std::move(levels);
  levels_->reserve(scratch_);
  timers_.assign(levels_->levels().size() + 1, {});
}

bool StateMachine::step(std::span<const expression::Value> signals, Time now) {
  update_timers(signals, now);
  if (overridden_) return false;
  return step_up(signals, now) || step_down(signals, now);
}

// A condition without a value, for example because a signal is absent, does not hold.
void StateMachine::update_timers(std::span<const expression::Value> signals, Time now) {
  for (std::size_t i = kNormalLevel + 1; i < timers_.size(); ++i) {
    const Level& level = levels_->level(i);
    update_since(timers_[i].enter_since, level.enter.run(signals, scratch_).is(true), now);
    update_since(timers_[i].leave_since, level.leave.run(signals, scratch_).is(true), now);
  }
}

// Enters the highest level above the current one whose condition has held for its time.
bool StateMachine::step_up(std::span<const expression::Value> signals, Time now) {
  for (std::size_t i = timers_.size(); --i > level_;) {
    const Level& level = levels_->level(i);
    LevelTimers& timers = timers_[i];
    if (!has_held(timers.enter_since, level.enter_for, now)) continue;
    const bool is_reentry = timers.left_at && now - *timers.left_at < 2 * min_stay(i);
    timers.reentries = is_reentry ? std::min(timers.reentries + 1, kMaxReentries) : 0;
    change_level(i, LevelChange::Cause::kEntered, level.enter_text, signals, now);
    return true;
  }
  return false;
}

bool StateMachine::step_down(std::span<const expression::Value> signals, Time now) {
  if (level_ == kNormalLevel) return false;
  const Level& level = levels_->level(level_);
  LevelTimers& timers = timers_[level_];
  if (!has_held(timers.leave_since, level.leave_for, now)) return false;
  if (now - entered_at_ < min_stay(level_)) return false;
  if (!is_step_down_allowed(now)) return false;
  timers.left_at = now;
  change_level(level_ - 1, LevelChange::Cause::kLeft, level.leave_text, signals, now);
  return true;
}

Duration StateMachine::min_stay(std::size_t number) const {
  const Level& level = levels_->level(number);
  return std::min(level.max_stay, level.min_stay * (1U << timers_[number].reentries));
}

bool StateMachine::is_step_down_allowed(Time now) {
  const Duration longest_window = kChangeLimits.back().window;
  while (!recent_changes_.empty() && recent_changes_.front() < now - longest_window)
    recent_changes_.pop_front();
  const std::size_t steps_up_left = levels_->levels().size() - (level_ - 1);  // counted after the step down
  return std::all_of(kChangeLimits.begin(), kChangeLimits.end(), [&](const ChangeLimit& limit) {
    const auto first = std::lower_bound(recent_changes_.begin(), recent_changes_.end(), now - limit.window);
    const auto changes = static_cast<std::size_t>(recent_changes_.end() - first);
    return changes + 1 + steps_up_left <= limit.max_changes;
  });
}

void StateMachine::change_level(std::size_t to, LevelChange::Cause cause, const std::string& condition,
                                std::span<const expression::Value> signals, Time now) {
  LevelChange change{now, levels_->name(level_), levels_->name(to), cause, condition, {}};
  for (const expression::Value& value : signals) {
    const bool is_text = value.kind == expression::Kind::kString;
    change.signals.push_back(is_text ? expression::Value::of(expression::EvaluationError::kAbsent) : value);
  }
  record(std::move(change));
  if (cause == LevelChange::Cause::kEntered || cause == LevelChange::Cause::kLeft)
    recent_changes_.push_back(now);
  level_ = to;
  entered_at_ = now;
}

void StateMachine::record(LevelChange change) {
  history_.push_back(std::move(change));
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void StateMachine::set_override(std::size_t level, Time now) {
  overridden_ = true;
  if (level == level_ || level >= timers_.size()) return;
  change_level(level, LevelChange::Cause::kOverridden, {}, {}, now);
}

void StateMachine::replace_levels(std::shared_ptr<const LevelSet> next, Time now) {
  const std::shared_ptr<const LevelSet> previous = levels_;
  const std::vector<LevelTimers> previous_timers = timers_;
  const std::string previous_name = level_name();
  const std::size_t level = matching_level(*previous, level_, *next);
  install(std::move(next));
  restore_timers(*previous, previous_timers);
  level_ = level;
  if (level_name() == previous_name) return;
  record({now, previous_name, level_name(), LevelChange::Cause::kReloaded, {}, {}});
  entered_at_ = now;
}

void StateMachine::restore_timers(const LevelSet& previous, const std::vector<LevelTimers>& previous_timers) {
  for (std::size_t i = kNormalLevel + 1; i < previous_timers.size(); ++i) {
    const Level& before = previous.level(i);
    const auto same_name = levels_->find(before.name);
    if (!same_name) continue;
    const Level& after = levels_->level(*same_name);
    LevelTimers& timers = timers_[*same_name];
    timers = previous_timers[i];
    if (after.enter_text != before.enter_text) timers.enter_since.reset();
    if (after.leave_text != before.leave_text) timers.leave_since.reset();
  }
}

std::optional<Duration> StateMachine::shed(const std::string& request_class,
                                           std::span<const expression::Value> request, double random) {
  if (level_ == kNormalLevel) return std::nullopt;
  for (const SheddingRule& rule : levels_->level(level_).shedding_rules) {
    if (std::find(rule.classes.begin(), rule.classes.end(), request_class) == rule.classes.end()) continue;
    if (!rule.when.run(request, scratch_).is(true)) continue;
    const auto spread = static_cast<double>((rule.max_retry_after - rule.min_retry_after).count());
    return rule.min_retry_after + Duration(static_cast<std::int64_t>(spread * random));
  }
  return std::nullopt;
}

}  // namespace dispatcher::degradation
