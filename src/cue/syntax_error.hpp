// The exception by which the parts of the parser report an error to it.
#ifndef DISPATCHER_CUE_SYNTAX_ERROR_HPP_
#define DISPATCHER_CUE_SYNTAX_ERROR_HPP_

#include <string>

namespace dispatcher::cue {

/// Ends the parsing of one declaration. Parser in parser.cpp catches it and adds line and column, so it
/// leaves no file of this package. `at` points into the text that is parsed.
struct SyntaxError {
  const char* at;
  std::string what;
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SYNTAX_ERROR_HPP_
