// The grammar of expressions, a subset of CEL, read into a tree. Nothing is known of types or fields yet.
#ifndef DISPATCHER_EXPRESSION_SYNTAX_HPP_
#define DISPATCHER_EXPRESSION_SYNTAX_HPP_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "expression/value.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxText = std::size_t{16} * 1024;  // bytes of one expression
inline constexpr int kMaxDepth = 64;                             // of its tree

// What is wrong with an expression; `at`: the byte of its text, from 0.
struct Problem {
  std::size_t at = 0;
  std::string what;
};
struct Errors : std::runtime_error {
  explicit Errors(std::vector<Problem> all);
  std::vector<Problem> problems;
};

enum class Op : std::uint8_t {
  kLiteral,  // of the node's type
  kName,     // text: an identifier
  kSelect,   // kids: of what; text: the field
  kCall,     // text: the function; kids: its arguments, for a method its object first (flag)
  kIndex,    // kids: of what, by what
  kList,
  kMap,  // kids: key, value, key, value ...
  kNot,
  kNegate,
  kAnd,  // two kids or more
  kOr,
  kIf,
  kEqual,
  kUnequal,
  kLess,
  kLessEqual,
  kGreater,
  kGreaterEqual,
  kIn,
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  // Made by the check:
  kField,    // integer: its number
  kPresent,  // has(): integer: the field's number
};

struct Node {
  Op op{};
  std::size_t at = 0;
  Type type;  // set by the check, of literals by the parser
  bool flag = false;
  std::int64_t integer = 0;  // also a boolean
  double real = 0;
  std::string text;
  std::vector<Node> kids;
};

// Throws Errors. Depth and work are bounded by kMostDepth and the text's length.
Node parse(std::string_view text);
std::string to_text(const Node& node);  // one way to write it, whatever the spacing was

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_SYNTAX_HPP_
