// What the tests of the complete daemon share: a configuration on loopback, and a look into its log.
#ifndef DISPATCHER_TESTS_DISPATCHER_DAEMON_FIXTURE_HPP_
#define DISPATCHER_TESTS_DISPATCHER_DAEMON_FIXTURE_HPP_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {

// The dispatcher listens on a free port; its discovery is an address where nobody listens.
inline daemon::Config make_daemon_config(const std::string& name = {}) {
  daemon::Config config;
  if (!name.empty()) config.name = name;
  config.listen = config.discovery = loopback();
  config.discovery.port(1);
  config.settings = make_settings();
  return config;
}

// True if an entry of the log begins with the text.
inline bool has_entry(const std::vector<std::string>& log, std::string_view start) {
  return std::ranges::any_of(log, [&](const auto& entry) { return entry.starts_with(start); });
}

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_DAEMON_FIXTURE_HPP_
