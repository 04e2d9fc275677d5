// What the program is told at its start: the platform's configuration and its environment.
#ifndef DISPATCHER_DAEMON_CONFIG_HPP_
#define DISPATCHER_DAEMON_CONFIG_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/connection.hpp"
#include "routing/router.hpp"
#include "service_discovery/endpoint_snapshot.hpp"

namespace dispatcher::daemon {

// what() has a line for each thing that is wrong, which names the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
  explicit ConfigError(const std::vector<std::string>& all);
  [[nodiscard]] std::vector<std::string> lines() const;
};

// A configuration as read and checked.
struct Config {
  std::string name;
  net::tcp::endpoint listen, discovery;
  std::optional<net::tcp::endpoint> console;  // the operators' address; none: off
  std::string scratch;  // a folder that a second process started beside this one shares; empty: none
  std::uint64_t seed = 0;
  std::size_t sockets = 1024, memory_mb = 192;
  routing::Settings settings;
  nlohmann::json source;  // the file, but for its list of replicas: a later one must have all of its keys
  service_discovery::EndpointSnapshot known;
  std::vector<std::string> warnings;  // a line for each thing that is odd, but can be served by
};

using Environment = std::map<std::string, std::string>;
Environment read_environment();

// PROXY_CONFIG names the JSON file; PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONSOLE go before
// what it says. All that is wrong is told at once, with file and line: docs/settings.md.
Config parse_config(const std::string& text, const Environment& environment);  // throws ConfigError
Config load_config(const Environment& environment);                            // throws ConfigError
// The same file read again under way. Here its discovery goes before the environment's, which is as old as
// the process.
Config reload_config(Environment environment);  // throws ConfigError
// Throws ConfigError naming a key, at any depth, that `before` has and `after` lacks. Of entries in arrays,
// such as classes, each must have the keys that all entries had before.
void check_keys(const nlohmann::json& before, const nlohmann::json& after, const std::string& path = {});
std::string read_file(const std::string& path);  // throws ConfigError

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIG_HPP_
