// Explains to operators why a request matches a rule and no earlier one.
#ifndef DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
#define DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rate_limit/rules.hpp"

namespace dispatcher::rate_limit {

// A sample request read from a file, whose fields are named as in expressions. Must not be moved, since
// `attributes` refers to the other members.
struct SampleRequest {
  std::string request_class, account;
  std::optional<std::string> model;
  std::map<std::string, std::string> headers;  // by the names that HTTP messages use
  RequestAttributes attributes;
};

// Reads a sample request. Of its headers, only those that `rules` declares become attributes. Throws
// cue::Errors if the file is invalid.
[[nodiscard]] std::unique_ptr<SampleRequest> read_sample(const cue::File& file, const RuleSet& rules);

// Returns one line of text for each rule up to the one that matches, then one line for each result and limit
// of the matching rule. Of the rules that do not match, reports only the last `max_rules`.
[[nodiscard]] std::vector<std::string> explain(const RuleSet& rules, const RequestAttributes& attributes,
                                               std::size_t max_rules = 50);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
