// How long a new connection is waited for: the retransmission timer of RFC 6298 (smoothed time, mean
// deviation, doubled by time-outs, kept so until a new connection has come up), on the times that connections
// to all hosts take. One time-out tells of its host alone, so only several in a row double. No I/O.
#ifndef DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_
#define DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_

#include <chrono>

namespace dispatcher::upstream {

using Duration = std::chrono::microseconds;

class ConnectTimeoutEstimator {
 public:
  // Never less than `least`: a host that is busy accepts late. Never more than `most`, which is also the
  // patience before any connection has come up. least <= most is wanted; else `most` holds.
  ConnectTimeoutEstimator(Duration minimum, Duration maximum);
  [[nodiscard]] Duration patience() const;
  void came_up(Duration took);  // negative times count as none
  void timed_out();
  void bound(Duration minimum, Duration maximum);  // other bounds; what was learned stays

 private:
  Duration min_, max_;
  double mean_ = 0, deviation_ = 0;  // microseconds
  bool known_ = false;
  int timeouts_ = 0;  // in a row
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_
