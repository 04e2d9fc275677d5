#include "upstream/reservation_releaser.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dispatcher::upstream {

namespace {

// A network partition may last for many seconds; a release that reached no replica for longer is abandoned.
constexpr Duration kGiveUpAfter = std::chrono::seconds(30);
// A graceful shutdown waits this long for a replica that can be reached.
constexpr Duration kMaxShutdownWait = std::chrono::seconds(3);
// Calls under way at once for one request: older ones hardly succeed any more.
constexpr std::size_t kMaxCallsPerRelease = 12;

}  // namespace

ReservationReleaser::ReservationReleaser(ReleaseTransport& transport, engine::TimerQueue& timers,
                                         engine::Clock clock, engine::Log log, const Limits& limits)
    : transport_(transport),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      limits_(limits) {}

ReleaseTargets ReservationReleaser::new_targets(Time now) const {
  return {now, kGiveUpAfter, limits_.round_interval};
}

void ReservationReleaser::release(const RequestId& request_id, Time until) {
  const auto [entry, is_new] =
      releases_.try_emplace(request_id, Release{new_targets(clock_()), {}, until, false, {}});
  Release& release = entry->second;
  release.until = std::max(release.until, until);
  if (is_new) return start_round(request_id);
  if (release.is_awaiting_repeat) restart(request_id, release);
}

void ReservationReleaser::restart(const RequestId& request_id, Release& release) {
  release.is_awaiting_repeat = false;
  release.targets = new_targets(clock_());
  start_round(request_id);
}

void ReservationReleaser::cancel(const RequestId& request_id) {
  const auto release = releases_.extract(request_id);
  if (release.empty()) return;
  timers_.drop(release.mapped().timer);
  close_calls(release.mapped(), 0);
}

void ReservationReleaser::close_calls(Release& release, std::size_t remaining) {
  while (release.calls.size() > remaining) {
    transport_.close_release_call(release.calls.front());
    release.calls.pop_front();
    --call_count_;
  }
}

// One round of calls, and the next one if none of them is answered soon.
void ReservationReleaser::start_round(const RequestId& request_id) {
  Release& release = releases_.at(request_id);
  timers_.drop(release.timer);
  const Time now = clock_();
  if (release.targets.has_expired(now)) {
    const std::string calls = std::to_string(release.targets.call_count());
    log_("release of " + request_id.value() + " reached no replica in " + calls + " calls");
    return cancel(request_id);
  }
  start_calls(request_id, release, release.targets.next_round(now, transport_.release_candidates()));
  release.timer =
      timers_.add(now + release.targets.next_interval(), [this, request_id] { start_round(request_id); });
}

void ReservationReleaser::start_calls(const RequestId& request_id, Release& release,
                                      const std::vector<EndpointId>& targets) {
  close_calls(release, kMaxCallsPerRelease - std::min(kMaxCallsPerRelease, targets.size()));
  for (const EndpointId& endpoint : targets) {
    if (call_count_ >= limits_.max_calls) {
      if (release.calls.empty()) break;  // the limit is used up by other releases, whose calls will end
      close_calls(release, release.calls.size() - 1);
    }
    const SlotId call = transport_.start_release_call(endpoint, request_id);
    if (!call) continue;
    release.calls.push_back(call);
    ++call_count_;
  }
}

void ReservationReleaser::on_call_failed(const RequestId& request_id, SlotId call) {
  const auto it = releases_.find(request_id);
  if (it == releases_.end()) return;
  Release& release = it->second;
  if (std::erase(release.calls, call) == 0) return;
  --call_count_;
  // Where all replicas refuse the connection at once, the next round starts on schedule.
  const auto calls_made = static_cast<std::size_t>(release.targets.call_count());
  if (release.calls.empty() && calls_made < transport_.release_candidates().size()) start_round(request_id);
}

ReservationReleaser::Progress ReservationReleaser::on_call_answered(const RequestId& request_id,
                                                                    SlotId call) {
  const auto it = releases_.find(request_id);
  if (it == releases_.end()) return {};
  Release& release = it->second;
  call_count_ -= std::erase(release.calls, call);  // its connection stays with the pool
  const Time now = clock_();
  const Time started = release.targets.started();
  const Progress progress{release.targets.call_count(), now - started};
  if (progress.calls > 1) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(progress.elapsed);
    log_("release of " + request_id.value() + " took " + std::to_string(progress.calls) + " calls, " +
         std::to_string(elapsed.count()) + " ms");
  }
  if (started >= release.until) {
    cancel(request_id);
  } else {
    schedule_repeat(request_id, release, now);
  }
  return progress;
}

// The last repetition comes once nothing can leave a reservation any more.
void ReservationReleaser::schedule_repeat(const RequestId& request_id, Release& release, Time now) {
  timers_.drop(release.timer);
  close_calls(release, 0);
  release.is_awaiting_repeat = true;
  const Time last_repeat = std::max(now + limits_.round_interval, release.until);
  release.timer = timers_.add(std::min(now + limits_.repeat_interval, last_repeat),
                              [this, request_id] { restart(request_id, releases_.at(request_id)); });
}

std::size_t ReservationReleaser::blocking_shutdown() const {
  const Time now = clock_();
  const auto is_blocking = [&](const auto& entry) {
    const Release& release = entry.second;
    const Time wait_until = std::max(release.until, release.targets.started() + kMaxShutdownWait);
    return release.is_awaiting_repeat || now < wait_until;
  };
  return static_cast<std::size_t>(std::count_if(releases_.begin(), releases_.end(), is_blocking));
}

}  // namespace dispatcher::upstream
