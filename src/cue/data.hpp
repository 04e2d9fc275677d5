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

/// A scalar, list or struct that Schema::read() returned. Callers need not check what the schema guarantees:
/// calling an accessor of the wrong kind is a bug in the program, whatever the file contains, and throws
/// std::logic_error. References that accessors return are valid as long as the Data they were taken from.
class Data {
 public:
  using Fields = std::vector<std::pair<std::string, Data>>;  // in the order of the file
  using Items = std::vector<Data>;
  using Content = std::variant<Scalar, Items, Fields>;

  /// Creates a null without a position.
  Data() = default;
  Data(Position position, std::string path, Content content)
      : position_(position), path_(std::move(path)), content_(std::move(content)) {}

  /// Returns the value's position in the file. in_file() is false for a default of the schema.
  [[nodiscard]] Position where() const { return position_; }
  /// Returns the path of the value, such as `rules[2].limit.rate`.
  [[nodiscard]] const std::string& path() const { return path_; }

  /// Returns a field of a struct, or a null if there is no such field or the value is not a struct.
  [[nodiscard]] const Data& operator[](std::string_view field) const;
  /// Returns whether the struct has the field with a value other than null.
  [[nodiscard]] bool has(std::string_view field) const { return !(*this)[field].is_null(); }

  [[nodiscard]] bool is_null() const;
  /// Returns the value of a string.
  [[nodiscard]] const std::string& text() const;
  /// Returns the value of an integer.
  [[nodiscard]] std::int64_t integer() const;
  /// Returns the value of an integer or a floating-point number.
  [[nodiscard]] double real() const;
  /// Returns the value of a bool.
  [[nodiscard]] bool flag() const;
  /// Returns the elements of a list.
  [[nodiscard]] const Items& items() const;
  /// Returns the fields of a struct.
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
