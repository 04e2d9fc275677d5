#include "rate_limit/request_attributes.hpp"

#include <tuple>

#include "cue/utf8.hpp"

namespace dispatcher::rate_limit {

namespace {

// Maximum length of a class, an account or a model, in bytes. A longer one counts as absent. The worst-case
// cost of an expression is computed from this maximum.
constexpr std::size_t kMaxNameLength = 128;

// The values of request.front.
constexpr std::string_view kPlatformFrontend = "platform";  // the longer of the two
constexpr std::string_view kOpenAiFrontend = "chat";

SessionText hexadecimal(std::uint64_t session) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  SessionText text{};
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[session % kDigits.size()];
    session >>= kBitsPerDigit;
  }
  return text;
}

}  // namespace

Vocabulary vocabulary_of(const routing::Settings& settings) {
  Vocabulary vocabulary;
  for (const auto& request_class : settings.classes) vocabulary.classes.push_back(request_class.name);
  for (const auto& tenant : settings.tenants) vocabulary.accounts.push_back(tenant.name);
  return vocabulary;
}

void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary) {
  using expression::Kind;
  using Names = std::vector<std::string>;
  const std::optional<Names> classes =
      vocabulary.classes.empty() ? std::nullopt : std::optional(vocabulary.classes);
  fields.add({"request.class", Kind::kString, false, kMaxNameLength, classes});
  fields.add({"request.account", Kind::kString, true, kMaxNameLength, {}});
  fields.add({"request.model", Kind::kString, true, kMaxNameLength, {}});
  fields.add({"request.session", Kind::kString, true, std::tuple_size_v<SessionText>, {}});
  fields.add({"request.front", Kind::kString, false, kPlatformFrontend.size(),
              Names{std::string(kPlatformFrontend), std::string(kOpenAiFrontend)}});
  fields.add({"request.retry", Kind::kBool, false, 0, {}});
  fields.add({"request.prompt_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.shared_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.most_tokens", Kind::kInt, false, 0, {}});
  fields.add({"request.time_left_ms", Kind::kInt, false, 0, {}});
}

expression::Value text_value(std::optional<std::string_view> text, std::size_t max_length) {
  const bool is_valid =
      text && text->size() <= max_length && cue::invalid_utf8(*text) == std::string_view::npos;
  return is_valid ? expression::Value::of(*text)
                  : expression::Value::of(expression::EvaluationError::kAbsent);
}

void fill_request_fields(const RequestAttributes& attributes, SessionText& session_text,
                         std::span<expression::Value, kRequestFields> values) {
  using expression::Value;
  session_text = hexadecimal(attributes.session);
  const Value session = attributes.session == 0
                            ? Value::of(expression::EvaluationError::kAbsent)
                            : Value::of(std::string_view(session_text.data(), session_text.size()));
  values[kClassField] = text_value(attributes.request_class, kMaxNameLength);
  values[kAccountField] = text_value(attributes.account, kMaxNameLength);
  values[kModelField] = text_value(attributes.model, kMaxNameLength);
  values[kSessionField] = session;
  values[kFrontendField] = Value::of(attributes.is_openai_api ? kOpenAiFrontend : kPlatformFrontend);
  values[kRetryField] = Value::of(attributes.is_retry);
  values[kPromptTokensField] = Value::of(attributes.prompt_tokens);
  values[kSharedTokensField] = Value::of(attributes.shared_tokens);
  values[kMaxTokensField] = Value::of(attributes.max_tokens);
  values[kTimeLeftField] = Value::of(attributes.time_left_ms);
}

}  // namespace dispatcher::rate_limit
