#include "daemon/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "settings/check.hpp"
#include "settings/parse.hpp"
#include "settings/report.hpp"

namespace dispatcher::daemon {

using Json = nlohmann::json;

using dispatcher::settings::Finding;
using dispatcher::settings::Severity;

namespace {

// Names of the configuration's fields in its JSON file.
namespace key {
constexpr const char* kName = "name";
constexpr const char* kListen = "listen";
constexpr const char* kDiscovery = "discovery";
constexpr const char* kAdminAddress = "console";
constexpr const char* kSeed = "seed";
constexpr const char* kLimits = "limits";
constexpr const char* kMaxDescriptors = "sockets";
constexpr const char* kMaxMemoryMb = "memory_mb";
constexpr const char* kSettings = "settings";
constexpr const char* kInitialEndpoints = "known";
}  // namespace key

// Names of environment variables.
namespace variable {
constexpr const char* kConfig = "PROXY_CONFIG";
constexpr const char* kName = "PROXY_NAME";
constexpr const char* kListen = "PROXY_LISTEN";
constexpr const char* kDiscovery = "PROXY_DISCOVERY";
constexpr const char* kAdminAddress = "PROXY_CONSOLE";
constexpr const char* kSharedDirectory = "TMPDIR";
}  // namespace variable

constexpr int kHexadecimal = 16;
// Largest value of a resource limit, so that its conversion from floating point is exact.
constexpr double kMaxLimit = 1e9;
// Maximum of failed connections for each attempt of a request. An attempt on a socket is counted once its
// last byte is written, so failed connections are not counted; without this maximum a request would try
// unreachable endpoints until its deadline.
constexpr int kConnectFailuresPerAttempt = 4;

// Returns null if the field is absent or null.
const Json* member(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

// Reads the top-level fields of the file. Adds problems to `findings`; a field with a problem gets its
// default value.
class FieldReader {
 public:
  FieldReader(const Json& object, const Environment& environment, std::vector<Finding>& findings)
      : object_(object), environment_(environment), findings_(findings) {}

  // Returns the text of an environment variable or, if it is not set, of a field. Empty if neither is set.
  [[nodiscard]] std::string text(const char* field, const char* variable) const {
    if (const auto it = environment_.find(variable); it != environment_.end()) return it->second;
    const Json* value = member(object_, field);
    if (value == nullptr) return {};
    if (value->is_string()) return value->get<std::string>();
    add_error(field, "no text", "text");
    return {};
  }
  // Returns the address and port in the text that text() returns.
  [[nodiscard]] net::tcp::endpoint endpoint(const char* field, const char* variable) const {
    const std::size_t before = findings_.size();
    const std::string value = text(field, variable);
    if (const auto result = net::parse_endpoint(value)) return *result;
    const std::string from = environment_.contains(variable) ? std::string(" (") + variable + ")" : "";
    if (findings_.size() == before) add_error(field, "'" + value + "'" + from, "address and port");
    return {};
  }
  // Returns the seed, which is hexadecimal text or a number.
  [[nodiscard]] std::uint64_t seed() const {
    const Json* value = member(object_, key::kSeed);
    if (value == nullptr) return 0;
    if (value->is_number_unsigned()) return value->get<std::uint64_t>();
    std::uint64_t seed = 0;
    const std::string digits = value->is_string() ? value->get<std::string>() : "";
    const char* const end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars(digits.data(), end, seed, kHexadecimal);
    if (error != std::errc() || last != end) add_error(key::kSeed, "no number", "hexadecimal text");
    return seed;
  }
  // Returns null and reports an error if the field is missing or not an object.
  [[nodiscard]] const Json* required_object(const char* field) const {
    if (member(object_, field) != nullptr) return optional_object(field);
    add_error(field, "missing", "object");
    return nullptr;
  }
  // Returns null if the field is missing or not an object; the latter is reported as an error.
  [[nodiscard]] const Json* optional_object(const char* field) const {
    const Json* value = member(object_, field);
    if (value == nullptr || value->is_object()) return value;
    add_error(field, "no object", "object");
    return nullptr;
  }
  // Returns a field of the object key::kLimits.
  [[nodiscard]] std::size_t limit(const Json& limits, const char* field, std::size_t default_value) const {
    const Json* value = member(limits, field);
    if (value == nullptr) return default_value;
    const double number = value->is_number() ? value->get<double>() : 0;
    if (number >= 1 && number <= kMaxLimit) return static_cast<std::size_t>(number);
    add_error(std::string(key::kLimits) + "." + field, value->dump(), "number above 0");
    return default_value;
  }

 private:
  void add_error(std::string field, std::string what, std::string wanted) const {
    findings_.push_back({Severity::kError, std::move(field), std::move(what), std::move(wanted)});
  }

  const Json& object_;
  const Environment& environment_;
  std::vector<Finding>& findings_;
};

// Adds findings about the settings, whose field names are relative to the settings object.
void add_settings_findings(std::vector<Finding>& findings, std::vector<Finding> settings_findings) {
  for (Finding& finding : settings_findings) {
    finding.field.insert(0, std::string(key::kSettings) + ".");
    findings.push_back(std::move(finding));
  }
}

routing::Settings read_settings(const Json& source, std::vector<Finding>& findings) {
  try {
    dispatcher::settings::ParsedSettings parsed = dispatcher::settings::parse_settings(source);
    routing::Settings settings = std::move(parsed.settings);
    settings.free_connect_failures = kConnectFailuresPerAttempt * settings.max_attempts;
    settings.reservation_expires_until_delivery = true;
    add_settings_findings(findings, std::move(parsed.warnings));
    add_settings_findings(findings, dispatcher::settings::check(settings));
    add_settings_findings(findings, dispatcher::settings::check_socket_settings(settings));
    return settings;
  } catch (const dispatcher::settings::SettingsError& e) {
    add_settings_findings(findings, e.findings);
    return {};
  }
}

service_discovery::EndpointSnapshot read_initial_endpoints(const Json& source,
                                                           std::vector<Finding>& findings) {
  service_discovery::EndpointSnapshot endpoints;
  try {
    endpoints = service_discovery::parse_endpoint_snapshot(source);
    endpoints.scope = upstream::ListScope::kComplete;
    endpoints.list.kind = routing::ListKind::kCached;
  } catch (const std::exception& e) {
    findings.push_back({Severity::kError, key::kInitialEndpoints, e.what(), ""});
  }
  return endpoints;
}

// Throws a ConfigError that names the line, if the text is not JSON.
Json parse_json(const std::string& file, const std::string& source) {
  try {
    Json object = Json::parse(source);
    if (object.is_object()) return object;
  } catch (const Json::parse_error& e) {
    const auto error_at = source.begin() + static_cast<std::ptrdiff_t>(std::min(e.byte, source.size()));
    const auto line = 1 + std::count(source.begin(), error_at, '\n');
    throw ConfigError(file + ":" + std::to_string(line) + ": the configuration is not JSON");
  } catch (const Json::exception& e) {
    throw ConfigError(file + ": the configuration can't be read: " + e.what());
  }
  throw ConfigError(file + ":1: the configuration is not a JSON object");
}

std::string join_lines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

}  // namespace

ConfigError::ConfigError(const std::vector<std::string>& lines) : std::runtime_error(join_lines(lines)) {}

std::vector<std::string> ConfigError::lines() const {
  std::vector<std::string> all;
  std::istringstream text(what());
  for (std::string line; std::getline(text, line);) all.push_back(line);
  return all;
}

Environment read_environment() {
  Environment environment;
  for (const char* name : {variable::kConfig, variable::kName, variable::kListen, variable::kDiscovery,
                           variable::kAdminAddress, variable::kSharedDirectory}) {
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

namespace {

// Reads the top-level fields that the environment may override.
void read_addresses(const FieldReader& reader, Config& config) {
  config.name = reader.text(key::kName, variable::kName);
  config.listen = reader.endpoint(key::kListen, variable::kListen);
  config.discovery = reader.endpoint(key::kDiscovery, variable::kDiscovery);
  const bool has_admin_address = !reader.text(key::kAdminAddress, variable::kAdminAddress).empty();
  if (has_admin_address) config.admin_address = reader.endpoint(key::kAdminAddress, variable::kAdminAddress);
}

void read_limits(const FieldReader& reader, Config& config) {
  const Json* limits = reader.optional_object(key::kLimits);
  if (limits == nullptr) return;
  config.max_descriptors = reader.limit(*limits, key::kMaxDescriptors, config.max_descriptors);
  config.max_memory_mb = reader.limit(*limits, key::kMaxMemoryMb, config.max_memory_mb);
}

}  // namespace

Config parse_config(const std::string& text, const Environment& environment) {
  const auto path = environment.find(variable::kConfig);
  const std::string file = path == environment.end() ? "configuration" : path->second;
  const Json object = parse_json(file, text);
  std::vector<Finding> findings;
  const FieldReader reader(object, environment, findings);
  Config config;
  read_addresses(reader, config);
  const auto shared_directory = environment.find(variable::kSharedDirectory);
  if (shared_directory != environment.end()) config.shared_directory = shared_directory->second;
  config.seed = reader.seed();
  read_limits(reader, config);
  const Json* endpoints = member(object, key::kInitialEndpoints);
  config.source = object;
  if (endpoints != nullptr) config.source[key::kInitialEndpoints] = Json::object();
  const Json* settings = reader.required_object(key::kSettings);
  if (settings != nullptr) config.settings = read_settings(*settings, findings);
  if (endpoints != nullptr) config.initial_endpoints = read_initial_endpoints(*endpoints, findings);
  std::vector<std::string> lines = dispatcher::settings::format_report(file, text, findings);
  if (dispatcher::settings::has_error(findings)) throw ConfigError(lines);
  config.warnings = std::move(lines);
  return config;
}

namespace {

// Returns an object with the keys that all elements of an array have, or null if an element is not an object.
Json common_keys(const Json& array) {
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
    const Json keys = common_keys(before);
    for (const Json& element : after) check_keys(keys, element, path);
  }
  if (!before.is_object()) return;
  for (const auto& [key, value] : before.items()) {
    std::string name = path;
    if (!name.empty()) name += '.';
    name += key;
    if (!after.is_object() || !after.contains(key)) throw ConfigError("field '" + name + "' is missing");
    check_keys(value, after.at(key), name);
  }
}

namespace {

std::string read_config(const Environment& environment) {
  const auto path = environment.find(variable::kConfig);
  if (path == environment.end()) throw ConfigError(std::string(variable::kConfig) + " is not set");
  return read_file(path->second);
}

}  // namespace

Config load_config(const Environment& environment) {
  return parse_config(read_config(environment), environment);
}

Config reload_config(Environment environment) {
  const std::string source = read_config(environment);
  const Json object = Json::parse(source, nullptr, false);
  if (object.is_object() && member(object, key::kDiscovery) != nullptr)
    environment.erase(variable::kDiscovery);
  return parse_config(source, environment);
}

}  // namespace dispatcher::daemon
