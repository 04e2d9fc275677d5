// `llm-dispatcher rules ...`: checks, explains and benchmarks rate limiting rules.
#ifndef DISPATCHER_DAEMON_RULES_COMMAND_HPP_
#define DISPATCHER_DAEMON_RULES_COMMAND_HPP_

#include <iosfwd>
#include <string>
#include <vector>

#include "cue/syntax.hpp"
#include "rate_limit/rules.hpp"

namespace dispatcher::daemon {

// Whether `rules check` prints the worst cost of each rule.
enum class RuleCosts { kHidden, kShown };

// All of these functions return the exit status: 0, or 1 if a file is invalid, which is reported to `errors`.
// `names` holds the classes and accounts that rules may use.

// Checks files and prints their worst costs: one line per file and, with RuleCosts::kShown, one line per
// rule.
int rules_check(const std::vector<cue::File>& files, const rate_limit::Vocabulary& names, RuleCosts costs,
                std::ostream& out, std::ostream& errors);
// Prints which rule matches a request, and why no earlier one does.
int rules_explain(const cue::File& file, const cue::File& request, const rate_limit::Vocabulary& names,
                  std::ostream& out, std::ostream& errors);
// Measures the time of decisions over `requests` random requests, whose text fields mostly have values that
// the rules name.
int rules_bench(const cue::File& file, std::size_t requests, const rate_limit::Vocabulary& names,
                std::ostream& out, std::ostream& errors);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RULES_COMMAND_HPP_
