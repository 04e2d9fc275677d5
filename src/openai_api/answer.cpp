#include "openai_api/answer.hpp"

#include <utility>

#include "openai_api/request.hpp"

namespace dispatcher::openai_api {

using Json = nlohmann::json;

namespace {
std::string event(const Json& data) {
  return "data: " + data.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
}

const Json* find(const Json& object, const char* field, Json::value_t type) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(field);
  return it != object.end() && it->type() == type ? &*it : nullptr;
}
}  // namespace

Answer::Answer(std::string id, std::string model, std::int64_t created, bool stream, bool include_usage)
    : id_(std::move(id)),
      model_(std::move(model)),
      created_(created),
      stream_(stream),
      include_usage_(include_usage),
      message_{{"role", "assistant"}, {"content", ""}} {}

std::string Answer::take(std::string_view events) {
  std::string out;
  for (const std::string& one : framer_.feed(events)) out += take_event(one);
  return out;
}

std::string Answer::take_event(std::string_view raw) {
  const std::string data = http::event_field(raw, "data");
  if (data.empty() || done_) return {};  // comments are the replica's word to us
  if (data == "[DONE]") {
    done_ = true;
    return stream_ ? std::string("data: [DONE]\n\n") : std::string();
  }
  Json chunk = parse_json(data);
  if (!chunk.is_object()) return {};
  collect(chunk);
  return stream_ ? translate(std::move(chunk)) : std::string();
}

void Answer::collect(const Json& chunk) {
  if (const Json* usage = find(chunk, "usage", Json::value_t::object)) usage_ = *usage;
  const Json* choices = find(chunk, "choices", Json::value_t::array);
  if (choices == nullptr || choices->empty()) return;
  const Json& choice = choices->front();
  if (const Json* reason = find(choice, "finish_reason", Json::value_t::string)) finish_reason_ = *reason;
  if (stream_) return;
  if (const Json* delta = find(choice, "delta", Json::value_t::object)) {
    const Json* text = find(*delta, "content", Json::value_t::string);
    if (text == nullptr) return;
    message_["content"].get_ref<std::string&>() += text->get_ref<const std::string&>();
    collected_ += text->get_ref<const std::string&>().size();
  }
}

// Adds what the standard's clients read and a replica may leave out; changes nothing that is there.
std::string Answer::translate(Json chunk) {
  Json* choices = chunk.contains("choices") && chunk["choices"].is_array() ? &chunk["choices"] : nullptr;
  const bool only_usage = choices != nullptr && choices->empty() && chunk.contains("usage");
  if (only_usage && !include_usage_) return {};
  if (!chunk.contains("id")) chunk["id"] = id_;
  if (!chunk.contains("object")) chunk["object"] = "chat.completion.chunk";
  if (!chunk.contains("created")) chunk["created"] = created_;
  if (!chunk.contains("model")) chunk["model"] = model_;
  if (choices != nullptr && !choices->empty() && !std::exchange(begun_, true)) {
    Json& choice = choices->front();
    if (choice.is_object() && choice.contains("delta") && choice["delta"].is_object() &&
        !choice["delta"].contains("role"))
      choice["delta"]["role"] = "assistant";
  }
  return event(chunk);
}

std::string Answer::completion() const {
  Json object{{"id", id_},
              {"object", "chat.completion"},
              {"created", created_},
              {"model", model_},
              {"choices",
               Json::array({{{"index", 0},
                             {"message", message_},
                             {"finish_reason", finish_reason_.is_null() ? Json("stop") : finish_reason_}}})}};
  if (!usage_.is_null()) {
    object["usage"] = usage_;
    Json& usage = object["usage"];
    const auto number = [&](const char* field) {
      return usage.contains(field) && usage[field].is_number_integer();
    };
    if (!usage.contains("total_tokens") && number("prompt_tokens") && number("completion_tokens"))
      usage["total_tokens"] =
          usage["prompt_tokens"].get<std::int64_t>() + usage["completion_tokens"].get<std::int64_t>();
  }
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace dispatcher::openai_api
