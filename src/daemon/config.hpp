// The dispatcher's configuration: a JSON file in the platform's format, and environment variables that
// override some of its fields. docs/settings.md and docs/reload.md describe the fields.
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

// A configuration that can't be used. what() has one line for each problem, which names the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
  explicit ConfigError(const std::vector<std::string>& lines);
  // The lines of what().
  [[nodiscard]] std::vector<std::string> lines() const;
};

// A configuration as read and checked.
struct Config {
  std::string name;                                 // of this dispatcher, for its log and its shared files
  net::tcp::endpoint listen;                        // of the platform's frontend
  net::tcp::endpoint discovery;                     // where endpoint lists are polled
  std::optional<net::tcp::endpoint> admin_address;  // none: the admin interface is off
  // A directory that all processes of this dispatcher share during a hot restart; empty: there is none.
  std::string shared_directory;
  std::uint64_t seed = 0;              // of all pseudo-random choices
  std::size_t max_descriptors = 1024;  // file descriptors of the process
  std::size_t max_memory_mb = 192;     // MiB, of which request bodies may use a part
  routing::Settings settings;
  nlohmann::json source;  // the file without its endpoints: a reloaded one must have all of its keys
  service_discovery::EndpointSnapshot initial_endpoints;  // in use until service discovery answers
  std::vector<std::string> warnings;  // one line for each field that is unusual, yet usable
};

// Environment variables by their names; only those that this program reads, and no empty ones.
using Environment = std::map<std::string, std::string>;
[[nodiscard]] Environment read_environment();

// Parses the text of a configuration file. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONSOLE
// override its fields; PROXY_CONFIG is the name that errors give the file. Throws ConfigError, which reports
// all problems with file and line.
Config parse_config(const std::string& text, const Environment& environment);
// Reads and parses the file that PROXY_CONFIG names. Throws ConfigError.
[[nodiscard]] Config load_config(const Environment& environment);
// Reads the same file again in a running process. Here the file's discovery address overrides the
// environment's, which is as old as the process. Throws ConfigError.
[[nodiscard]] Config reload_config(Environment environment);
// Throws ConfigError naming a key, at any depth, that `before` has and `after` lacks. Of entries in arrays,
// such as classes, each must have the keys that all entries had before. `path`: of the two values, for the
// error; empty at the top level.
void check_keys(const nlohmann::json& before, const nlohmann::json& after, const std::string& path = {});
// Throws ConfigError where the file can't be read.
[[nodiscard]] std::string read_file(const std::string& path);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIG_HPP_
