// An explanation of why a request matches a rule and no earlier one, for operators.
#ifndef DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
#define DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rate_limit/rules.hpp"

namespace dispatcher::rate_limit {

// A request that is read from a file: a record with the names that expressions use. It must not be moved,
// since the attributes are views of its own members.
struct SampleRequest {
  std::string request_class, account;
  std::optional<std::string> model;
  std::map<std::string, std::string> headers;  // by their names on the wire
  RequestAttributes attributes;
};

// Throws cue::Errors where the file is invalid. `rules`: their headers are those that the sample may have.
[[nodiscard]] std::unique_ptr<SampleRequest> read_sample(const cue::File& file, const RuleSet& rules);

// A line of text for each rule up to the one that matches (of more than `max_rules` only the last ones), then
// what that one computes.
[[nodiscard]] std::vector<std::string> explain(const RuleSet& rules, const RequestAttributes& attributes,
                                               std::size_t max_rules = 50);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
