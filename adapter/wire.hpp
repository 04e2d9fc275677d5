// Translates the wire's JSON lines to router events and router actions back. Holds no decision.
#ifndef DISPATCHER_ADAPTER_WIRE_HPP_
#define DISPATCHER_ADAPTER_WIRE_HPP_

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "routing/router.hpp"
#include "settings/check.hpp"

namespace dispatcher::wire {

using Json = nlohmann::json;

// A malformed line; what() names the field.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Settings that can't be read, with all that is wrong of them.
struct SettingsError : WireError {
  explicit SettingsError(std::vector<settings::Finding> all);
  std::vector<settings::Finding> findings;
};

// What is odd of settings that can be read goes to `warnings`.
routing::Settings parse_settings(const Json& env,
                                 std::vector<settings::Finding>* warnings = nullptr);  // throws SettingsError
routing::LoadReport parse_load(const Json& fields);                                    // throws WireError
routing::EndpointList parse_list(const Json& topology, const Json& page);              // throws WireError
std::optional<routing::Event> parse_event(const std::string& name,
                                          const Json& fields);  // empty: a name not known here
std::string format_action(const std::string& dispatcher, const routing::Action& action);

// Reads lines of a process's input and returns the reply lines once a batch is complete.
class Session {
 public:
  std::optional<std::string> feed(const std::string& line);  // throws WireError

 private:
  void dispatch(const std::string& name, const Json& fields);
  routing::Time now_{};
  std::array<Json, 16> pages_;
  std::map<std::string, std::optional<routing::Router>> routers_;
  std::string reply_;
};

}  // namespace dispatcher::wire

#endif  // DISPATCHER_ADAPTER_WIRE_HPP_
