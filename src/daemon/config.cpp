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

const Json* member(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

// The file's top level. What is wrong is gathered.
class Top {
 public:
  Top(const Json& object, const Environment& environment, std::vector<Finding>& findings)
      : object_(object), environment_(environment), findings_(findings) {}

  void wrong(std::string field, std::string what, std::string wanted) const {
    findings_.push_back({Severity::kError, std::move(field), std::move(what), std::move(wanted)});
  }
  std::string text(const char* field, const char* variable) const {
    if (const auto it = environment_.find(variable); it != environment_.end()) return it->second;
    const Json* value = member(object_, field);
    if (value == nullptr) return {};
    if (value->is_string()) return value->get<std::string>();
    wrong(field, "no text", "text");
    return {};
  }
  net::tcp::endpoint endpoint(const char* field, const char* variable) const {
    const std::size_t before = findings_.size();
    const std::string value = text(field, variable);
    if (const auto result = net::parse_endpoint(value)) return *result;
    const std::string from = environment_.contains(variable) ? std::string(" (") + variable + ")" : "";
    if (findings_.size() == before) wrong(field, "'" + value + "'" + from, "address and port");
    return {};
  }
  // Hexadecimal text, or a number.
  [[nodiscard]] std::uint64_t seed() const {
    const Json* value = member(object_, "seed");
    if (value == nullptr) return 0;
    if (value->is_number_unsigned()) return value->get<std::uint64_t>();
    std::uint64_t seed = 0;
    const std::string digits = value->is_string() ? value->get<std::string>() : "";
    const char* const end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars(digits.data(), end, seed, 16);
    if (error != std::errc() || last != end) wrong("seed", "no number", "hexadecimal text");
    return seed;
  }
  // The object of this name; none where it is missing or no object.
  const Json* object(const char* field, bool needed) const {
    const Json* value = member(object_, field);
    if (value != nullptr && value->is_object()) return value;
    if (value != nullptr || needed) wrong(field, value == nullptr ? "missing" : "no object", "object");
    return nullptr;
  }
  std::size_t limit(const Json& limits, const char* field, std::size_t absent) const {
    const Json* value = member(limits, field);
    if (value == nullptr) return absent;
    if (value->is_number() && value->get<double>() >= 1 && value->get<double>() <= 1e9)
      return static_cast<std::size_t>(value->get<double>());
    wrong(std::string("limits.") + field, value->dump(), "number above 0");
    return absent;
  }

 private:
  const Json& object_;
  const Environment& environment_;
  std::vector<Finding>& findings_;
};

// A request may knock at dead readers for so many sends, not for ever.
constexpr int kConnectsPerAttempt = 4;

void add_all(std::vector<Finding>& findings, std::vector<Finding> more) {
  for (Finding& finding : more) {
    finding.field.insert(0, "settings.");
    findings.push_back(std::move(finding));
  }
}

routing::Settings read_settings(const Json& source, std::vector<Finding>& findings) {
  try {
    dispatcher::settings::ParsedSettings parsed = dispatcher::settings::parse_settings(source);
    routing::Settings settings = std::move(parsed.settings);
    // On sockets an attempt counts once its last byte has come.
    settings.free_connect_failures = kConnectsPerAttempt * settings.max_attempts;
    settings.reservation_expires_while_connecting = true;  // and what is held waits on while connections fail
    add_all(findings, std::move(parsed.warnings));
    add_all(findings, dispatcher::settings::check(settings));
    add_all(findings, dispatcher::settings::check_socket_settings(settings));
    return settings;
  } catch (const dispatcher::settings::SettingsError& e) {
    add_all(findings, e.findings);
    return {};
  }
}

service_discovery::EndpointSnapshot read_known(const Json& source, std::vector<Finding>& findings) {
  service_discovery::EndpointSnapshot known;
  try {
    known = service_discovery::parse_endpoint_snapshot(source);
    known.scope = upstream::ListScope::kComplete;
    known.list.kind = routing::ListKind::kCached;
  } catch (const std::exception& e) {
    findings.push_back({Severity::kError, "known", e.what(), ""});
  }
  return known;
}

Json parse_json(const std::string& file, const std::string& source) {
  try {
    Json object = Json::parse(source);
    if (object.is_object()) return object;
  } catch (const Json::parse_error& e) {
    const auto upto = source.begin() + static_cast<std::ptrdiff_t>(std::min(e.byte, source.size()));
    throw ConfigError(file + ":" + std::to_string(1 + std::count(source.begin(), upto, '\n')) +
                      ": the configuration is not JSON");
  } catch (const Json::exception& e) {
    throw ConfigError(file + ": the configuration can't be read: " + e.what());
  }
  throw ConfigError(file + ":1: the configuration is not a JSON object");
}

std::string joined(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all += (all.empty() ? "" : "\n") + line;
  return all;
}

}  // namespace

ConfigError::ConfigError(const std::vector<std::string>& all) : std::runtime_error(joined(all)) {}

std::vector<std::string> ConfigError::lines() const {
  std::vector<std::string> all;
  std::istringstream text(what());
  for (std::string line; std::getline(text, line);) all.push_back(line);
  return all;
}

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
  const auto named = environment.find("PROXY_CONFIG");
  const std::string file = named == environment.end() ? "configuration" : named->second;
  const Json object = parse_json(file, source);
  std::vector<Finding> findings;
  const Top top(object, environment, findings);
  Config config;
  config.name = top.text("name", "PROXY_NAME");
  config.listen = top.endpoint("listen", "PROXY_LISTEN");
  config.discovery = top.endpoint("discovery", "PROXY_DISCOVERY");
  if (!top.text("console", "PROXY_CONSOLE").empty())
    config.console = top.endpoint("console", "PROXY_CONSOLE");
  if (const auto it = environment.find("TMPDIR"); it != environment.end()) config.scratch = it->second;
  config.seed = top.seed();
  if (const Json* limits = top.object("limits", false)) {
    config.sockets = top.limit(*limits, "sockets", config.sockets);
    config.memory_mb = top.limit(*limits, "memory_mb", config.memory_mb);
  }
  config.source = object;
  if (member(object, "known") != nullptr) config.source["known"] = Json::object();
  if (const Json* settings = top.object("settings", true))
    config.settings = read_settings(*settings, findings);
  if (const Json* known = member(object, "known")) config.known = read_known(*known, findings);
  std::vector<std::string> lines = dispatcher::settings::format_report(file, source, findings);
  if (std::any_of(findings.begin(), findings.end(),
                  [](const Finding& finding) { return finding.severity == Severity::kError; }))
    throw ConfigError(lines);
  config.warnings = std::move(lines);
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
    std::string name = path;
    if (!name.empty()) name += '.';
    name += key;
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

}  // namespace dispatcher::daemon
