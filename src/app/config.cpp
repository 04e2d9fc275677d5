#include "app/config.hpp"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "wire.hpp"

namespace bitternferry::app {

using Json = nlohmann::json;

namespace {

const Json* member(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::string text(const Json& object, const char* field, const Environment& environment,
                 const char* variable) {
  if (const auto it = environment.find(variable); it != environment.end()) return it->second;
  const Json* value = member(object, field);
  if (value == nullptr) return {};
  if (!value->is_string()) throw ConfigError(std::string("field '") + field + "': text expected");
  return value->get<std::string>();
}

net::tcp::endpoint endpoint(const std::string& value, const char* field) {
  const auto result = net::parse_endpoint(value);
  if (!result)
    throw ConfigError(std::string("field '") + field + "': address and port expected, not '" + value + "'");
  return *result;
}

// Hexadecimal text, or a number.
std::uint64_t parse_seed(const Json& object) {
  const Json* value = member(object, "seed");
  if (value == nullptr) return 0;
  if (value->is_number_unsigned()) return value->get<std::uint64_t>();
  if (!value->is_string()) throw ConfigError("field 'seed': hexadecimal text expected");
  const auto& digits = value->get_ref<const std::string&>();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
  if (error != std::errc() || end != digits.data() + digits.size())
    throw ConfigError("field 'seed': hexadecimal text expected");
  return seed;
}

std::size_t limit(const Json& limits, const char* field, std::size_t absent) {
  const Json* value = member(limits, field);
  if (value == nullptr) return absent;
  if (!value->is_number() || value->get<double>() < 1 || value->get<double>() > 1e9)
    throw ConfigError(std::string("field 'limits.") + field + "': number above 0 expected");
  return static_cast<std::size_t>(value->get<double>());
}

// A request may knock at dead readers for so many sends, not for ever.
constexpr int kConnectsPerAttempt = 4;

}  // namespace

Environment read_environment() {
  Environment environment;
  for (const char* name :
       {"PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONSOLE", "PROXY_CONFIG", "TMPDIR"}) {
    if (const char* value = std::getenv(name); value != nullptr && *value != '\0') environment[name] = value;
  }
  return environment;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ConfigError("cannot read '" + path + "'");
  return text.str();
}

Config parse_config(const std::string& source, const Environment& environment) {
  const Json object = Json::parse(source, nullptr, false);
  if (!object.is_object()) throw ConfigError("the configuration is not a JSON object");
  Config config;
  config.name = text(object, "name", environment, "PROXY_NAME");
  config.listen = endpoint(text(object, "listen", environment, "PROXY_LISTEN"), "listen");
  config.discovery = endpoint(text(object, "discovery", environment, "PROXY_DISCOVERY"), "discovery");
  const std::string console = text(object, "console", environment, "PROXY_CONSOLE");
  if (!console.empty()) config.console = endpoint(console, "console");
  if (const auto it = environment.find("TMPDIR"); it != environment.end()) config.scratch = it->second;
  config.seed = parse_seed(object);
  if (const Json* limits = member(object, "limits")) {
    if (!limits->is_object()) throw ConfigError("field 'limits': object expected");
    config.sockets = limit(*limits, "sockets", config.sockets);
    config.memory_mb = limit(*limits, "memory_mb", config.memory_mb);
  }
  const Json* settings = member(object, "settings");
  if (settings == nullptr || !settings->is_object()) throw ConfigError("field 'settings': object expected");
  config.source = object;
  if (member(object, "known") != nullptr) config.source["known"] = Json::object();
  try {
    config.settings = basaltvane::wire::parse_settings(*settings);
    // On sockets an attempt counts once its last byte has come.
    config.settings.free_connects = kConnectsPerAttempt * config.settings.max_attempts;
    config.settings.pinned_while_connecting = true;  // and what is held waits on while connections fail
    basaltvane::Router(config.settings, 0);  // its own checks
  } catch (const std::exception& e) {
    throw ConfigError(std::string("settings: ") + e.what());
  }
  if (config.settings.connect_timeout.count() <= 0)
    throw ConfigError("settings: field 'connectTimeoutMs': above 0 expected");
  if (config.settings.idle_close.count() <= 0)
    throw ConfigError("settings: field 'idleCloseMs': above 0 expected");
  if (const Json* known = member(object, "known")) {
    try {
      config.known = discovery::parse_servers(*known);
      config.known.whole = true;
      config.known.list.kind = basaltvane::ListKind::kCached;
    } catch (const std::exception& e) {
      throw ConfigError(std::string("known: ") + e.what());
    }
  }
  return config;
}

namespace {
// The keys that all objects of an array have; of anything else, itself.
Json common(const Json& array) {
  Json keys;
  for (const Json& element : array) {
    if (!element.is_object()) return nullptr;
    if (keys.is_null()) keys = element;
    for (auto it = keys.begin(); it != keys.end();)
      it = element.contains(it.key()) ? std::next(it) : keys.erase(it);
  }
  return keys;
}
}  // namespace

void check_keys(const Json& before, const Json& after, const std::string& path) {
  if (before.is_array() && after.is_array()) {
    const Json keys = common(before);
    for (const Json& element : after) check_keys(keys, element, path);
  }
  if (!before.is_object()) return;
  for (const auto& [key, value] : before.items()) {
    const std::string name = path.empty() ? key : path + "." + key;
    if (!after.is_object() || !after.contains(key)) throw ConfigError("field '" + name + "' is missing");
    check_keys(value, after.at(key), name);
  }
}

namespace {
std::string read_config(const Environment& environment) {
  const auto it = environment.find("PROXY_CONFIG");
  if (it == environment.end()) throw ConfigError("PROXY_CONFIG is not set");
  return read_file(it->second);
}
}  // namespace

Config load_config(const Environment& environment) {
  return parse_config(read_config(environment), environment);
}

Config reload_config(Environment environment) {
  const std::string source = read_config(environment);
  const Json object = Json::parse(source, nullptr, false);
  if (object.is_object() && member(object, "discovery") != nullptr) environment.erase("PROXY_DISCOVERY");
  return parse_config(source, environment);
}

}  // namespace bitternferry::app
