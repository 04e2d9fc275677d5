#include "rate_limit/facts.hpp"

#include "cue/utf8.hpp"

namespace dispatcher::rate_limit {

namespace {
constexpr std::size_t kLongestName = 128;
}

Vocabulary vocabulary_of(const routing::Settings& settings) {
  Vocabulary names;
  for (const auto& c : settings.classes) names.classes.push_back(c.name);
  for (const auto& t : settings.tenants) names.accounts.push_back(t.name);
  return names;
}

void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary) {
  using expression::Kind;
  const auto domain = [](const std::vector<std::string>& names) {
    return names.empty() ? std::nullopt : std::optional(names);
  };
  fields.add({"request.class", Kind::kString, false, kLongestName, domain(vocabulary.classes)});
  fields.add({"request.account", Kind::kString, true, kLongestName, {}});
  fields.add({"request.model", Kind::kString, true, kLongestName, {}});
  fields.add({"request.session", Kind::kString, true, 16, {}});
  fields.add({"request.front", Kind::kString, false, 8, std::vector<std::string>{"platform", "chat"}});
  fields.add({"request.retry", Kind::kBool, false, 0, {}});
  fields.add({"request.prompt_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.shared_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.most_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.time_left_ms", Kind::kInt, false, 0, {}});
}

expression::Value text_value(std::optional<std::string_view> given, std::size_t longest) {
  const bool good = given && given->size() <= longest && cue::invalid_utf8(*given) == std::string_view::npos;
  return good ? expression::Value::of(*given) : expression::Value::of(expression::Fault::kAbsent);
}

void fill_request(const Facts& facts, std::span<char, 16> session,
                  std::span<expression::Value, kRequestFields> values) {
  using expression::Value;
  std::size_t n = 0;
  values[n++] = text_value(facts.request_class, kLongestName);
  values[n++] = text_value(facts.account, kLongestName);
  values[n++] = text_value(facts.model, kLongestName);
  for (std::size_t i = 0; i < 16; ++i) session[i] = "0123456789abcdef"[(facts.session >> (60 - 4 * i)) & 15U];
  values[n++] = facts.session == 0 ? Value::of(expression::Fault::kAbsent)
                                   : Value::of(std::string_view(session.data(), session.size()));
  values[n++] = Value::of(facts.chat ? "chat" : "platform");
  values[n++] = Value::of(facts.retry);
  values[n++] = Value::of(facts.prompt_tokens);
  values[n++] = Value::of(facts.shared_tokens);
  values[n++] = Value::of(facts.max_tokens);
  values[n++] = Value::of(facts.time_left_ms);
}

}  // namespace dispatcher::rate_limit
