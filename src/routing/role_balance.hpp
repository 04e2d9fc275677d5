// Balance between mixed endpoints and pairs of reader and writer, by the time that first tokens take at
// either.
#ifndef DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
#define DISPATCHER_ROUTING_ROLE_BALANCE_HPP_

#include <algorithm>

#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Corrects the comparison of loads, which is within a role only and hides that a role is late as such. Owned
// by one Router and used on its thread.
class RoleBalance {
 public:
  // A first token arrived, after this multiple of its objective.
  void record_start(const RequestState& state, double objective_ratio) {
    double& average = state.read_time > Duration(0) ? paired_ratio_ : mixed_ratio_;
    average += (average > 0 ? kGain : 1) * (objective_ratio - average);
  }

  // How many times longer first tokens take at mixed endpoints; 1 until there are samples of both.
  [[nodiscard]] double mixed_over_paired() const {
    if (mixed_ratio_ <= 0 || paired_ratio_ <= 0) return 1;
    return std::clamp(mixed_ratio_ / paired_ratio_, 1 / kMaxRatio, kMaxRatio);
  }

 private:
  static constexpr double kGain = 0.1;    // weight of a sample in the averages: requests vary much in length
  static constexpr double kMaxRatio = 4;  // either side must keep some requests in order to be measured

  double paired_ratio_ = 0, mixed_ratio_ = 0;  // moving averages of objective ratios; 0: none yet
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
