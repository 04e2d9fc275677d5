// Balance between mixed endpoints and pairs of reader and writer: what first tokens take at either.
#ifndef DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
#define DISPATCHER_ROUTING_ROLE_BALANCE_HPP_

#include <algorithm>

#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Loads are compared within a role only, which hides that a whole role is late. Owned by one Router and used
// on its thread.
class RoleBalance {
 public:
  // A first token came, after this multiple of its objective.
  void record_start(const RequestState& state, double objective_ratio) {
    double& average = state.read_time > Duration(0) ? paired_ratio_ : mixed_ratio_;
    average += (average > 0 ? kGain : 1) * (objective_ratio - average);
  }

  // How many times longer first tokens take at mixed endpoints; 1 while there are not both.
  [[nodiscard]] double mixed_over_paired() const {
    if (mixed_ratio_ <= 0 || paired_ratio_ <= 0) return 1;
    return std::clamp(mixed_ratio_ / paired_ratio_, 1 / kMaxRatio, kMaxRatio);
  }

 private:
  static constexpr double kGain = 0.1;    // of the moving averages: one request's length varies much
  static constexpr double kMaxRatio = 4;  // a role must not lose all its requests: it would not be measured

  double paired_ratio_ = 0, mixed_ratio_ = 0;  // moving averages; 0: none yet
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
