#include "degradation/sliding_window.hpp"

#include <utility>

namespace dispatcher::degradation {

namespace {

std::int64_t second_of(Time now) { return std::chrono::duration_cast<std::chrono::seconds>(now).count(); }

}  // namespace

void WindowedRatio::record(Event event, Time now) {
  const std::int64_t second = second_of(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(second % kBuckets)];
  if (bucket.second != second) bucket = {second, {}};
  if (event == Event::kMatching) ++bucket.counts.matching;
  ++bucket.counts.total;
}

WindowedRatio::Counts WindowedRatio::sum(Time now) const {
  const std::int64_t second = second_of(now);
  Counts sum;
  for (const Bucket& bucket : buckets_) {
    const bool in_window = bucket.second > second - kBuckets && bucket.second <= second;
    if (!in_window) continue;
    sum.matching += bucket.counts.matching;
    sum.total += bucket.counts.total;
  }
  return sum;
}

double WindowedRatio::events_per_second(Time now) const {
  return static_cast<double>(sum(now).total) / static_cast<double>(kBuckets);
}

std::optional<double> WindowedRatio::ratio(std::size_t min_events, Time now) const {
  const Counts counts = sum(now);
  if (counts.total < min_events) return std::nullopt;
  return static_cast<double>(counts.matching) / static_cast<double>(counts.total);
}

void RecentMaximum::observe(std::size_t value, Time now) {
  if (!period_start_) period_start_ = now;
  if (now - *period_start_ >= kPeriod) {
    previous_ = std::exchange(current_, 0);
    period_start_ = now;
  }
  current_ = std::max(current_, value);
}

}  // namespace dispatcher::degradation
