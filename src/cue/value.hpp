// The values that expressions evaluate to. A value need not be concrete: it may be a type, a bound or a
// disjunction.
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

/// A single concrete value or a set of concrete values. `kinds` determines which members constrain it. A
/// disjunction has disjuncts and no other constraint.
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
  KindSet kinds = kAllKinds;  // kinds of the concrete values; empty if there are none
  std::optional<Scalar> scalar;
  std::vector<Bound> bounds;
  std::vector<Field> fields;
  std::vector<ValuePtr> patterns;  // constraints on every field, whatever its label
  bool is_closed = false;          // allows only the labels of `fields`, or any label if there are patterns
  std::vector<ValuePtr> items;
  ValuePtr further_items;  // constraint on the items of a list after `items`; null if none may follow
  std::vector<Disjunct> disjuncts;
};

/// Creates a value of any of the kinds, without further constraints. The caller may add constraints before it
/// shares the value.
[[nodiscard]] std::shared_ptr<Value> make_value(Position position, KindSet kinds);
/// Creates the value that is exactly this scalar.
[[nodiscard]] ValuePtr make_scalar_value(Position position, Scalar scalar);
/// Returns whether the value is `_`, of which every value is an instance.
[[nodiscard]] bool is_top(const Value& value);
/// Returns whether one of the disjuncts is marked as default.
[[nodiscard]] bool has_default(const std::vector<Value::Disjunct>& disjuncts);
/// Returns the right value's position if that is in the file, otherwise the left value's. This prefers the
/// position in the file to the schema's.
[[nodiscard]] Position file_position(const ValuePtr& left, const ValuePtr& right);
/// Returns the value as error messages show it, as the expected value or as the value found.
[[nodiscard]] std::string describe(const Value& value);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_VALUE_HPP_
