// Settings and lists of hosts made from drawn numbers, from ranges wider than any site's. Knows no source of
// the numbers: the property tests draw them with RapidCheck, the digest tests with a generator of their own.
#ifndef DISPATCHER_TESTS_SETTINGS_DRAW_HPP_
#define DISPATCHER_TESTS_SETTINGS_DRAW_HPP_

#include <cstddef>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// What a property asks of the settings, beside what the check refuses.
struct Range {
  bool short_pins = false;        // shorter than shortest_pin
  bool slack_under_tick = false;  // an attempt's time-out at the deadline is heard up to a tick later
  bool extreme = false;           // times at an end of what is taken, or beyond all use
};

// Numbers from which settings are made: each of 0 to 999, where 0 is the plainest. Shrinking lowers them.
struct Genes {
  std::vector<int> values;
  Range range;
};

constexpr std::size_t kGenes = 200;

struct Site {
  std::vector<Settings> settings;
  std::vector<EndpointInfo> endpoints;
};

Site draw(const Genes& genes);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_SETTINGS_DRAW_HPP_
