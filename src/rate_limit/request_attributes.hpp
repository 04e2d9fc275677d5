// The attributes of a request that expressions of rules may use: their fields, and the values of these for
// one request.
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

// The names that the settings define. An empty list: any name may occur.
struct Vocabulary {
  std::vector<std::string> classes, accounts;
};

// The names of the settings' classes and tenants.
[[nodiscard]] Vocabulary vocabulary_of(const routing::Settings& settings);

// What is known of a request on its arrival. The views need to be valid only while the request is decided.
struct RequestAttributes {
  std::string_view request_class, account;
  std::optional<std::string_view> model;
  std::uint64_t session = 0;  // 0: none
  std::int64_t prompt_tokens = 0;
  std::int64_t shared_tokens = 0;  // of the prompt, the prefix that it shares with other requests
  std::int64_t max_tokens = 0;     // of the answer
  std::int64_t time_left_ms = 0;   // until the client's deadline
  bool is_openai_api = false;      // else the platform's own API
  bool is_retry = false;           // by the client, of a request that it sent before
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
  kRequestFields  // their number
};
// Declares the fields of a request.
void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary);

// A session's 64 bits as hexadecimal digits.
using SessionText = std::array<char, 16>;

// The values of the fields of add_request_fields(), in the same order. `session_text` is written, and must
// outlive the values, as must the attributes.
void fill_request_fields(const RequestAttributes& attributes, SessionText& session_text,
                         std::span<expression::Value, kRequestFields> values);

// A text as expressions may see it: absent where it is longer than `max_length` bytes or no valid UTF-8.
[[nodiscard]] expression::Value text_value(std::optional<std::string_view> text, std::size_t max_length);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_REQUEST_ATTRIBUTES_HPP_
