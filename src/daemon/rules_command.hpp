// `llm-dispatcher rules ...`: files of rules, checked, explained and measured without a dispatcher.
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

// Each returns the exit status: 0, or 1 where a file is bad.
int rules_check(const std::vector<cue::File>& files, const rate_limit::Vocabulary& names, RuleCosts costs,
                std::ostream& out, std::ostream& errors);
int rules_explain(const cue::File& file, const cue::File& request, const rate_limit::Vocabulary& names,
                  std::ostream& out, std::ostream& errors);
// Decides `requests` random requests that are made of the values the rules ask for.
int rules_bench(const cue::File& file, std::size_t requests, const rate_limit::Vocabulary& names,
                std::ostream& out, std::ostream& errors);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_RULES_COMMAND_HPP_
