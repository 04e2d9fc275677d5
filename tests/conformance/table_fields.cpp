#include "table_fields.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>

namespace dispatcher::routing::conformance {
namespace {

template <typename Value>
Value parse_word(const std::string& word, const std::map<std::string, Value>& values) {
  const auto it = values.find(word);
  if (it == values.end()) fail("unknown word: " + word);
  return it->second;
}

EndpointState parse_state(const std::string& word) {
  return parse_word<EndpointState>(word, {{"ready", EndpointState::kReady},
                                          {"draining", EndpointState::kDraining},
                                          {"gone", EndpointState::kRemoved}});
}

Idempotency parse_idempotency(const std::string& word) {
  return parse_word<Idempotency>(word, {{"safe", Idempotency::kIdempotent},
                                        {"keyed", Idempotency::kKeyed},
                                        {"unsafe", Idempotency::kNonIdempotent}});
}

std::optional<double> parse_optional(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return json.get<double>();
}

RequestClass parse_class(const std::string& name, const Json& json) {
  require_known_fields(json, {"repeat", "objective_ms", "deadline_ms", "token_objective_ms"});
  RequestClass request_class;
  request_class.name = name;
  request_class.idempotency = parse_idempotency(json.at("repeat"));
  request_class.deduplication_window = std::chrono::seconds(5);
  request_class.latency_objective = parse_milliseconds(json, "objective_ms");
  request_class.deadline = parse_milliseconds(json, "deadline_ms");
  request_class.token_latency_objective = parse_milliseconds(json, "token_objective_ms");
  request_class.priority_weight = 1;
  return request_class;
}

}  // namespace

void fail(const std::string& what) { throw std::runtime_error(what); }

void require_known_fields(const Json& object, std::initializer_list<const char*> fields) {
  for (const auto& item : object.items()) {
    const bool is_known = std::find(fields.begin(), fields.end(), item.key()) != fields.end();
    if (!is_known) fail("unknown field: " + item.key());
  }
}

std::chrono::milliseconds parse_milliseconds(const Json& object, const char* field, int default_value) {
  return std::chrono::milliseconds(object.value(field, default_value));
}

Role parse_role(const std::string& word) {
  return parse_word<Role>(word,
                          {{"reader", Role::kReader}, {"writer", Role::kWriter}, {"mixed", Role::kMixed}});
}

AttemptStatus parse_failure(const std::string& word) {
  return parse_word<AttemptStatus>(word, {{"reset", AttemptStatus::kReset},
                                          {"connect_failed", AttemptStatus::kConnectFailed},
                                          {"full", AttemptStatus::kFull}});
}

Settings parse_settings(const Json& json) {
  require_known_fields(json, {"router_number", "router_count", "zone", "classes", "memory_tokens",
                              "max_attempts", "tick_ms", "answer_slack_ms", "drain_grace_ms", "pin_limit_ms",
                              "cold_share", "cold_ms", "tip_multiple", "tip_window_ms"});
  Settings settings;
  settings.router_number = json.at("router_number");
  settings.router_count = json.at("router_count");
  settings.zone = json.at("zone");
  for (const auto& item : json.at("classes").items())
    settings.classes.push_back(parse_class(item.key(), item.value()));
  for (const auto& item : json.at("memory_tokens").items())
    settings.kinds.push_back({item.key(), parse_role(item.key()), item.value()});
  settings.may_cancel = true;
  settings.max_attempts = json.at("max_attempts");
  settings.tick = parse_milliseconds(json, "tick_ms");
  settings.answer_slack = parse_milliseconds(json, "answer_slack_ms");
  settings.drain_grace = parse_milliseconds(json, "drain_grace_ms");
  settings.reservation_limit = parse_milliseconds(json, "pin_limit_ms");
  settings.warmup_initial_share = json.at("cold_share");
  settings.warmup_time = parse_milliseconds(json, "cold_ms");
  settings.overload_multiple = json.at("tip_multiple");
  settings.overload_window = parse_milliseconds(json, "tip_window_ms");
  return settings;
}

EndpointInfo parse_endpoint(const Json& json) {
  const Json object = json.is_string() ? Json{{"host", json}} : json;
  require_known_fields(object, {"host", "zone", "state", "weight", "started_ms"});
  std::string name = object.at("host");
  EndpointInfo endpoint;
  const auto at = name.find('@');
  if (at != std::string::npos) {
    endpoint.cell = std::stoi(name.substr(at + 1));
    name.resize(at);
  }
  endpoint.endpoint = name;
  endpoint.kind =
      parse_word<std::string>(name.substr(0, 1), {{"r", "reader"}, {"w", "writer"}, {"m", "mixed"}});
  endpoint.zone = object.value("zone", "east");
  endpoint.state = parse_state(object.value("state", "ready"));
  endpoint.weight = object.value("weight", 1.0);
  endpoint.started = parse_milliseconds(object, "started_ms");
  return endpoint;
}

LoadReport parse_report(const Json& json) {
  LoadReport report;
  if (json.is_array()) {
    report.prompt_kilotokens = parse_optional(json.at(0));
    report.memory_share = parse_optional(json.at(1));
    return report;
  }
  require_known_fields(json, {"in_hand", "waiting", "memory"});
  report.in_flight = parse_optional(json.value("in_hand", Json()));
  report.prompt_kilotokens = parse_optional(json.value("waiting", Json()));
  report.memory_share = parse_optional(json.value("memory", Json()));
  return report;
}

}  // namespace dispatcher::routing::conformance
