// Arrival times of the unconsumed bytes in a connection's input.
#ifndef DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_
#define DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "engine/timer_queue.hpp"

namespace dispatcher::http {

using engine::Time;

/// Records when the received bytes that are not consumed yet arrived. A pipelined request waits in the input
/// behind earlier ones, but its time runs from the arrival of its own first byte. Performs no I/O.
class ArrivalTimes {
 public:
  /// Must be called after bytes may have arrived and after bytes may have been consumed; one call can't cover
  /// both. `waiting_bytes` is the number of bytes that have arrived and are not consumed yet.
  void update(std::size_t waiting_bytes, Time now);
  /// Returns when the first of the waiting bytes arrived, or a time up to 10 ms earlier. Returns nullopt if
  /// no byte is waiting.
  [[nodiscard]] std::optional<Time> first() const;

 private:
  // Bytes that count as having arrived together.
  struct Segment {
    std::size_t bytes = 0;
    Time arrival{};
  };
  void append(std::size_t bytes, Time now);
  void consume(std::size_t bytes);

  std::vector<Segment> segments_;  // in order of arrival
  std::size_t waiting_bytes_ = 0;  // sum over all segments
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_
