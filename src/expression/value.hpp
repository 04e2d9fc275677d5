// Types and values of the matching language, and the fields that expressions may ask for.
#ifndef DISPATCHER_EXPRESSION_VALUE_HPP_
#define DISPATCHER_EXPRESSION_VALUE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::expression {

enum class Kind : std::uint8_t { kError, kBool, kInt, kDouble, kString, kList, kMap };
const char* name(Kind kind);

struct Type {
  Kind kind = Kind::kError;
  Kind key = Kind::kError;      // of a map
  Kind element = Kind::kError;  // of a list; a map's values
  bool operator==(const Type&) const = default;
};
std::string to_text(const Type& type);

// Why an evaluation has no value.
enum class Fault : std::uint8_t { kAbsent, kOverflow, kDivision, kNoKey, kRange, kConversion };
const char* name(Fault fault);

// One value, or the fault in its place. A text is a view: of the request, of a program's constants or of the
// scratch it was made in.
struct Value {
  Kind kind = Kind::kError;
  Fault fault = Fault::kAbsent;
  std::uint32_t size = 0;  // of a text, in bytes; of a list or map: its number among the constants
  union {
    bool truth;
    std::int64_t integer;
    double real;
    const char* bytes;
  };
  Value() : integer(0) {}
  static Value of(bool given) {
    Value value;
    value.kind = Kind::kBool;
    value.truth = given;
    return value;
  }
  static Value of(std::int64_t given) {
    Value value;
    value.kind = Kind::kInt;
    value.integer = given;
    return value;
  }
  static Value of(double given) {
    Value value;
    value.kind = Kind::kDouble;
    value.real = given;
    return value;
  }
  static Value of(std::string_view given) {  // of less than 4 GiB
    Value value;
    value.kind = Kind::kString;
    value.size = static_cast<std::uint32_t>(given.size());
    value.bytes = given.data();
    return value;
  }
  static Value of(const char* given) {
    return of(std::string_view(given));
  }  // which would be taken for a bool
  static Value of(Fault given) {
    Value value;
    value.fault = given;
    return value;
  }
  [[nodiscard]] std::string_view text() const { return {bytes, size}; }
  [[nodiscard]] bool is(bool given) const { return kind == Kind::kBool && truth == given; }
  [[nodiscard]] bool failed() const { return kind == Kind::kError; }
};
// Equal as the language has it; values of different kinds never are.
bool same(const Value& left, const Value& right);
std::string to_text(const Value& value);

struct Field {
  std::string path;  // as expressions write it: request.class
  Kind kind{};
  bool optional = false;                                // some requests lack it
  std::size_t longest = 0;                              // of a text, in bytes: a longer one never comes
  std::optional<std::vector<std::string>> domain = {};  // of a text: it is one of these
};

// The fields by number: an evaluation is given their values in this order.
class Environment {
 public:
  int add(Field field) {
    fields_.push_back(std::move(field));
    return static_cast<int>(fields_.size()) - 1;
  }
  [[nodiscard]] int find(std::string_view path) const;  // -1: unknown
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_VALUE_HPP_
