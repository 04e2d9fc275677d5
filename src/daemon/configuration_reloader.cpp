#include "daemon/configuration_reloader.hpp"

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/address_text.hpp"

namespace dispatcher::daemon {

namespace {

constexpr const char* kReloadFailed = "reload failed, the old configuration stays: ";

// The lines of a text as one line.
std::string join_lines(std::string text) {
  for (std::size_t at = text.find('\n'); at != std::string::npos; at = text.find('\n', at))
    text.replace(at, 1, "; ");
  return text;
}

}  // namespace

void ConfigurationReloader::reload() {
  if (!read_files_) return;
  try {
    const ConfigurationFiles files = read_files_();
    const ParsedFiles parsed = parse(files);
    log_deferred_changes(files.config, parsed.chat);
    apply(files.config, parsed);
    for (const std::string& warning : files.config.warnings) parts_.log(warning);
    log_reloaded();
  } catch (const ConfigError& error) {
    log_failure(error);
  } catch (const std::exception& error) {
    log_failure(error);
  }
}

ConfigurationReloader::ParsedFiles ConfigurationReloader::parse(const ConfigurationFiles& files) const {
  check_keys(parts_.config.source, files.config.source);
  ParsedFiles parsed;
  parsed.settings = std::make_shared<const routing::Settings>(files.config.settings);
  parsed.chat = parse_chat(files.features, *parsed.settings);
  if (parts_.chat_frontend && !parsed.chat)
    throw ConfigError("the chat front's file no longer says where to listen");
  parsed.rules = parse_rules(files.features, *parsed.settings);
  parsed.levels = parse_levels(files.features, *parsed.settings);
  return parsed;
}

void ConfigurationReloader::apply(const Config& next, const ParsedFiles& parsed) {
  const bool has_discovery_moved = next.discovery != parts_.config.discovery;
  parts_.settings = parsed.settings;
  parts_.engine.apply_settings(parsed.settings);
  parts_.platform_frontend.apply_settings(parsed.settings);
  if (parts_.chat_frontend) parts_.chat_frontend->apply_config(*parsed.chat);
  parts_.rate_limiter.replace_rules(parsed.rules, parts_.loop.now());
  parts_.degradation_controller.apply_settings(*parsed.settings, parsed.levels);
  parts_.config.settings = next.settings;
  parts_.config.source = next.source;
  parts_.config.max_descriptors = next.max_descriptors;
  parts_.config.max_memory_mb = next.max_memory_mb;
  parts_.config.discovery = next.discovery;
  parts_.apply_resource_limits();
  // The new settings may define other kinds of endpoints, by which the router interprets the list.
  parts_.engine.update_endpoints(parts_.endpoints.list);
  if (has_discovery_moved) parts_.endpoint_watcher.set_address(parts_.config.discovery);
}

void ConfigurationReloader::log_deferred_changes(const Config& next,
                                                 const std::optional<openai_api::Config>& chat) const {
  const Config& current = parts_.config;
  const std::optional<openai_api::Config>& current_chat = parts_.chat_config;
  const bool chat_listen_changed =
      chat.has_value() != current_chat.has_value() || (chat && chat->listen != current_chat->listen);
  std::string fields;
  const auto add = [&fields](bool is_changed, const char* field) {
    if (is_changed) fields.append(fields.empty() ? "" : ", ").append(field);
  };
  add(next.listen != current.listen, "listen");
  add(next.name != current.name, "name");
  add(next.admin_address != current.admin_address, "console");
  add(chat_listen_changed, "the chat front's listen");
  if (!fields.empty()) parts_.log("reload: changed, but taking effect at the next start only: " + fields);
}

void ConfigurationReloader::log_reloaded() const {
  std::string classes;
  for (const routing::RequestClass& request_class : parts_.settings->classes)
    classes += " " + request_class.name;
  parts_.log("reloaded: discovery at " + to_text(parts_.config.discovery) + ", classes" + classes);
}

void ConfigurationReloader::log_failure(const ConfigError& error) const {
  const std::vector<std::string> lines = error.lines();
  if (lines.size() == 1) return parts_.log(kReloadFailed + lines[0]);
  for (const std::string& line : lines) parts_.log(line);
  parts_.log(std::string(kReloadFailed) + "see the lines above");
}

void ConfigurationReloader::log_failure(const std::exception& error) const {
  parts_.log(kReloadFailed + join_lines(error.what()));
}

}  // namespace dispatcher::daemon
