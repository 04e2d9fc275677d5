// Validation of chat completion requests and derivation of their routing keys.
#include "openai_api/request.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace dispatcher::openai_api {

using Json = nlohmann::json;

namespace {

// Maximum nesting depth, which is far above what requests need.
constexpr int kMaxJsonDepth = 64;
// The usual estimate for English text when no tokenizer is available.
constexpr std::size_t kCharactersPerToken = 4;
// Maximum number of tokens or choices, which is above any model's context length.
constexpr std::int64_t kMaxCount = 1'000'000;

[[noreturn]] void throw_invalid(const char* field, std::string message) {
  throw invalid_field(field, std::move(message));
}

// ---- typed fields; a null value counts as absent ----

const Json* find_member(const Json& object, const char* field) {
  const auto member = object.find(field);
  return member == object.end() || member->is_null() ? nullptr : &*member;
}

bool read_flag(const Json& object, const char* field) {
  const Json* value = find_member(object, field);
  if (value == nullptr) return false;
  if (!value->is_boolean()) throw_invalid(field, std::string(field) + " must be true or false");
  return value->get<bool>();
}

std::string read_text(const Json& object, const char* field) {
  const Json* value = find_member(object, field);
  if (value == nullptr) return {};
  if (!value->is_string()) throw_invalid(field, std::string(field) + " must be text");
  return value->get<std::string>();
}

std::optional<int> read_count(const Json& object, const char* field) {
  const Json* value = find_member(object, field);
  if (value == nullptr) return std::nullopt;
  const std::int64_t count = value->is_number_integer() ? value->get<std::int64_t>() : 0;
  const bool is_valid = count >= 1 && count <= kMaxCount;
  if (!is_valid) throw_invalid(field, std::string(field) + " must be a whole number above 0");
  return value->get<int>();
}

// ---- prompts ----

// Constants of the 64-bit FNV-1a hash (Fowler, Noll, Vo). The basis differs from the published one
// (14695981039346656037). It must not change, because other dispatchers of a fleet compute the same keys with
// it.
constexpr std::uint64_t kFnvOffsetBasis = 1469598103934665603ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// Returns the FNV-1a hash of the text, chained from `state`. The same conversation must give the same key at
// every dispatcher and after every restart. Never returns 0, which means "no key".
std::uint64_t hash(std::string_view text, std::uint64_t state = kFnvOffsetBasis) {
  constexpr std::uint64_t kTerminator = 0xff;  // not in UTF-8 text, so that "a","bc" and "ab","c" differ
  for (const char byte : text) state = (state ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  state = (state ^ kTerminator) * kFnvPrime;
  return state == 0 ? 1 : state;
}

// Lengths and keys of a conversation's messages.
struct Prompt {
  std::size_t characters = 0;
  std::size_t system_characters = 0;   // length of the system message, which conversations share
  std::uint64_t system_key = 0;        // hash of the system message; 0 if there is none
  std::uint64_t conversation_key = 0;  // hash of all messages up to the first user message
};

// Returns a message's text. Its content is a string, or an array of parts of which some are text.
std::string message_text(const Json& message) {
  const Json* value = find_member(message, "content");
  if (value == nullptr) return {};
  if (value->is_string()) return value->get<std::string>();
  if (!value->is_array()) throw_invalid("messages", "content must be text or an array of parts");
  std::string all;
  for (const Json& part : *value) {
    if (!part.is_object()) throw_invalid("messages", "content parts must be objects");
    all += read_text(part, "text");
  }
  return all;
}

std::string read_role(const Json& message) {
  static constexpr std::array kRoles = {"system", "developer", "user", "assistant", "tool", "function"};
  std::string role = read_text(message, "role");
  if (std::find(kRoles.begin(), kRoles.end(), role) == kRoles.end())
    throw_invalid("messages", "unknown role '" + role + "'");
  return role;
}

Prompt read_messages(const Json& object) {
  const Json* messages = find_member(object, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty())
    throw_invalid("messages", "messages must be an array with at least one message");
  Prompt prompt;
  prompt.conversation_key = hash(read_text(object, "user"));
  bool has_user_message = false;  // the messages after the first one differ from turn to turn
  for (const Json& message : *messages) {
    if (!message.is_object()) throw_invalid("messages", "each message must be an object");
    const std::string role = read_role(message);
    const std::string text = message_text(message);
    const bool is_first = &message == &messages->front();
    if (is_first && (role == "system" || role == "developer")) {
      prompt.system_characters = text.size();
      prompt.system_key = hash(text);
    }
    prompt.characters += text.size();
    if (!has_user_message) prompt.conversation_key = hash(text, prompt.conversation_key);
    has_user_message = has_user_message || role == "user";
  }
  return prompt;
}

int estimate_tokens(std::size_t characters) {
  return static_cast<int>((characters + kCharactersPerToken - 1) / kCharactersPerToken);
}

// ---- the request ----

const Model& read_model(const Json& object, const Config& config) {
  const std::string id = read_text(object, "model");
  if (id.empty()) throw_invalid("model", "model is missing");
  const auto found = std::find_if(config.models.begin(), config.models.end(),
                                  [&](const Model& candidate) { return candidate.id == id; });
  if (found == config.models.end()) throw model_not_found(id);
  return *found;
}

void read_stream_options(const Json& object, ChatRequest& request) {
  request.is_stream = read_flag(object, "stream");
  const Json* options = find_member(object, "stream_options");
  if (options == nullptr) return;
  if (!options->is_object()) throw_invalid("stream_options", "stream_options must be an object");
  if (!request.is_stream)
    throw_invalid("stream_options", "stream_options is only allowed where stream is true");
  request.include_usage = read_flag(*options, "include_usage");
}

int read_max_tokens(const Json& object, const Config& config) {
  const auto max_completion_tokens = read_count(object, "max_completion_tokens");
  const auto max_tokens = read_count(object, "max_tokens");  // the older name of the same field
  if (max_completion_tokens) return *max_completion_tokens;
  return max_tokens.value_or(config.default_max_tokens);
}

// Returns the key of a conversation. The client's prompt_cache_key identifies it or, without one, its first
// messages do.
std::uint64_t session_key(const Json& object, const std::string& account, const Prompt& prompt) {
  const std::string cache_key = read_text(object, "prompt_cache_key");
  const std::uint64_t conversation_key = cache_key.empty() ? prompt.conversation_key : hash(cache_key);
  return hash(account, conversation_key);
}

// Returns the client's request with the options set that stream the response, with the usage at its end.
std::string upstream_body(Json object) {
  object["stream"] = true;
  object["stream_options"] = {{"include_usage", true}};
  return object.dump();
}

}  // namespace

Json parse_json(std::string_view text) {
  bool is_too_deep = false;
  const auto check_depth = [&is_too_deep](int depth, Json::parse_event_t, Json&) {
    is_too_deep = is_too_deep || depth > kMaxJsonDepth;
    return !is_too_deep;
  };
  Json object = Json::parse(text, check_depth, false);
  return is_too_deep ? Json(Json::value_t::discarded) : object;
}

ChatRequest parse_request(std::string_view body, const Config& config, const std::string& account) {
  Json object = parse_json(body);
  if (!object.is_object()) throw invalid_request("the body is not a JSON object");
  ChatRequest request;
  request.model = &read_model(object, config);
  read_stream_options(object, request);
  if (read_count(object, "n").value_or(1) != 1) throw_invalid("n", "only one choice is offered: n must be 1");
  const int max_tokens = read_max_tokens(object, config);
  const Prompt prompt = read_messages(object);

  routing::Request& routing = request.routing;
  routing.request_class = request.model->request_class->name;
  routing.tenant = account;
  routing.shared_prefix = prompt.system_key;
  routing.prefix_tokens = estimate_tokens(prompt.system_characters);
  routing.prompt_tokens = estimate_tokens(prompt.characters);
  routing.max_tokens = max_tokens;
  routing.session = session_key(object, account, prompt);
  request.body = upstream_body(std::move(object));
  return request;
}

routing::Duration time_to_first_token(const ChatRequest& request,
                                      const routing::RequestClass& request_class) {
  // The deadline grows by twice as much with the prompt as the latency objective does.
  const double growth = 2.0 * static_cast<double>(request_class.latency_objective_per_1000_tokens.count()) *
                        request.routing.prompt_tokens / 1000.0;
  return request.model->deadline.value_or(request_class.deadline) + routing::Duration(std::llround(growth));
}

}  // namespace dispatcher::openai_api
