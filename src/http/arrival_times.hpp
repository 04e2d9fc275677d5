// When the bytes that wait in a connection's input arrived.
#ifndef DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_
#define DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "engine/timer_queue.hpp"

namespace dispatcher::http {

using engine::Time;

/// The arrival times of the bytes that a connection has received and nobody has consumed yet: a pipelined
/// request waits behind others, and its time runs from its own first byte. A value without I/O.
class ArrivalTimes {
 public:
  /// To be called where bytes may have arrived, or been consumed, since the last call; not for both at once.
  /// `waiting_bytes`: how many have arrived and not been consumed.
  void update(std::size_t waiting_bytes, Time now);
  /// When the first of the waiting bytes arrived, or up to 10 ms earlier. Nothing: no byte waits.
  [[nodiscard]] std::optional<Time> first() const;

 private:
  // Bytes that arrived together.
  struct Segment {
    std::size_t bytes = 0;
    Time arrival{};
  };
  void append(std::size_t bytes, Time now);
  void consume(std::size_t bytes);

  std::vector<Segment> segments_;  // in the order of arrival
  std::size_t waiting_bytes_ = 0;  // of all segments
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_ARRIVAL_TIMES_HPP_
