// Settings and endpoint lists made from drawn numbers, from ranges wider than any deployment's. Knows no
// source of the numbers: the property tests draw them with RapidCheck, the digest tests with a generator of
// their own.
#ifndef DISPATCHER_TESTS_SETTINGS_DRAW_HPP_
#define DISPATCHER_TESTS_SETTINGS_DRAW_HPP_

#include <cstddef>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// Which valid but absurd settings may be drawn, too.
struct Range {
  bool short_pins = false;        // reservation limits that are shorter than a check of what waits
  bool slack_under_tick = false;  // answer slacks within which an attempt's timeout is noticed too late
  bool extreme = false;           // times at the bounds of the check, or beyond all use
};

// Numbers from which settings are made: each of 0 to 999, where 0 is the plainest. Shrinking lowers them.
struct Genes {
  std::vector<int> values;
  Range range;
};

// Genes of one site.
constexpr std::size_t kGenes = 200;

// A deployment: its settings, and those of a later reload, if any; and its endpoints.
struct Site {
  std::vector<Settings> settings;
  std::vector<EndpointInfo> endpoints;
};

// The same genes give the same site.
[[nodiscard]] Site draw(const Genes& genes);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_SETTINGS_DRAW_HPP_
