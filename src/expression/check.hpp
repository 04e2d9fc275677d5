// Types: an expression against the fields that are declared. What comes out has no names, calls of macros or
// computed lists any more, and every node has its type.
#ifndef DISPATCHER_EXPRESSION_CHECK_HPP_
#define DISPATCHER_EXPRESSION_CHECK_HPP_

#include <string_view>

#include "expression/syntax.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxNodes = 20'000;  // of one expression, once its macros are written out

// Parses and checks. `wanted`: the type that it must have. Throws Errors with all that is wrong.
Node check(std::string_view text, const Environment& fields, Kind wanted);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_CHECK_HPP_
