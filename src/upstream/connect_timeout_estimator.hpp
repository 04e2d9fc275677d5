// How long to wait for a new connection: the retransmission timer of RFC 6298 (smoothed time, mean deviation,
// exponential backoff), applied to connection establishment. No I/O.
#ifndef DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_
#define DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_

#include "upstream/options.hpp"

namespace dispatcher::upstream {

// Estimates from the connections to all endpoints. One timeout is evidence of its own endpoint only, so the
// estimate doubles only after several in a row, and stays so until a connection has been established. Not
// thread-safe; owned by ConnectionPool.
class ConnectTimeoutEstimator {
 public:
  // The timeout is never shorter than `minimum`, as a busy machine accepts late, and never longer than
  // `maximum`, which is also the timeout before any connection was established. Where minimum > maximum,
  // the maximum holds.
  ConnectTimeoutEstimator(Duration minimum, Duration maximum);
  // Exchanges the bounds; what was learned stays.
  void set_bounds(Duration minimum, Duration maximum);

  [[nodiscard]] Duration timeout() const;
  // A connection was established within `elapsed`; a negative time counts as zero.
  void on_connected(Duration elapsed);
  void on_timeout();

 private:
  Duration min_timeout_;
  Duration max_timeout_;
  double mean_us_ = 0;
  double deviation_us_ = 0;
  bool has_sample_ = false;
  int timeouts_in_a_row_ = 0;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_
