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

// Thrown for a configuration that can't be used. what() has one line for each problem, which names the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
  explicit ConfigError(const std::vector<std::string>& lines);
  // Returns the lines of what().
  [[nodiscard]] std::vector<std::string> lines() const;
};

// A parsed and checked configuration.
struct Config {
  std::string name;                                 // of this dispatcher, for its log and its shared files
  net::tcp::endpoint listen;                        // address of the platform's frontend
  net::tcp::endpoint discovery;                     // address of service discovery
  std::optional<net::tcp::endpoint> admin_address;  // nullopt: the admin interface is off
  // The directory that all processes of this dispatcher share during a hot restart; empty if there is none.
  std::string shared_directory;
  std::uint64_t seed = 0;              // seed of all pseudo-random choices
  std::size_t max_descriptors = 1024;  // maximum of open file descriptors of the process
  std::size_t max_memory_mb = 192;     // memory in MiB, of which request bodies may use a part
  routing::Settings settings;
  nlohmann::json source;  // the file without its endpoints; a reloaded file must have all of its keys
  service_discovery::EndpointSnapshot initial_endpoints;  // in use until service discovery answers
  std::vector<std::string> warnings;                      // one line for each usable but unusual field
};

// The non-empty environment variables that this program reads, by name.
using Environment = std::map<std::string, std::string>;
[[nodiscard]] Environment read_environment();

// Parses the text of a configuration file. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONSOLE
// override its fields; error messages give the file the name in PROXY_CONFIG. Throws ConfigError, which
// reports all problems with file and line.
Config parse_config(const std::string& text, const Environment& environment);
// Reads and parses the file that PROXY_CONFIG names. Throws ConfigError.
[[nodiscard]] Config load_config(const Environment& environment);
// Reads the same file again in a running process. Here the discovery address in the file overrides the one in
// the environment, which was set when the process started. Throws ConfigError.
[[nodiscard]] Config reload_config(Environment environment);
// Throws a ConfigError that names a key, at any depth, that `before` has and `after` lacks. Each entry of an
// array in `after`, such as a class, must have the keys that all entries of that array in `before` have in
// common. `path` is the path of the two values for the error message; it is empty at the top level.
void check_keys(const nlohmann::json& before, const nlohmann::json& after, const std::string& path = {});
// Returns the content of a file. Throws ConfigError if it can't be read.
[[nodiscard]] std::string read_file(const std::string& path);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CONFIG_HPP_
