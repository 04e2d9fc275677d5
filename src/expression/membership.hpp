// Finds what must hold of single fields for a condition to hold.
#ifndef DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_
#define DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_

#include <optional>
#include <vector>

#include "expression/ast.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// A test whether the value of one field, a string or an int, is one of some constants.
struct Membership {
  int field = -1;             // its number in the environment
  std::vector<Value> values;  // views of the condition's tree
};

// The parts of a condition that must all hold for it to hold. Pointers into `condition`.
[[nodiscard]] std::vector<const Node*> parts(const Node& condition);

// What a part tests, where it is nothing but the membership of one field: field == constant, or field in
// [constants]; else nullopt.
[[nodiscard]] std::optional<Membership> membership(const Node& part);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_MEMBERSHIP_HPP_
