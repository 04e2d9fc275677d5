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

// Returns the lines of a text as one line.
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
    for (const std::string& warning : files.config.warnings) components_.log(warning);
    log_reloaded();
  } catch (const ConfigError& error) {
    log_failure(error);
  } catch (const std::exception& error) {
    log_failure(error);
  }
}

ConfigurationReloader::ParsedFiles ConfigurationReloader::parse(const ConfigurationFiles& files) const {
  check_keys(components_.config.source, files.config.source);
  ParsedFiles parsed;
  parsed.settings = std::make_shared<const routing::Settings>(files.config.settings);
  parsed.chat = parse_chat(files.features, *parsed.settings);
  if (components_.chat_frontend && !parsed.chat)
    throw ConfigError("the chat frontend's file no longer names an address to listen at");
  parsed.rules = parse_rules(files.features, *parsed.settings);
  parsed.levels = parse_levels(files.features, *parsed.settings);
  return parsed;
}

void ConfigurationReloader::apply(const Config& next, const ParsedFiles& parsed) {
  const bool has_discovery_moved = next.discovery != components_.config.discovery;
  components_.settings = parsed.settings;
  components_.engine.apply_settings(parsed.settings);
  components_.platform_frontend.apply_settings(parsed.settings);
  if (components_.chat_frontend) components_.chat_frontend->apply_config(*parsed.chat);
  components_.rate_limiter.replace_rules(parsed.rules, components_.loop.now());
  components_.degradation_controller.apply_settings(*parsed.settings, parsed.levels);
  components_.config.settings = next.settings;
  components_.config.source = next.source;
  components_.config.max_descriptors = next.max_descriptors;
  components_.config.max_memory_mb = next.max_memory_mb;
  components_.config.discovery = next.discovery;
  components_.apply_resource_limits();
  // The router interprets the list by the kinds of endpoints in the settings, which may have changed.
  components_.engine.update_endpoints(components_.endpoints.list);
  if (has_discovery_moved) components_.endpoint_watcher.set_address(components_.config.discovery);
}

void ConfigurationReloader::log_deferred_changes(const Config& next,
                                                 const std::optional<openai_api::Config>& chat) const {
  const Config& current = components_.config;
  const std::optional<openai_api::Config>& current_chat = components_.chat_config;
  const bool chat_listen_changed =
      chat.has_value() != current_chat.has_value() || (chat && chat->listen != current_chat->listen);
  std::string fields;
  const auto add = [&fields](bool is_changed, const char* field) {
    if (is_changed) fields.append(fields.empty() ? "" : ", ").append(field);
  };
  add(next.listen != current.listen, "listen");
  add(next.name != current.name, "name");
  add(next.admin_address != current.admin_address, "console");
  add(chat_listen_changed, "the chat frontend's listen");
  if (!fields.empty())
    components_.log("reload: changed, but taking effect at the next start only: " + fields);
}

void ConfigurationReloader::log_reloaded() const {
  std::string classes;
  for (const routing::RequestClass& request_class : components_.settings->classes)
    classes += " " + request_class.name;
  components_.log("reloaded: discovery at " + to_text(components_.config.discovery) + ", classes" + classes);
}

void ConfigurationReloader::log_failure(const ConfigError& error) const {
  const std::vector<std::string> lines = error.lines();
  if (lines.size() == 1) return components_.log(kReloadFailed + lines[0]);
  for (const std::string& line : lines) components_.log(line);
  components_.log(std::string(kReloadFailed) + "see the lines above");
}

void ConfigurationReloader::log_failure(const std::exception& error) const {
  components_.log(kReloadFailed + join_lines(error.what()));
}

}  // namespace dispatcher::daemon
