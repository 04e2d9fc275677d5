// Types and values of the expression language, a subset of CEL (https://github.com/google/cel-spec), and the
// fields that expressions may use.
#ifndef DISPATCHER_EXPRESSION_VALUE_HPP_
#define DISPATCHER_EXPRESSION_VALUE_HPP_

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::expression {

// The kinds of values and types. kError stands for an evaluation without a value, or for an ill-typed
// expression.
enum class Kind : std::uint8_t { kError, kBool, kInt, kDouble, kString, kList, kMap };

// Returns the kind's name for error messages.
[[nodiscard]] const char* name(Kind kind);

// The type of an expression. Lists and maps contain scalars only, so types are not nested.
struct Type {
  Kind kind = Kind::kError;
  Kind key = Kind::kError;      // kind of a map's keys
  Kind element = Kind::kError;  // kind of a list's elements, or of a map's values
  bool operator==(const Type&) const = default;
};

// Returns the type as error messages show it, such as map(string, int).
[[nodiscard]] std::string to_text(const Type& type);

// Why an evaluation has no value.
enum class EvaluationError : std::uint8_t {
  kAbsent,  // a field that the request lacks
  kOverflow,
  kDivisionByZero,
  kNoSuchKey,
  kIndexOutOfRange,
  kInvalidNumber  // a string that cannot be converted to a number
};

// Returns the error's description, as operators see it.
[[nodiscard]] const char* name(EvaluationError error);

// A scalar, or an error in its place. Does not own its string, which is a view of the request, of a program's
// constants or of the Scratch in which it was created.
struct Value {
  Kind kind = Kind::kError;
  EvaluationError error = EvaluationError::kAbsent;  // if the kind is kError
  std::uint32_t size = 0;                            // length of a string, in bytes
  union {
    bool boolean;
    std::int64_t integer;
    double real;
    const char* bytes;
  };
  Value() : integer(0) {}
  static Value of(bool given) {
    Value value(Kind::kBool);
    value.boolean = given;
    return value;
  }
  static Value of(std::int64_t given) {
    Value value(Kind::kInt);
    value.integer = given;
    return value;
  }
  static Value of(double given) {
    Value value(Kind::kDouble);
    value.real = given;
    return value;
  }
  // Returns a view of `given`, which must be shorter than 4 GiB.
  static Value of(std::string_view given) {
    Value value(Kind::kString);
    value.size = static_cast<std::uint32_t>(given.size());
    value.bytes = given.data();
    return value;
  }
  // Without this overload a string literal would be converted to bool.
  static Value of(const char* given) { return of(std::string_view(given)); }
  static Value of(EvaluationError given) {
    Value value;
    value.error = given;
    return value;
  }
  // Must be called for a string only.
  [[nodiscard]] std::string_view text() const { return {bytes, size}; }
  [[nodiscard]] bool is(bool given) const { return kind == Kind::kBool && boolean == given; }
  [[nodiscard]] bool failed() const { return kind == Kind::kError; }

 private:
  explicit Value(Kind of_kind) : kind(of_kind), integer(0) {}
};

// Returns whether two values are equal in the expression language: values of different kinds are unequal, and
// so are two errors.
[[nodiscard]] bool same(const Value& left, const Value& right);

// Compares two values of one scalar kind. Returns a negative number, zero or a positive number, or nullopt if
// they are unordered, as NaN is to any number.
[[nodiscard]] inline std::optional<int> compare(const Value& left, const Value& right) {
  const auto compare_numbers = [](auto first, auto second) {
    if (first < second) return -1;
    return first > second ? 1 : 0;
  };
  switch (left.kind) {
    case Kind::kBool:
      return static_cast<int>(left.boolean) - static_cast<int>(right.boolean);
    case Kind::kInt:
      return compare_numbers(left.integer, right.integer);
    case Kind::kDouble:
      if (std::isnan(left.real) || std::isnan(right.real)) return std::nullopt;
      return compare_numbers(left.real, right.real);
    case Kind::kString:
      return left.text().compare(right.text());
    default:
      return std::nullopt;
  }
}

// Returns whether the first of two values of one scalar kind is the lesser one. This is a strict weak
// ordering unless a value is NaN.
[[nodiscard]] inline bool is_less(const Value& left, const Value& right) {
  switch (left.kind) {
    case Kind::kBool:
      return !left.boolean && right.boolean;
    case Kind::kInt:
      return left.integer < right.integer;
    case Kind::kDouble:
      return left.real < right.real;
    case Kind::kString:
      return left.text() < right.text();
    default:
      return false;
  }
}

// Returns the value in the notation of expressions, for diagnostics. Strings are quoted, but not escaped.
[[nodiscard]] std::string to_text(const Value& value);

// The declaration of a field that expressions may use, such as request.class.
struct Field {
  std::string path;  // as written in expressions
  Kind kind{};
  bool optional = false;       // whether the field may be absent from a request
  std::size_t max_length = 0;  // maximum length of a string, in bytes; a longer one counts as absent
  std::optional<std::vector<std::string>> domain = {};  // if set, a string is always one of these
};

// The declared fields by number. An evaluation is given their values in this order.
class Environment {
 public:
  // Adds a field and returns its number.
  int add(Field field) {
    fields_.push_back(std::move(field));
    return static_cast<int>(fields_.size()) - 1;
  }
  // Returns the number of the field with this path, or -1 if there is none.
  [[nodiscard]] int find(std::string_view path) const;
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_VALUE_HPP_
