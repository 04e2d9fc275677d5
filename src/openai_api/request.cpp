#include "openai_api/request.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace dispatcher::openai_api {

using Json = nlohmann::json;

namespace {

constexpr int kMaxDepth = 64;
constexpr std::size_t kCharactersPerToken = 4;

[[noreturn]] void bad(const std::string& message, const char* param) {
  throw ApiError{400, message, "invalid_request_error", param, std::nullopt};
}

const Json* member(const Json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

bool flag(const Json& object, const char* field) {
  const Json* value = member(object, field);
  if (value == nullptr) return false;
  if (!value->is_boolean()) bad(std::string(field) + " must be true or false", field);
  return value->get<bool>();
}

std::string text(const Json& object, const char* field) {
  const Json* value = member(object, field);
  if (value == nullptr) return {};
  if (!value->is_string()) bad(std::string(field) + " must be text", field);
  return value->get<std::string>();
}

std::optional<int> count(const Json& object, const char* field) {
  const Json* value = member(object, field);
  if (value == nullptr) return std::nullopt;
  if (!value->is_number_integer() || value->get<std::int64_t>() < 1 || value->get<std::int64_t>() > 1'000'000)
    bad(std::string(field) + " must be a whole number above 0", field);
  return value->get<int>();
}

// FNV-1a: the same conversation must give the same key at every dispatcher and after every restart.
std::uint64_t hash(std::string_view text, std::uint64_t h = 1469598103934665603ULL) {
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  h = (h ^ 0xffU) * 1099511628211ULL;  // an end, so that "a","bc" is not "ab","c"
  return h == 0 ? 1 : h;
}

struct Prompt {
  std::size_t characters = 0, opening = 0;  // opening: of the first message
  std::uint64_t opening_key = 0, session_key = 0;
};

// A message's text: a string, or parts of which some are text.
std::string content(const Json& message) {
  const Json* value = member(message, "content");
  if (value == nullptr) return {};
  if (value->is_string()) return value->get<std::string>();
  if (!value->is_array()) bad("content must be text or an array of parts", "messages");
  std::string all;
  for (const Json& part : *value) {
    if (!part.is_object()) bad("content parts must be objects", "messages");
    all += text(part, "text");
  }
  return all;
}

Prompt read_messages(const Json& object) {
  const Json* messages = member(object, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty())
    bad("messages must be an array with at least one message", "messages");
  static constexpr std::array kRoles = {"system", "developer", "user", "assistant", "tool", "function"};
  Prompt prompt;
  std::uint64_t key = hash(text(object, "user"));
  bool opened = false;  // past the first user message: what follows differs from turn to turn
  for (const Json& message : *messages) {
    if (!message.is_object()) bad("each message must be an object", "messages");
    const std::string role = text(message, "role");
    if (std::find(kRoles.begin(), kRoles.end(), role) == kRoles.end())
      bad("unknown role '" + role + "'", "messages");
    const std::string words = content(message);
    if (&message == &messages->front() && (role == "system" || role == "developer")) {
      prompt.opening = words.size();
      prompt.opening_key = hash(words);
    }
    prompt.characters += words.size();
    if (!opened) key = hash(words, key);
    opened = opened || role == "user";
  }
  prompt.session_key = key;
  return prompt;
}

int tokens(std::size_t characters) {
  return static_cast<int>((characters + kCharactersPerToken - 1) / kCharactersPerToken);
}

}  // namespace

std::string to_body(const ApiError& error) {
  Json object{{"message", error.message}, {"type", error.type}, {"param", nullptr}, {"code", nullptr}};
  if (error.param) object["param"] = *error.param;
  if (error.code) object["code"] = *error.code;
  return Json{{"error", object}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ApiError no_such_model(std::string_view id) {
  return {404, "the model '" + std::string(id) + "' does not exist", "invalid_request_error", "model",
          "model_not_found"};
}

Json parse_json(std::string_view source) {
  bool deep = false;
  const Json object = Json::parse(
      source,
      [&deep](int depth, Json::parse_event_t, Json&) {
        deep = deep || depth > kMaxDepth;
        return !deep;
      },
      false);
  return deep ? Json(Json::value_t::discarded) : object;
}

ChatRequest parse_request(std::string_view body, const Config& config, const std::string& account) {
  Json object = parse_json(body);
  if (!object.is_object())
    throw ApiError{400, "the body is not a JSON object", "invalid_request_error", {}, {}};
  ChatRequest request;
  const std::string model = text(object, "model");
  if (model.empty()) bad("model is missing", "model");
  const auto found =
      std::find_if(config.models.begin(), config.models.end(), [&](const Model& m) { return m.id == model; });
  if (found == config.models.end()) throw no_such_model(model);
  request.model = &*found;
  request.stream = flag(object, "stream");
  if (const Json* options = member(object, "stream_options")) {
    if (!options->is_object()) bad("stream_options must be an object", "stream_options");
    if (!request.stream) bad("stream_options is only allowed where stream is true", "stream_options");
    request.include_usage = flag(*options, "include_usage");
  }
  if (count(object, "n").value_or(1) != 1) bad("only one choice is offered: n must be 1", "n");
  const auto limit = count(object, "max_completion_tokens");
  const auto old_limit = count(object, "max_tokens");
  const Prompt prompt = read_messages(object);

  routing::Request& r = request.routing;
  r.request_class = found->cls->name;
  r.tenant = account;
  r.shared_prefix = prompt.opening_key;
  r.prefix_tokens = tokens(prompt.opening);
  r.prompt_tokens = tokens(prompt.characters);
  r.max_tokens = limit ? *limit : old_limit.value_or(config.default_max_tokens);
  // Clients that name their conversation know best; else its first words do.
  const std::string named = text(object, "prompt_cache_key");
  r.session = hash(account, named.empty() ? prompt.session_key : hash(named));

  object["stream"] = true;
  object["stream_options"] = {{"include_usage", true}};
  request.body = object.dump();
  return request;
}

routing::Duration time_to_first_token(const ChatRequest& request, const routing::RequestClass& cls) {
  // The deadline grows by twice as much with the prompt as the wanted time does.
  const double growth = 2.0 * static_cast<double>(cls.latency_objective_per_1000_tokens.count()) *
                        request.routing.prompt_tokens / 1000.0;
  return request.model->deadline.value_or(cls.deadline) + routing::Duration(std::llround(growth));
}

}  // namespace dispatcher::openai_api
