// Statistics over a sliding time window, in a fixed amount of memory. No I/O; the clock is passed in.
#ifndef DISPATCHER_DEGRADATION_SLIDING_WINDOW_HPP_
#define DISPATCHER_DEGRADATION_SLIDING_WINDOW_HPP_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "routing/router.hpp"

namespace dispatcher::degradation {

using routing::Duration;
using routing::Time;

// Computes the fraction of recent events that match, from buckets of one second each. Not synchronized; used
// on its owner's event loop only.
class WindowedRatio {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  // Whether an event counts in the numerator of the ratio.
  enum class Event { kMatching, kOther };

  // Counts one event at `now`, which must not be before the `now` of an earlier call.
  void record(Event event, Time now);

  // Returns the number of all events in the window, per second.
  [[nodiscard]] double events_per_second(Time now) const;

  // Returns the matching events divided by all events, or nullopt if the window holds fewer than
  // `min_events`.
  [[nodiscard]] std::optional<double> ratio(std::size_t min_events, Time now) const;

 private:
  static constexpr std::int64_t kBuckets = std::chrono::duration_cast<std::chrono::seconds>(kWindow).count();
  struct Counts {
    std::size_t matching = 0, total = 0;
  };
  struct Bucket {
    std::int64_t second = -1;
    Counts counts;
  };
  [[nodiscard]] Counts sum(Time now) const;

  std::array<Bucket, kBuckets> buckets_{};
};

// Computes the greatest value observed in the current and the previous period, that is, in the last 15 to 30
// minutes. Not synchronized.
class RecentMaximum {
 public:
  // Records a value at `now`, which must not be before the `now` of an earlier call.
  void observe(std::size_t value, Time now);
  // Returns the greatest recent value, or 0 before the first observation.
  [[nodiscard]] std::size_t maximum() const { return std::max(current_, previous_); }

 private:
  // Long enough to outlast a rolling restart, and short enough that a smaller fleet soon counts as complete.
  static constexpr Duration kPeriod = std::chrono::minutes(15);

  std::size_t current_ = 0, previous_ = 0;
  std::optional<Time> period_start_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_SLIDING_WINDOW_HPP_
