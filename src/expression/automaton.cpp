#include "expression/automaton.hpp"

#include <re2/re2.h>

#include "expression/nfa.hpp"
#include "expression/pattern_parser.hpp"

namespace dispatcher::expression {

namespace {

constexpr std::int64_t kMaxRe2Bytes = 1 << 20;  // memory limit of RE2's own program

// Throws PatternError if RE2 rejects the pattern. RE2 decides which patterns are well-formed, so that its
// syntax is not defined a second time here.
void check_syntax(const std::string& pattern) {
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(kMaxRe2Bytes);
  const re2::RE2 parsed(pattern, options);
  if (!parsed.ok()) throw PatternError(parsed.error());
}

Dfa build(const std::string& pattern) {
  check_syntax(pattern);
  return build_dfa(build_nfa(parse_pattern(pattern)));
}

}  // namespace

Automaton::Automaton(const std::string& pattern) : dfa_(build(pattern)) {}

}  // namespace dispatcher::expression
