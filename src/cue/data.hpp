// A configuration that has been checked against its schema: plain values, each with its position in the file.
#ifndef DISPATCHER_CUE_DATA_HPP_
#define DISPATCHER_CUE_DATA_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cue/errors.hpp"
#include "cue/scalar.hpp"
#include "cue/source.hpp"

namespace dispatcher::cue {

/// A scalar, list or struct that Schema::read() returned. What the schema guarantees is accessed without a
/// check: calling an accessor of the wrong kind is a bug in the program, whatever the file contains, and
/// throws std::logic_error. References that accessors return live as long as the Data they were taken from.
class Data {
 public:
  using Fields = std::vector<std::pair<std::string, Data>>;  // in the file's order
  using Items = std::vector<Data>;
  using Content = std::variant<Scalar, Items, Fields>;

  /// A null without a position.
  Data() = default;
  Data(Position position, std::string path, Content content)
      : position_(position), path_(std::move(path)), content_(std::move(content)) {}

  /// Where the file has the value; not in_file() where it is the schema's default.
  [[nodiscard]] Position where() const { return position_; }
  /// The field's path, as `rules[2].limit.rate`.
  [[nodiscard]] const std::string& path() const { return path_; }

  /// The field of a struct; a null where there is no such field, or no struct.
  [[nodiscard]] const Data& operator[](std::string_view field) const;
  /// Whether the struct has the field with a value other than null.
  [[nodiscard]] bool has(std::string_view field) const { return !(*this)[field].is_null(); }

  [[nodiscard]] bool is_null() const;
  /// The value of a string.
  [[nodiscard]] const std::string& text() const;
  /// The value of an integer.
  [[nodiscard]] std::int64_t integer() const;
  /// The value of an integer or a floating-point number.
  [[nodiscard]] double real() const;
  /// The value of a bool.
  [[nodiscard]] bool flag() const;
  /// The elements of a list.
  [[nodiscard]] const Items& items() const;
  /// The fields of a struct.
  [[nodiscard]] const Fields& fields() const;

 private:
  template <class T>
  [[nodiscard]] const T* scalar_if() const {
    const auto* scalar = std::get_if<Scalar>(&content_);
    return scalar == nullptr ? nullptr : std::get_if<T>(scalar);
  }
  template <class T>
  [[nodiscard]] const T& scalar(const char* expected) const {
    return require(scalar_if<T>(), expected);
  }
  template <class T>
  [[nodiscard]] const T& require(const T* value, const char* expected) const {
    if (value == nullptr) throw_wrong_kind(expected);
    return *value;
  }
  [[noreturn]] void throw_wrong_kind(const char* expected) const;

  Position position_;
  std::string path_;
  Content content_ = Scalar(Null{});
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_DATA_HPP_
