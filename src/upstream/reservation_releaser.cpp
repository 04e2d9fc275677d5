#include "upstream/reservation_releaser.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dispatcher::upstream {

namespace {

// A release that has reached no endpoint for this long is abandoned. A network partition may last for many
// seconds.
constexpr Duration kGiveUpAfter = std::chrono::seconds(30);
// How long a graceful shutdown waits for a release to reach an endpoint.
constexpr Duration kMaxShutdownWait = std::chrono::seconds(3);
// The maximum of active calls for one request. Further calls replace older ones, which rarely succeed any
// more.
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

void ReservationReleaser::release(const RequestId& request_id, const engine::LateReads& late_reads) {
  const Time now = clock_();
  const auto [entry, is_new] =
      releases_.try_emplace(request_id, Release{new_targets(now), {}, late_reads, {}, false, {}});
  if (is_new) return start_round(request_id);
  Release& release = entry->second;
  release.late_reads = late_reads;
  release.repeat_until = now;
  if (release.is_awaiting_repeat) restart(request_id, release);
}

Time ReservationReleaser::repeated_until(const Release& release) {
  const Time earliest_end = std::max(release.repeat_until, release.late_reads.until);
  if (release.late_reads.silent_reader.empty()) return earliest_end;
  return std::max(earliest_end, release.late_reads.silent_until);
}

// No longer treats the reader as silent if it answers the first round at once: its link works, and it has
// noticed that its attempt was ended before. One more release covers the moment at which it noticed.
void ReservationReleaser::clear_reachable_reader(Release& release, const EndpointId& endpoint) {
  const Time now = clock_();
  const bool is_early_answer = now - release.targets.started() <= limits_.round_interval;
  if (endpoint != release.late_reads.silent_reader || !is_early_answer) return;
  release.late_reads.silent_reader = {};
  release.repeat_until = std::max(release.repeat_until, now + limits_.repeat_interval);
}

void ReservationReleaser::restart(const RequestId& request_id, Release& release) {
  release.is_awaiting_repeat = false;
  close_calls(release, 0);
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

// Makes one round of calls, and schedules the next one in case none of them is answered soon.
void ReservationReleaser::start_round(const RequestId& request_id) {
  Release& release = releases_.at(request_id);
  timers_.drop(release.timer);
  const Time now = clock_();
  if (release.targets.has_expired(now)) {
    const std::string calls = std::to_string(release.targets.call_count());
    log_("release of " + request_id.value() + " reached no endpoint in " + calls + " calls");
    return cancel(request_id);
  }
  start_calls(request_id, release, choose_targets(release, now));
  release.timer =
      timers_.add(now + release.targets.next_interval(), [this, request_id] { start_round(request_id); });
}

std::vector<EndpointId> ReservationReleaser::choose_targets(Release& release, Time now) {
  const std::size_t available = available_calls(release);
  std::vector<EndpointId> targets =
      release.targets.next_round(now, transport_.release_candidates(), available);
  const EndpointId& silent_reader = release.late_reads.silent_reader;
  const bool is_missing = std::find(targets.begin(), targets.end(), silent_reader) == targets.end();
  if (!silent_reader.empty() && is_missing && targets.size() < available) targets.push_back(silent_reader);
  return targets;
}

// Calls that hang at endpoints without answers must not keep other releases from calling the ones that
// answer.
std::size_t ReservationReleaser::available_calls(const Release& release) {
  const Time now = clock_();
  if (call_count_ >= limits_.max_calls && release.calls.empty())
    close_oldest_call(now - limits_.round_interval);
  const std::size_t unused = limits_.max_calls - std::min(limits_.max_calls, call_count_);
  return std::min(kMaxCallsPerRelease, unused + release.calls.size());
}

void ReservationReleaser::close_oldest_call(Time started_before) {
  while (!started_calls_.empty() && !is_active(started_calls_.front())) started_calls_.pop_front();
  if (started_calls_.empty() || started_calls_.front().started > started_before) return;
  const StartedCall oldest = started_calls_.front();
  started_calls_.pop_front();
  std::erase(releases_.at(oldest.request_id).calls, oldest.call);
  --call_count_;
  transport_.close_release_call(oldest.call);
}

bool ReservationReleaser::is_active(const StartedCall& started) const {
  const auto it = releases_.find(started.request_id);
  if (it == releases_.end()) return false;
  const std::deque<SlotId>& calls = it->second.calls;
  return std::find(calls.begin(), calls.end(), started.call) != calls.end();
}

// The round's calls replace the release's older calls if the limit leaves no room for both.
void ReservationReleaser::start_calls(const RequestId& request_id, Release& release,
                                      const std::vector<EndpointId>& targets) {
  close_calls(release, kMaxCallsPerRelease - targets.size());
  const std::size_t unused = limits_.max_calls - std::min(limits_.max_calls, call_count_);
  const std::size_t to_replace = targets.size() - std::min(targets.size(), unused);
  close_calls(release, release.calls.size() - std::min(release.calls.size(), to_replace));
  for (const EndpointId& endpoint : targets) {
    const SlotId call = transport_.start_release_call(endpoint, request_id);
    if (!call) continue;
    release.calls.push_back(call);
    started_calls_.push_back({clock_(), request_id, call});
    ++call_count_;
  }
  drop_oldest_started_calls();
}

// Bounds the size of started_calls_, which may contain calls that have ended.
void ReservationReleaser::drop_oldest_started_calls() {
  constexpr std::size_t kOrderFactor = 4;
  while (started_calls_.size() > kOrderFactor * limits_.max_calls) started_calls_.pop_front();
}

void ReservationReleaser::on_call_failed(const RequestId& request_id, SlotId call) {
  const auto it = releases_.find(request_id);
  if (it == releases_.end()) return;
  Release& release = it->second;
  if (std::erase(release.calls, call) == 0) return;
  --call_count_;
  if (release.is_awaiting_repeat) return;  // answered; the next call is made on schedule
  // Starts the next round at once unless all endpoints have been called. If all refuse the connection at
  // once, the next round starts on schedule.
  const auto calls_made = static_cast<std::size_t>(release.targets.call_count());
  if (release.calls.empty() && calls_made < transport_.release_candidates().size()) start_round(request_id);
}

ReservationReleaser::Progress ReservationReleaser::on_call_answered(const RequestId& request_id, SlotId call,
                                                                    const EndpointId& endpoint) {
  const auto it = releases_.find(request_id);
  if (it == releases_.end()) return {};
  Release& release = it->second;
  call_count_ -= std::erase(release.calls, call);  // its connection stays in the pool
  const Time now = clock_();
  const Time started = release.targets.started();
  const Progress progress{release.targets.call_count(), now - started};
  if (progress.calls > 1 && !release.is_awaiting_repeat) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(progress.elapsed);
    log_("release of " + request_id.value() + " took " + std::to_string(progress.calls) + " calls, " +
         std::to_string(elapsed.count()) + " ms");
  }
  clear_reachable_reader(release, endpoint);
  if (started >= repeated_until(release)) {
    cancel(request_id);
  } else {
    schedule_repeat(request_id, release, now);
  }
  return progress;
}

// The last repetition is made once nothing can leave a reservation any more. While a reader is silent, calls
// stay open until the next repetition, because an answer from that reader shows that it can be reached.
void ReservationReleaser::schedule_repeat(const RequestId& request_id, Release& release, Time now) {
  timers_.drop(release.timer);
  if (release.late_reads.silent_reader.empty()) close_calls(release, 0);
  release.is_awaiting_repeat = true;
  const Time last_repeat = std::max(now + limits_.round_interval, repeated_until(release));
  release.timer = timers_.add(std::min(now + limits_.repeat_interval, last_repeat),
                              [this, request_id] { restart(request_id, releases_.at(request_id)); });
}

std::size_t ReservationReleaser::blocking_shutdown() const {
  const Time now = clock_();
  const auto is_blocking = [&](const auto& entry) {
    const Release& release = entry.second;
    const Time wait_until = std::max(repeated_until(release), release.targets.started() + kMaxShutdownWait);
    return release.is_awaiting_repeat || now < wait_until;
  };
  return static_cast<std::size_t>(std::count_if(releases_.begin(), releases_.end(), is_blocking));
}

}  // namespace dispatcher::upstream
