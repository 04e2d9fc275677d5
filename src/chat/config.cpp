#include "chat/config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bitternferry::chat {

using Json = nlohmann::json;

namespace {

[[noreturn]] void bad(const std::string& field, const std::string& what) {
  throw ConfigError("field '" + field + "': " + what);
}

std::string text(const Json& object, const std::string& field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
    bad(field, "text expected");
  return it->get<std::string>();
}

std::int64_t number(const Json& object, const std::string& field, std::int64_t absent, std::int64_t most) {
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return absent;
  if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > most)
    bad(field, "whole number from 1 to " + std::to_string(most) + " expected");
  return it->get<std::int64_t>();
}

const Json& array(const Json& object, const std::string& field) {
  static const Json none = Json::array();
  const auto it = object.find(field);
  if (it == object.end() || it->is_null()) return none;
  if (!it->is_array()) bad(field, "array expected");
  for (const Json& element : *it) {
    if (!element.is_object()) bad(field, "objects expected");
  }
  return *it;
}

void check_account(const std::string& account, const std::string& field,
                   const basaltvane::Settings& settings) {
  const auto& tenants = settings.tenants;
  if (tenants.empty() || account.empty()) return;
  if (std::none_of(tenants.begin(), tenants.end(), [&](const auto& t) { return t.name == account; }))
    bad(field, "no account '" + account + "' in the settings");
}

Model parse_model(const Json& object, const basaltvane::Settings& settings) {
  Model model;
  model.id = text(object, "id");
  const std::string name = text(object, "class");
  const auto cls = std::find_if(settings.classes.begin(), settings.classes.end(),
                                [&](const auto& c) { return c.name == name; });
  if (cls == settings.classes.end()) bad("models.class", "no class '" + name + "' in the settings");
  model.cls = &*cls;
  model.deadline =
      std::chrono::milliseconds(number(object, "deadline_ms", cls->deadline.count() / 1000, 3'600'000));
  return model;
}

}  // namespace

std::optional<Config> parse_config(const std::string& source, const basaltvane::Settings& settings) {
  const Json object = Json::parse(source, nullptr, false);
  if (!object.is_object()) throw ConfigError("not a JSON object");
  const auto listen = object.find("listen");
  if (listen == object.end() || listen->is_null()) return std::nullopt;
  Config config;
  config.rules = std::make_shared<const basaltvane::Settings>(settings);
  const auto endpoint = net::parse_endpoint(text(object, "listen"));
  if (!endpoint) bad("listen", "address and port expected");
  config.listen = *endpoint;
  for (const Json& m : array(object, "models")) config.models.push_back(parse_model(m, *config.rules));
  if (config.models.empty()) bad("models", "at least one expected");
  if (object.contains("account")) config.account = text(object, "account");
  check_account(config.account, "account", settings);
  for (const Json& k : array(object, "keys")) {
    config.keys.push_back({text(k, "key"), text(k, "account")});
    check_account(config.keys.back().account, "keys.account", settings);
  }
  if (config.keys.empty() && config.account.empty()) bad("account", "expected where no keys are set");
  config.max_open = static_cast<std::size_t>(number(object, "max_open", 256, 100'000));
  config.default_max_tokens = static_cast<int>(number(object, "default_max_tokens", 300, 1'000'000));
  return config;
}

}  // namespace bitternferry::chat
