// The settings that all tests with a router have in common; each harness adds its zone, classes and kinds.
#ifndef DISPATCHER_TESTS_BASE_SETTINGS_HPP_
#define DISPATCHER_TESTS_BASE_SETTINGS_HPP_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// A router may cancel attempts and advise a retry time; its times suit virtual clocks and loopback sockets.
[[nodiscard]] inline Settings base_settings(std::string zone, std::vector<RequestClass> classes,
                                            std::vector<EndpointKind> kinds) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  Settings settings;
  settings.zone = std::move(zone);
  settings.classes = std::move(classes);
  settings.kinds = std::move(kinds);
  settings.may_cancel = true;
  settings.retry_advice = true;
  settings.max_retry_after = milliseconds(500);
  settings.max_attempts = 4;
  settings.tick = milliseconds(4);
  settings.answer_slack = milliseconds(16);
  settings.drain_grace = milliseconds(250);
  settings.reservation_limit = milliseconds(300);
  settings.warmup_initial_share = 0.3;
  settings.warmup_time = seconds(14);
  settings.overload_multiple = 4;
  settings.overload_window = seconds(2);
  return settings;
}

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_BASE_SETTINGS_HPP_
