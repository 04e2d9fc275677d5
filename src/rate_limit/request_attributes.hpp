// The attributes of a request that expressions of rules may use: the fields, and their values for one
// request.
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

// The names that the settings know. An empty list: any name may occur.
struct Vocabulary {
  std::vector<std::string> classes, accounts;
};

// The names of the settings' classes and tenants.
[[nodiscard]] Vocabulary vocabulary_of(const routing::Settings& settings);

// What is known of a request before anything is reserved or sent for it. The views need to be valid only
// while the request is decided.
struct RequestAttributes {
  std::string_view request_class, account;
  std::optional<std::string_view> model;
  std::uint64_t session = 0;  // 0: none
  std::int64_t prompt_tokens = 0, shared_tokens = 0, max_tokens = 0, time_left_ms = 0;
  bool is_openai_api = false;  // else it came by the platform's own API
  bool is_retry = false;
  std::vector<std::optional<std::string_view>> headers;  // in the order of RuleSet::headers()
};

// The number of fields that add_request_fields() adds: request.class, request.account and so on.
inline constexpr std::size_t kRequestFields = 10;
// Declares them, in the order of fill_request_fields().
void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary);

// A session in hexadecimal.
using SessionText = std::array<char, 16>;

// The values of the fields of add_request_fields(), in the same order. `session_text` is written, and must
// outlive the values, as must the attributes.
void fill_request_fields(const RequestAttributes& attributes, SessionText& session_text,
                         std::span<expression::Value, kRequestFields> values);

// A text as expressions may see it: absent where it is longer than `max_length` bytes or no valid UTF-8.
[[nodiscard]] expression::Value text_value(std::optional<std::string_view> text, std::size_t max_length);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_REQUEST_ATTRIBUTES_HPP_
