#include "upstream/reservation_releaser.hpp"

#include <algorithm>
#include <chrono>

namespace dispatcher::upstream {

namespace {

constexpr Duration kGiveUp = std::chrono::seconds(30);
// A process told to end waits for so long for a replica that can be reached.
constexpr Duration kPressing = std::chrono::seconds(3);
constexpr std::size_t kMaxCalls = 12;  // out at once for one request: what is older hardly comes through

}  // namespace

void ReservationReleaser::release(const std::string& id, Time until) {
  const auto [entry, anew] =
      leases_.try_emplace(id, Lease{{clock_(), kGiveUp, bounds_.patience}, {}, until, false, {}});
  Lease& lease = entry->second;
  lease.until = std::max(lease.until, until);
  if (anew) return ask(id);
  if (lease.rests) begin(id, lease);
}

void ReservationReleaser::begin(const std::string& id, Lease& lease) {
  lease.rests = false;
  lease.plan = upstream::ReleaseTargets(clock_(), kGiveUp, bounds_.patience);
  ask(id);
}

void ReservationReleaser::stop(const std::string& id) {
  const auto lease = leases_.extract(id);
  if (lease.empty()) return;
  timers_.drop(lease.mapped().next);
  hang_up(lease.mapped(), 0);
}

void ReservationReleaser::hang_up(Lease& lease, std::size_t left) {
  while (lease.lines.size() > left) {
    lines_.drop(lease.lines.front());
    lease.lines.pop_front();
    --calls_;
  }
}

// One round of calls, and the next where none of them is answered soon.
void ReservationReleaser::ask(const std::string& id) {
  Lease& lease = leases_.at(id);
  timers_.drop(lease.next);
  const Time now = clock_();
  if (lease.plan.over(now)) {
    log_("release of " + id + " reached no replica in " + std::to_string(lease.plan.asked()) + " calls");
    return stop(id);
  }
  const std::vector<std::string> round = lease.plan.round(now, lines_.listeners());
  hang_up(lease, kMaxCalls - std::min(kMaxCalls, round.size()));
  for (const std::string& endpoint : round) {
    if (calls_ >= bounds_.max_calls) {
      if (lease.lines.empty()) break;  // the calls of others: they end
      hang_up(lease, lease.lines.size() - 1);
    }
    const SlotId line = lines_.call_release(endpoint, id);
    if (!line) continue;
    lease.lines.push_back(line);
    ++calls_;
  }
  lease.next = timers_.add(now + lease.plan.pause(), [this, id] { ask(id); });
}

void ReservationReleaser::failed(const std::string& id, SlotId line) {
  const auto it = leases_.find(id);
  if (it == leases_.end() || std::erase(it->second.lines, line) == 0) return;
  --calls_;
  // Where all refuse at once, the next round waits for its time.
  const std::size_t asked = static_cast<std::size_t>(it->second.plan.asked());
  if (it->second.lines.empty() && asked < lines_.listeners().size()) ask(id);
}

void ReservationReleaser::answered(const std::string& id, SlotId line) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return;
  Lease& lease = it->second;
  calls_ -= std::erase(lease.lines, line);  // its connection is kept
  const Time now = clock_(), begun = lease.plan.begun();
  if (lease.plan.asked() > 1)
    log_("release of " + id + " took " + std::to_string(lease.plan.asked()) + " calls, " +
         std::to_string((now - begun).count() / 1000) + " ms");
  if (begun >= lease.until) return stop(id);
  timers_.drop(lease.next);
  hang_up(lease, 0);
  lease.rests = true;
  const Time soonest = std::max(now + bounds_.patience, lease.until);  // what is left last goes with the last
  lease.next = timers_.add(std::min(now + bounds_.again, soonest), [this, id] { begin(id, leases_.at(id)); });
}

std::size_t ReservationReleaser::pressing() const {
  const Time now = clock_();
  return static_cast<std::size_t>(std::count_if(leases_.begin(), leases_.end(), [&](const auto& entry) {
    const Lease& lease = entry.second;
    return lease.rests || now < std::max(lease.until, lease.plan.begun() + kPressing);
  }));
}

}  // namespace dispatcher::upstream
