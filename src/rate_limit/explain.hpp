// Why a request matches the rule that it matches: for operators who wonder about a file.
#ifndef DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
#define DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rate_limit/rules.hpp"

namespace dispatcher::rate_limit {

// A request as a file describes it: a record with the names that expressions use. Not to be moved, as the
// attributes are views into its own texts.
struct SampleRequest {
  std::string request_class, account;
  std::optional<std::string> model;
  std::map<std::string, std::string> headers;  // by their names on the wire
  RequestAttributes attributes;
};

// Throws cue::Errors. `rules`: whose headers the sample may give.
[[nodiscard]] std::unique_ptr<SampleRequest> read_sample(const cue::File& file, const RuleSet& rules);

// A line of text for each rule up to the one that matches (of more than `max_rules` only the last ones), then
// what that one computes.
[[nodiscard]] std::vector<std::string> explain(const RuleSet& rules, const RequestAttributes& attributes,
                                               std::size_t max_rules = 50);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
