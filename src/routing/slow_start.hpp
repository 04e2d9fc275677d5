// Slow start of a host that has just started, by many processes that share nothing but the settings. Pure;
// the choice and its arithmetic stand in docs/design/slow-start.md.
#ifndef DISPATCHER_ROUTING_SLOW_START_HPP_
#define DISPATCHER_ROUTING_SLOW_START_HPP_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "routing/settings.hpp"

namespace dispatcher::routing::slow_start {

constexpr double kBudget = 0.6, kDraw = 0.36;  // of N
constexpr double kFarDraw = 0.25;  // of a cold writer's draws, by requests that were read in any cell

// The part of a warm host's capacity that one has at this age.
inline double warmth(const Settings& s, Duration age) {
  return age < s.warmup_time
             ? std::lerp(s.warmup_initial_share, 1.0, double(age.count()) / double(s.warmup_time.count()))
             : 1;
}

// Requests that this process may send it in a window; `warm_rate`: a second, what a warm host does for it.
inline double budget(const Settings& s, double warmth, double warm_rate) {
  return kBudget * s.overload_multiple * warmth * std::chrono::duration<double>(s.overload_window).count() *
         warm_rate;
}

// The part of all requests that a host is open to, among so many.
inline double draw(const Settings& s, double warmth, double endpoints) {
  return std::min(1.0, kDraw * s.overload_multiple * warmth) / std::max(1.0, endpoints);
}

// By how much that changes for a request read in the host's own cell, which does this part of all reads, or
// in another one: the sum over all requests stays the same, so that a cell with few writers, or requests from
// elsewhere in a jam, bring no more.
inline double draw_by_cell(bool own, double part_of_reads) {
  return part_of_reads <= 0 ? 1 : kFarDraw + (own ? (1 - kFarDraw) / part_of_reads : 0);
}

}  // namespace dispatcher::routing::slow_start

#endif  // DISPATCHER_ROUTING_SLOW_START_HPP_
