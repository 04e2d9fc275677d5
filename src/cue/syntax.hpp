// The syntax tree of a configuration file under deploy/, and its parser. The language is a subset of CUE,
// JSON included; docs/design/matching.md describes it. Evaluator evaluates the tree.
#ifndef DISPATCHER_CUE_SYNTAX_HPP_
#define DISPATCHER_CUE_SYNTAX_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "cue/bound_operator.hpp"
#include "cue/errors.hpp"
#include "cue/scalar.hpp"
#include "cue/source.hpp"

namespace dispatcher::cue {

inline constexpr std::size_t kMaxNesting = 48;  // of values, including brackets; bounds the recursion

/// The kind of an expression. The comments name the members of Expression that each kind uses.
enum class ExpressionKind {
  kLiteral,      // literal
  kType,         // name: null, bool, int, float, number or string
  kTop,          // `_`, any value
  kBottom,       // `_|_`, no value
  kReference,    // name: #Name or _name
  kBound,        // bound_operator; children: the operand, a literal
  kConjunction,  // children: the operands of `&`
  kDisjunction,  // children: the operands of `|`
  kDefault,      // children: the disjunct that `*` marks; only within kDisjunction
  kStruct,       // fields, is_open
  kList          // children: the elements, is_open
};

/// A node of the syntax tree. It owns its children.
struct Expression {
  /// A field of a struct.
  struct Field {
    enum class Kind {
      kRegular,     // label: value
      kOptional,    // label?: value
      kDefinition,  // #Name: value, or _name: value
      kPattern      // [string]: value
    };
    Kind kind{};
    Position position;
    std::string label;  // empty for kPattern
    /// A vector of exactly one element: Expression is an incomplete type here.
    std::vector<Expression> value;
  };

  ExpressionKind kind{};
  Position position;
  Scalar literal;
  std::string name;
  BoundOperator bound_operator{};
  std::vector<Expression> children;
  std::vector<Field> fields;
  bool is_open = false;  // ends in `...`; the last child of an open list constrains all further elements
};

/// Parses the file into one struct. Throws Errors with all syntax errors: after a syntax error, parsing
/// continues at the next line that begins with a label. The work is bounded by a multiple of the text's
/// length.
[[nodiscard]] Expression parse(const File& file);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SYNTAX_HPP_
