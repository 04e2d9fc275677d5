// Estimates how long to wait for a new connection: the retransmission timer of RFC 6298 (smoothed time, mean
// deviation, exponential backoff), applied to connection establishment. No I/O.
#ifndef DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_
#define DISPATCHER_UPSTREAM_CONNECT_TIMEOUT_ESTIMATOR_HPP_

#include "upstream/options.hpp"

namespace dispatcher::upstream {

// Estimates one connect timeout from the connections to all endpoints. A single timeout is evidence of its
// own endpoint only, so the estimate doubles only after several in a row; it stays doubled until a connection
// has been established. Not thread-safe; owned by ConnectionPool.
class ConnectTimeoutEstimator {
 public:
  // The timeout is never shorter than `minimum`, because a busy machine accepts connections late, and never
  // longer than `maximum`, which is also the timeout before any connection was established. If minimum >
  // maximum, `maximum` is used for both.
  ConnectTimeoutEstimator(Duration minimum, Duration maximum);
  // Replaces the bounds and keeps the estimate.
  void set_bounds(Duration minimum, Duration maximum);

  // Returns how long to wait for a new connection.
  [[nodiscard]] Duration timeout() const;
  // Called when a connection was established after `elapsed`; a negative time counts as zero.
  void on_connected(Duration elapsed);
  // Called when a connection was not established in time.
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
