// The attributes of a request that expressions in rules may use, as fields and as the values of these fields
// for one request.
#ifndef DISPATCHER_RATE_LIMIT_REQUEST_ATTRIBUTES_HPP_
#define DISPATCHER_RATE_LIMIT_REQUEST_ATTRIBUTES_HPP_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "expression/value.hpp"
#include "routing/router.hpp"

namespace dispatcher::rate_limit {

// The names that the settings define. If a list is empty, any name is allowed.
struct Vocabulary {
  std::vector<std::string> classes, accounts;
};

// Returns the names of the classes and tenants in the settings.
[[nodiscard]] Vocabulary vocabulary_of(const routing::Settings& settings);

// What is known about a request on its arrival. The views must stay valid until the rules have been
// evaluated.
struct RequestAttributes {
  std::string_view request_class, account;
  std::optional<std::string_view> model;
  std::uint64_t session = 0;  // 0 if there is none
  std::int64_t prompt_tokens = 0;
  std::int64_t shared_tokens = 0;                        // length of the prompt's shared prefix
  std::int64_t max_tokens = 0;                           // maximum length of the answer
  std::int64_t time_left_ms = 0;                         // until the client's deadline
  bool is_openai_api = false;                            // false: the platform's own API
  bool is_retry = false;                                 // the client has sent the request before
  std::vector<std::optional<std::string_view>> headers;  // in the order of RuleSet::headers()
};

// Indices of the fields that add_request_fields() adds, in its order: request.class, request.account and so
// on.
enum RequestField : std::size_t {
  kClassField,
  kAccountField,
  kModelField,
  kSessionField,
  kFrontendField,
  kRetryField,
  kPromptTokensField,
  kSharedTokensField,
  kMaxTokensField,
  kTimeLeftField,
  kRequestFields  // number of fields
};
// Adds the fields of a request to `fields`.
void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary);

// A session's 64 bits as hexadecimal digits.
using SessionText = std::array<char, 16>;

// Sets `values` to the values of the fields that add_request_fields() adds, in the same order. Writes
// `session_text`, which must outlive the values. The attributes must outlive them too.
void fill_request_fields(const RequestAttributes& attributes, SessionText& session_text,
                         std::span<expression::Value, kRequestFields> values);

// Returns a text as a value for expressions, or absent if it is missing, longer than `max_length` bytes or
// not valid UTF-8.
[[nodiscard]] expression::Value text_value(std::optional<std::string_view> text, std::size_t max_length);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_REQUEST_ATTRIBUTES_HPP_
