// The values that expressions evaluate to. A value need not be concrete: it may be a type, a bound or a
// choice.
#ifndef DISPATCHER_CUE_VALUE_HPP_
#define DISPATCHER_CUE_VALUE_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cue/bound.hpp"
#include "cue/scalar.hpp"
#include "cue/source.hpp"

namespace dispatcher::cue {

struct Value;
/// Values are shared and never change once they are built.
using ValuePtr = std::shared_ptr<const Value>;

/// The kinds of concrete values, as bits of a KindSet.
enum Kinds : unsigned {
  kNullKind = 1,
  kBoolKind = 2,
  kIntKind = 4,
  kFloatKind = 8,
  kStringKind = 16,
  kStructKind = 32,
  kListKind = 64,
  kNumberKinds = kIntKind | kFloatKind,
  kAllKinds = 127
};
/// A set of Kinds.
using KindSet = unsigned;

/// A set of concrete values, or a single one. Which members constrain it depends on `kinds`; a disjunction
/// has disjuncts and no other constraint.
struct Value {
  /// A field of a struct.
  struct Field {
    std::string label;
    bool is_optional = false;
    Position position;
    ValuePtr value;
  };
  /// An alternative of a disjunction.
  struct Disjunct {
    ValuePtr value;
    bool is_default = false;  // marked `*`
  };

  Position position;
  KindSet kinds = kAllKinds;  // of the concrete values; empty: there is none
  std::optional<Scalar> scalar;
  std::vector<Bound> bounds;
  std::vector<Field> fields;
  std::vector<ValuePtr> patterns;  // constraints on every field, whatever its label
  bool is_closed = false;          // allows no fields but `fields` and, where there are patterns, any others
  std::vector<ValuePtr> items;
  ValuePtr further_items;  // constraint on the items of a list after `items`; null: there are none
  std::vector<Disjunct> disjuncts;
};

/// A value of any of the kinds, without further constraints. The caller may add some before it shares it.
[[nodiscard]] std::shared_ptr<Value> make_value(Position position, KindSet kinds);
/// The value that is just this scalar.
[[nodiscard]] ValuePtr make_scalar_value(Position position, Scalar scalar);
/// Whether the value is `_`: every value is an instance of it.
[[nodiscard]] bool is_top(const Value& value);
/// Whether one of the disjuncts is marked as default.
[[nodiscard]] bool has_default(const std::vector<Value::Disjunct>& disjuncts);
/// The position of the value that the file gives, rather than that of the schema's: the right one's, if it
/// has one.
[[nodiscard]] Position file_position(const ValuePtr& left, const ValuePtr& right);
/// The value as error messages show it: what was expected, or what was found.
[[nodiscard]] std::string describe(const Value& value);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_VALUE_HPP_
