#include "service_discovery/poll_schedule.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::service_discovery {

using std::chrono::milliseconds;

namespace {
constexpr std::size_t kMaxCalls = 2;
// A call that lived for less has failed at once; several of these in a row would spin.
constexpr service_discovery::Duration kShortLife = milliseconds(1000);
// What dispatchers that lost their watch in one moment part by where calls cost nothing.
constexpr service_discovery::Duration kJitter = milliseconds(5);
}  // namespace

PollSchedule::PollSchedule(Lists lists, int fleet)
    : lists_(lists),
      refusals_(service_discovery::list_calls(fleet)),
      resets_(service_discovery::after_reset(fleet)),
      silences_(service_discovery::after_silence(fleet)),
      spinning_(service_discovery::against_spinning()) {}

PollSchedule::Orders PollSchedule::restart(Time now) {
  Orders orders;
  started_ = true;
  close_all(orders);
  not_before_ = now;
  open(now, orders);
  return orders;
}

PollSchedule::Orders PollSchedule::move(Time now) {
  refusals_.succeeded();
  spinning_.succeeded();
  return restart(now);
}

PollSchedule::Orders PollSchedule::tick(Time now, double draw) {
  Orders orders;
  for (const Call& call : calls_) {
    if (call.object_since && *call.object_since + service_discovery::kObject <= now)
      return unreadable(call.id, now, draw);
  }
  if (lists_ == Lists::kAskedFor && !calls_.empty() && calls_.front().limit() <= now) {
    orders.silent = true;
    close_all(orders);
    rest(silences_.failed(draw), now);
  }
  if (!started_ || now < open_at()) return orders;
  orders.silent = orders.silent || !calls_.empty();
  open(now, orders);
  return orders;
}

PollSchedule::Orders PollSchedule::rejected(CallId id, Time now, double draw) {
  Orders orders;
  if (drop(id, orders)) rest(refusals_.failed(draw), now);
  return orders;
}

PollSchedule::Orders PollSchedule::failed(CallId id, Time now, double draw) {
  Orders orders;
  const Call* call = find(id);
  if (call == nullptr) return orders;
  rest(pause_after_failure(*call, now, draw), now);
  drop(id, orders);
  return orders;
}

PollSchedule::Orders PollSchedule::unreadable(CallId id, Time now, double draw) {
  Orders orders;
  const Call* call = find(id);
  if (call == nullptr) return orders;
  orders.unreadable = true;
  rest(lists_ == Lists::kPushed ? pause_after_failure(*call, now, draw) : silences_.failed(draw), now);
  close_all(orders);
  return orders;
}

PollSchedule::Orders PollSchedule::answered(CallId id, Time now) {
  Orders orders;
  Call* call = find(id);
  if (call == nullptr) return orders;
  call->last = now;
  // A watch that was silent and speaks again may have missed something: the call that joined it stays.
  if (std::exchange(call->answered, true)) return orders;
  refusals_.succeeded();
  const std::vector<Call> all = calls_;
  for (const Call& other : all) {
    if (other.id != id) drop(other.id, orders);
  }
  return orders;
}

void PollSchedule::heard(CallId id, Time now, std::optional<Time> object_since) {
  Call* call = find(id);
  if (call == nullptr) return;
  call->last = now;
  call->object_since = object_since;
}

std::optional<PollSchedule::Time> PollSchedule::next() const {
  if (!started_) return std::nullopt;
  Time next = open_at();
  if (lists_ == Lists::kAskedFor && !calls_.empty()) next = calls_.front().limit();
  for (const Call& call : calls_) {
    if (call.object_since) next = std::min(next, *call.object_since + service_discovery::kObject);
  }
  return next;
}

PollSchedule::Call* PollSchedule::find(CallId id) {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [&](const Call& c) { return c.id == id; });
  return it == calls_.end() ? nullptr : &*it;
}

bool PollSchedule::drop(CallId id, Orders& orders) {
  const bool known = std::erase_if(calls_, [&](const Call& c) { return c.id == id; }) > 0;
  if (known) orders.close.push_back(id);
  return known;
}

void PollSchedule::close_all(Orders& orders) {
  for (const Call& call : calls_) orders.close.push_back(call.id);
  calls_.clear();
}

void PollSchedule::open(Time now, Orders& orders) {
  if (calls_.size() >= kMaxCalls) {  // the one that has said nothing for longest goes
    const auto oldest = std::min_element(calls_.begin(), calls_.end(),
                                         [](const Call& a, const Call& b) { return a.last < b.last; });
    drop(oldest->id, orders);
  }
  if (++newest_ == 0) ++newest_;
  orders.open = newest_;
  calls_.push_back({newest_, now, now, false, std::nullopt});
}

service_discovery::Duration PollSchedule::pause_after_failure(const Call& call, Time now, double draw) {
  if (lists_ == Lists::kAskedFor) return resets_.failed(draw);
  if (now - call.opened >= kShortLife) spinning_.succeeded();
  const bool first = spinning_.failures() == 0;
  const service_discovery::Duration pause = spinning_.failed(draw);
  return first ? std::chrono::duration_cast<service_discovery::Duration>(kJitter * std::clamp(draw, 0.0, 1.0))
               : pause;
}

PollSchedule::Time PollSchedule::open_at() const {
  Time at = not_before_;
  for (const Call& call : calls_) at = std::max(at, call.limit());
  return at;
}

}  // namespace dispatcher::service_discovery
