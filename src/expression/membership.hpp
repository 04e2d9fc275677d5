// Analysis of conditions: their conjuncts, and which of these test a single field against constants. Used to
// index conditions by field values.
#ifndef DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_
#define DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_

#include <optional>
#include <vector>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// A test of whether the value of one field, a string or an int, is in a set of constants.
struct Membership {
  int field = -1;             // its number in the environment
  std::vector<Value> values;  // views of the condition's tree
};

// Returns the operands of a conjunction, including those of nested conjunctions, or the condition itself if
// it is not a conjunction. The pointers refer to nodes of `condition`.
[[nodiscard]] std::vector<const Node*> conjuncts(const Node& condition);

// Returns the test of a conjunct of the form field == constant or field in [constants], or nullopt for any
// other conjunct.
[[nodiscard]] std::optional<Membership> membership(const Node& conjunct);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_
