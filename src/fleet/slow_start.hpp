// Slow start of a host that has just started, by many processes that share nothing but the settings. All
// together must send it no more than N + 2 sqrt(N) + 2 requests of mean work in any tip_window, N being
// tip_multiple x its capacity of the moment x tip_window. Pure. A process takes its part in one of two ways:
//
// Budget, where a process has one request or more in a window. It is 0.6 N with what a warm host was seen to
// do for this process in place of what it can do. Over all processes that adds up to no more than it can do,
// so the budgets add up to 0.6 N at most, and to 0.8 N as rounded (1.5 to 2). No burst raises it, no storm of
// full answers (ic21194), nothing that cold hosts served. A process that restarts forgets its sends, but its
// budget grows from nothing over the first window, while the sends that it forgot leave it.
//
// Draws, where it has less: "just one" each of 150 processes broke the rule (ia523c0), and turns dealt to
// processes went unused by their few requests. Each request draws the cold hosts that are open to it, as many
// as give each host 0.36 N over N's load: at a load L of the fleet (1: all that it can do) the sum is a
// Poisson number of mean 0.36 L N, whatever the shares of traffic, and no restart matters. The chance of
// passing the bound in a window is greatest at N = 1.5 to 2: 3e-6 at L = 0.5, 2e-5 at 1, 1e-3 in a burst to L
// = 2 (0.8 times 2.5). With exponential lengths it is 0.1 to 0.5% below N = 5 at L = 1 (one long request is
// over the bound by itself) and under 0.1% above.
#ifndef BITTERNFERRY_FLEET_SLOW_START_HPP_
#define BITTERNFERRY_FLEET_SLOW_START_HPP_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "basaltvane/router.hpp"

namespace basaltvane::slow_start {

constexpr double kBudget = 0.6, kDraw = 0.36;  // of N
constexpr double kFarDraw = 0.25;  // of a cold writer's draws, by requests that were read in any cell

// The part of a warm host's capacity that one has at this age.
inline double warmth(const Settings& s, Duration age) {
  return age < s.cold_time ? std::lerp(s.cold_share, 1.0, double(age.count()) / double(s.cold_time.count()))
                           : 1;
}

// Requests that this process may send it in a window; `warm_rate`: a second, what a warm host does for it.
inline double budget(const Settings& s, double warmth, double warm_rate) {
  return kBudget * s.tip_multiple * warmth * std::chrono::duration<double>(s.tip_window).count() * warm_rate;
}

// The part of all requests that a host is open to, among so many.
inline double draw(const Settings& s, double warmth, double hosts) {
  return std::min(1.0, kDraw * s.tip_multiple * warmth) / std::max(1.0, hosts);
}

// By how much that changes for a request read in the host's own cell, which does this part of all reads, or
// in another one: the sum over all requests stays the same, so that a cell with few writers, or requests from
// elsewhere in a jam, bring no more.
inline double draw_by_cell(bool own, double part_of_reads) {
  return part_of_reads <= 0 ? 1 : kFarDraw + (own ? (1 - kFarDraw) / part_of_reads : 0);
}

}  // namespace basaltvane::slow_start

#endif  // BITTERNFERRY_FLEET_SLOW_START_HPP_
