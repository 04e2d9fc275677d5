// Why a request meets the rule that it meets: for operators who wonder about a file.
#ifndef DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
#define DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_

#include <map>
#include <string>
#include <vector>

#include "rate_limit/rules.hpp"

namespace dispatcher::rate_limit {

// A request as a file describes it: a record with the names that expressions use.
struct Sample {
  std::string request_class, account, model, session;
  bool has_model = false;
  Facts facts;                                 // views into the texts above and below
  std::map<std::string, std::string> headers;  // by their names on the wire
};

// Throws cue::Errors. `rules`: whose headers the sample may give.
std::unique_ptr<Sample> read_sample(const cue::File& file, const RuleSet& rules);

// A line for each rule up to the one that matches (of more than `most` only the last ones), then what that
// one computes.
std::vector<std::string> explain(const RuleSet& rules, const Facts& facts, std::size_t maximum = 50);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_EXPLAIN_HPP_
