// Role balance: compares the time to the first token at mixed endpoints with that at reader-writer pairs.
#ifndef DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
#define DISPATCHER_ROUTING_ROLE_BALANCE_HPP_

#include <algorithm>

#include "routing/request_state.hpp"

namespace dispatcher::routing {

// Corrects the comparison of loads. Loads are compared with the mean of their own role only, which hides that
// a whole role is late. Owned by one Router and used on its thread.
class RoleBalance {
 public:
  // Records that a first token arrived after this multiple of its latency objective.
  void record_start(const RequestState& state, double objective_ratio) {
    double& average = state.read_time > Duration(0) ? paired_ratio_ : mixed_ratio_;
    average += (average > 0 ? kGain : 1) * (objective_ratio - average);
  }

  // Returns how many times longer first tokens take at mixed endpoints than at pairs. Returns 1 until there
  // are samples of both.
  [[nodiscard]] double mixed_over_paired() const {
    if (mixed_ratio_ <= 0 || paired_ratio_ <= 0) return 1;
    return std::clamp(mixed_ratio_ / paired_ratio_, 1 / kMaxRatio, kMaxRatio);
  }

 private:
  static constexpr double kGain = 0.1;    // weight of a sample; low, as requests vary much in length
  static constexpr double kMaxRatio = 4;  // bounds the ratio: both sides must get requests to be measured

  double paired_ratio_ = 0, mixed_ratio_ = 0;  // moving averages of objective ratios; 0 without samples
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROLE_BALANCE_HPP_
