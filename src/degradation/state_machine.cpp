#include "degradation/state_machine.hpp"

#include <algorithm>

namespace dispatcher::degradation {

const char* name(Change::Cause cause) {
  constexpr std::array<const char*, 4> kNames = {"entered", "left", "pinned", "reloaded"};
  return kNames[static_cast<std::size_t>(cause)];
}

void StateMachine::take(std::shared_ptr<const LevelSet> levels) {
  levels_ = std::move(levels);
  levels_->reserve(scratch_);
  watches_.assign(levels_->levels().size() + 1, {});
}

// A condition that has no value holds no longer: nothing is decided by what is not known.
void StateMachine::hold(std::optional<Time>& since, bool holds, Time now) {
  if (!holds) since.reset();
  if (holds && !since) since = now;
}

bool StateMachine::step(std::span<const expression::Value> signals, Time now) {
  for (std::size_t i = 1; i < watches_.size(); ++i) {
    const Level& level = levels_->levels()[i - 1];
    hold(watches_[i].enters, level.enter.run(signals, scratch_).is(true), now);
    hold(watches_[i].leaves, level.leave.run(signals, scratch_).is(true), now);
  }
  if (pinned_) return false;
  for (std::size_t i = watches_.size(); --i > level_;) {
    const Level& level = levels_->levels()[i - 1];
    Watch& watch = watches_[i];
    if (!watch.enters || now - *watch.enters < level.enter_for) continue;
    const Duration soon = 2 * std::min(level.max_stay, level.min_stay * (1U << watch.again));
    const bool again = watch.left && now - *watch.left < soon;
    constexpr unsigned kMaxAgain = 16;
    watch.again = again ? std::min(watch.again + 1, kMaxAgain) : 0;
    change(i, Change::Cause::kEntered, level.enter_text, signals, now);
    return true;
  }
  if (level_ == 0) return false;
  const Level& level = levels_->levels()[level_ - 1];
  Watch& watch = watches_[level_];
  const bool left = watch.leaves && now - *watch.leaves >= level.leave_for && now - since_ >= stay();
  if (!left || !may_step_down(now)) return false;
  watch.left = now;
  change(level_ - 1, Change::Cause::kLeft, level.leave_text, signals, now);
  return true;
}

Duration StateMachine::stay() const {
  const Level& level = levels_->levels()[level_ - 1];
  return std::min(level.max_stay, level.min_stay * (1U << watches_[level_].again));
}

bool StateMachine::may_step_down(Time now) {
  const Duration longest = kBounds.back().window;
  while (!recent_.empty() && recent_.front() < now - longest) recent_.pop_front();
  const std::size_t above = levels_->levels().size() - (level_ - 1);  // steps up that may follow
  return std::all_of(kBounds.begin(), kBounds.end(), [&](const Bound& bound) {
    const auto first = std::lower_bound(recent_.begin(), recent_.end(), now - bound.window);
    return static_cast<std::size_t>(recent_.end() - first) + 1 + above <= bound.maximum;
  });
}

void StateMachine::change(std::size_t to, Change::Cause cause, const std::string& condition,
                          std::span<const expression::Value> signals, Time now) {
  Change made{now, levels_->name(level_), levels_->name(to), cause, condition, {}};
  for (const expression::Value& v : signals)
    made.signals.push_back(
        v.kind == expression::Kind::kString ? expression::Value::of(expression::Fault::kAbsent) : v);
  history_.push_back(std::move(made));
  if (history_.size() > kKept) history_.pop_front();
  if (cause == Change::Cause::kEntered || cause == Change::Cause::kLeft) recent_.push_back(now);
  level_ = to;
  since_ = now;
}

void StateMachine::pin(std::size_t level, Time now) {
  pinned_ = true;
  if (level != level_ && level < watches_.size()) change(level, Change::Cause::kPinned, {}, {}, now);
}

void StateMachine::adopt(std::shared_ptr<const LevelSet> next, Time now) {
  // By name; else the next milder one that is still there.
  std::size_t to = 0;
  for (std::size_t i = level_; i > 0; --i) {
    if (const auto same = next->find(levels_->name(i))) {
      to = *same;
      break;
    }
  }
  const std::string before = level_name();
  const bool dropped = next->name(to) != before;
  // Conditions that stay the same go on holding.
  std::vector<std::pair<std::string, Watch>> watches;
  for (std::size_t i = 1; i < watches_.size(); ++i) {
    const Level& level = levels_->levels()[i - 1];
    const auto same = next->find(level.name);
    if (!same) continue;
    const Level& now_is = next->levels()[*same - 1];
    Watch kept = watches_[i];
    if (now_is.enter_text != level.enter_text) kept.enters.reset();
    if (now_is.leave_text != level.leave_text) kept.leaves.reset();
    watches.emplace_back(level.name, kept);
  }
  take(std::move(next));
  for (const auto& [name, watch] : watches) watches_[*levels_->find(name)] = watch;
  level_ = to;
  if (!dropped) return;
  history_.push_back({now, before, level_name(), Change::Cause::kReloaded, {}, {}});
  if (history_.size() > kKept) history_.pop_front();
  since_ = now;
}

std::optional<Duration> StateMachine::shed(const std::string& request_class,
                                           std::span<const expression::Value> request, double random) {
  if (level_ == 0) return std::nullopt;
  for (const SheddingRule& s : levels_->levels()[level_ - 1].shed) {
    if (std::find(s.classes.begin(), s.classes.end(), request_class) == s.classes.end()) continue;
    if (!s.when.run(request, scratch_).is(true)) continue;
    const auto spread = static_cast<double>((s.retry_max - s.retry_min).count());
    return s.retry_min + Duration(static_cast<std::int64_t>(spread * random));
  }
  return std::nullopt;
}

}  // namespace dispatcher::degradation
