#include "service_discovery/poll_schedule.hpp"

#include <algorithm>
#include <utility>

#include "service_discovery/poll_timing.hpp"

namespace dispatcher::service_discovery {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxCalls = 2;  // the watch and the call that may replace it; see ListDelivery::kPush
// A failure of a call that was open for less than this is rapid. Several rapid failures in a row would cause
// a busy loop without a backoff.
constexpr Duration kRapidFailureLifetime = milliseconds(1000);
// The upper bound of the pause after the first failure of a pushed call, which spreads out dispatchers that
// lost their watch at the same moment. It is short, as these calls cost nothing.
constexpr Duration kReconnectJitter = milliseconds(5);

}  // namespace

PollSchedule::Time PollSchedule::Call::deadline() const {
  return last_activity + (is_answered ? kWatchTimeout : kCallTimeout);
}

bool PollSchedule::Call::has_object_timed_out(Time now) const {
  return object_started_at && *object_started_at + kObjectTimeout <= now;
}

PollSchedule::PollSchedule(ListDelivery delivery, int dispatcher_count)
    : delivery_(delivery),
      rejection_backoff_(rejection_backoff(dispatcher_count)),
      reset_backoff_(reset_backoff(dispatcher_count)),
      silence_backoff_(silence_backoff(dispatcher_count)),
      rapid_failure_backoff_(rapid_failure_backoff()) {}

PollSchedule::Actions PollSchedule::restart(Time now) {
  Actions actions;
  is_started_ = true;
  close_all(actions);
  not_before_ = now;
  open(now, actions);
  return actions;
}

PollSchedule::Actions PollSchedule::restart_at_new_address(Time now) {
  rejection_backoff_.on_success();
  rapid_failure_backoff_.on_success();
  return restart(now);
}

PollSchedule::Actions PollSchedule::on_timer(Time now, double jitter) {
  for (const Call& call : calls_) {
    if (call.has_object_timed_out(now)) return on_unreadable(call.id, now, jitter);
  }
  Actions actions;
  if (delivery_ == ListDelivery::kPoll && !calls_.empty() && calls_.front().deadline() <= now) {
    actions.has_timed_out = true;
    close_all(actions);
    pause(silence_backoff_.on_failure(jitter), now);
  }
  if (!is_started_ || now < next_open_time()) return actions;
  actions.has_timed_out = actions.has_timed_out || !calls_.empty();
  open(now, actions);
  return actions;
}

PollSchedule::Actions PollSchedule::on_rejected(CallId id, Time now, double jitter) {
  Actions actions;
  if (close(id, actions)) pause(rejection_backoff_.on_failure(jitter), now);
  return actions;
}

PollSchedule::Actions PollSchedule::on_failed(CallId id, Time now, double jitter) {
  Actions actions;
  const Call* call = find(id);
  if (call == nullptr) return actions;
  pause(pause_after_failure(*call, now, jitter), now);
  close(id, actions);
  return actions;
}

PollSchedule::Actions PollSchedule::on_unreadable(CallId id, Time now, double jitter) {
  Actions actions;
  const Call* call = find(id);
  if (call == nullptr) return actions;
  actions.needs_complete_list = true;
  const bool is_pushed = delivery_ == ListDelivery::kPush;
  pause(is_pushed ? pause_after_failure(*call, now, jitter) : silence_backoff_.on_failure(jitter), now);
  close_all(actions);
  return actions;
}

PollSchedule::Actions PollSchedule::on_answered(CallId id, Time now) {
  Actions actions;
  Call* call = find(id);
  if (call == nullptr) return actions;
  call->last_activity = now;
  // A watch that resumes after a silence may have missed a change, so a second call stays open.
  if (std::exchange(call->is_answered, true)) return actions;
  rejection_backoff_.on_success();
  const std::vector<Call> all_calls = calls_;
  for (const Call& other : all_calls) {
    if (other.id != id) close(other.id, actions);
  }
  return actions;
}

void PollSchedule::on_data_received(CallId id, Time now, std::optional<Time> object_started_at) {
  Call* call = find(id);
  if (call == nullptr) return;
  call->last_activity = now;
  call->object_started_at = object_started_at;
}

std::optional<PollSchedule::Time> PollSchedule::next_deadline() const {
  if (!is_started_) return std::nullopt;
  Time deadline = next_open_time();
  if (delivery_ == ListDelivery::kPoll && !calls_.empty()) deadline = calls_.front().deadline();
  for (const Call& call : calls_) {
    if (call.object_started_at) deadline = std::min(deadline, *call.object_started_at + kObjectTimeout);
  }
  return deadline;
}

PollSchedule::Call* PollSchedule::find(CallId id) {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [&](const Call& call) { return call.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}

bool PollSchedule::close(CallId id, Actions& actions) {
  const bool is_open = std::erase_if(calls_, [&](const Call& call) { return call.id == id; }) > 0;
  if (is_open) actions.close.push_back(id);
  return is_open;
}

void PollSchedule::close_all(Actions& actions) {
  for (const Call& call : calls_) actions.close.push_back(call.id);
  calls_.clear();
}

void PollSchedule::close_longest_idle(Actions& actions) {
  const auto longest_idle = std::min_element(
      calls_.begin(), calls_.end(),
      [](const Call& left, const Call& right) { return left.last_activity < right.last_activity; });
  close(longest_idle->id, actions);
}

void PollSchedule::open(Time now, Actions& actions) {
  if (calls_.size() >= kMaxCalls) close_longest_idle(actions);
  ++last_id_;
  if (last_id_ == kNoCall) ++last_id_;
  actions.open = last_id_;
  calls_.push_back({last_id_, now, now, false, std::nullopt});
}

void PollSchedule::pause(Duration pause, Time now) { not_before_ = std::max(not_before_, now + pause); }

Duration PollSchedule::pause_after_failure(const Call& call, Time now, double jitter) {
  if (delivery_ == ListDelivery::kPoll) return reset_backoff_.on_failure(jitter);
  if (now - call.opened_at >= kRapidFailureLifetime) rapid_failure_backoff_.on_success();
  const bool is_first_failure = rapid_failure_backoff_.failures() == 0;
  const Duration pause = rapid_failure_backoff_.on_failure(jitter);
  if (!is_first_failure) return pause;
  return std::chrono::duration_cast<Duration>(kReconnectJitter * std::clamp(jitter, 0.0, 1.0));
}

PollSchedule::Time PollSchedule::next_open_time() const {
  Time at = not_before_;
  for (const Call& call : calls_) at = std::max(at, call.deadline());
  return at;
}

}  // namespace dispatcher::service_discovery
