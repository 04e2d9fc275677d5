// What expressions may ask of a request: the fields, and their values for one.
#ifndef DISPATCHER_RATE_LIMIT_FACTS_HPP_
#define DISPATCHER_RATE_LIMIT_FACTS_HPP_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "expression/value.hpp"
#include "routing/router.hpp"

namespace dispatcher::rate_limit {

// The names that the platform's settings know. None of a kind: any name may come.
struct Vocabulary {
  std::vector<std::string> classes, accounts;
};

Vocabulary vocabulary_of(const routing::Settings& settings);

// What is known of a request before anything is taken or sent. Views outlive the decision only.
struct Facts {
  std::string_view request_class, account;
  std::optional<std::string_view> model;
  std::uint64_t session = 0;  // 0: none
  std::int64_t prompt_tokens = 0, shared_tokens = 0, max_tokens = 0, time_left_ms = 0;
  bool chat = false, retry = false;
  std::vector<std::optional<std::string_view>> headers;  // as RuleSet::headers() lists them
};

// Adds request.class, request.account and the rest, kRequestFields of them.
inline constexpr std::size_t kRequestFields = 10;
void add_request_fields(expression::Environment& fields, const Vocabulary& vocabulary);
// Their values, in the same order. `session` holds the session's text for as long as they are used.
void fill_request(const Facts& facts, std::span<char, 16> session,
                  std::span<expression::Value, kRequestFields> values);

// A text as expressions may see it: absent where it is longer than declared or no UTF-8.
expression::Value text_value(std::optional<std::string_view> given, std::size_t longest);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_FACTS_HPP_
