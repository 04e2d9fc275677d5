// The exception that the parts of the parser throw to report a syntax error.
#ifndef DISPATCHER_CUE_SYNTAX_ERROR_HPP_
#define DISPATCHER_CUE_SYNTAX_ERROR_HPP_

#include <string>

namespace dispatcher::cue {

/// Thrown to end the parsing of one declaration. Parser in parser.cpp catches it and adds line and column, so
/// it never leaves this package. `at` points into the text being parsed.
struct SyntaxError {
  const char* at;
  std::string what;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SYNTAX_ERROR_HPP_
