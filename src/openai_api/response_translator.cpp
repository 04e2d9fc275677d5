// Translation of single events and collection of complete responses.
#include "openai_api/response_translator.hpp"

#include <utility>

#include "openai_api/request.hpp"

namespace dispatcher::openai_api {

using Json = nlohmann::json;

namespace {

constexpr std::string_view kEndOfStream = "[DONE]";

// Invalid UTF-8 from an endpoint is replaced, as dumping it would throw.
std::string dump(const Json& object) { return object.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string data_event(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

const Json* find_member(const Json& object, const char* field, Json::value_t type) {
  if (!object.is_object()) return nullptr;
  const auto member = object.find(field);
  return member != object.end() && member->type() == type ? &*member : nullptr;
}

bool has_integer(const Json& object, const char* field) {
  return object.contains(field) && object[field].is_number_integer();
}

// Adds the total number of tokens, which clients read and an endpoint may leave out.
void add_total_tokens(Json& usage) {
  if (usage.contains("total_tokens")) return;
  if (!has_integer(usage, "prompt_tokens") || !has_integer(usage, "completion_tokens")) return;
  usage["total_tokens"] =
      usage["prompt_tokens"].get<std::int64_t>() + usage["completion_tokens"].get<std::int64_t>();
}

// Adds the role to a choice's delta if it is missing. The first delta of a stream must have it.
void add_role(Json& choice) {
  if (!choice.is_object() || !choice.contains("delta") || !choice["delta"].is_object()) return;
  if (!choice["delta"].contains("role")) choice["delta"]["role"] = "assistant";
}

}  // namespace

ResponseTranslator::ResponseTranslator(ResponseFormat format)
    : format_(std::move(format)), message_{{"role", "assistant"}, {"content", ""}} {}

std::string ResponseTranslator::translate(std::string_view events) {
  std::string translated;
  for (const std::string& event : framer_.append(events)) translated += translate_event(event);
  return translated;
}

std::string ResponseTranslator::translate_event(std::string_view event) {
  const std::string data = http::event_field(event, "data");
  if (data.empty() || is_complete_) return {};  // comments carry load reports, which clients must not get
  if (data == kEndOfStream) {
    is_complete_ = true;
    return is_stream() ? data_event(kEndOfStream) : std::string();
  }
  Json chunk = parse_json(data);
  if (!chunk.is_object()) return {};
  collect(chunk);
  return is_stream() ? complete_chunk(std::move(chunk)) : std::string();
}

void ResponseTranslator::collect(const Json& chunk) {
  if (const Json* usage = find_member(chunk, "usage", Json::value_t::object)) usage_ = *usage;
  const Json* choices = find_member(chunk, "choices", Json::value_t::array);
  if (choices == nullptr || choices->empty()) return;
  const Json& choice = choices->front();
  if (const Json* reason = find_member(choice, "finish_reason", Json::value_t::string))
    finish_reason_ = *reason;
  if (is_stream()) return;
  const Json* delta = find_member(choice, "delta", Json::value_t::object);
  if (delta == nullptr) return;
  const Json* content = find_member(*delta, "content", Json::value_t::string);
  if (content == nullptr) return;
  const auto& text = content->get_ref<const std::string&>();
  message_["content"].get_ref<std::string&>() += text;
  collected_bytes_ += text.size();
}

// Adds the fields that the API's clients read and an endpoint may leave out. Existing fields are not changed.
std::string ResponseTranslator::complete_chunk(Json chunk) {
  const bool has_choices = chunk.contains("choices") && chunk["choices"].is_array();
  const bool is_only_usage = has_choices && chunk["choices"].empty() && chunk.contains("usage");
  if (is_only_usage && !format_.include_usage) return {};
  if (!chunk.contains("id")) chunk["id"] = format_.id;
  if (!chunk.contains("object")) chunk["object"] = "chat.completion.chunk";
  if (!chunk.contains("created")) chunk["created"] = format_.created;
  if (!chunk.contains("model")) chunk["model"] = format_.model;
  if (has_choices && !chunk["choices"].empty() && !std::exchange(has_role_, true))
    add_role(chunk["choices"].front());
  return data_event(dump(chunk));
}

std::string ResponseTranslator::completion() const {
  const Json choice{{"index", 0},
                    {"message", message_},
                    {"finish_reason", finish_reason_.is_null() ? Json("stop") : finish_reason_}};
  Json object{{"id", format_.id},
              {"object", "chat.completion"},
              {"created", format_.created},
              {"model", format_.model},
              {"choices", Json::array({choice})}};
  if (!usage_.is_null()) {
    Json usage = usage_;
    add_total_tokens(usage);
    object["usage"] = std::move(usage);
  }
  return dump(object);
}

}  // namespace dispatcher::openai_api
