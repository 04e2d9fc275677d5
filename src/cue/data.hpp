// A record that has been checked: plain values, each with where it stands in its file.
#ifndef DISPATCHER_CUE_DATA_HPP_
#define DISPATCHER_CUE_DATA_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cue/syntax.hpp"

namespace dispatcher::cue {

struct Null {
  auto operator<=>(const Null&) const = default;
};
using Scalar = std::variant<Null, bool, std::int64_t, double, std::string>;

// What the schema promises may be asked for without a check: a wrong call is a fault of the program and
// throws std::logic_error, whatever the file says.
class Data {
 public:
  using Fields = std::vector<std::pair<std::string, Data>>;  // in the file's order
  using Items = std::vector<Data>;
  using Content = std::variant<Scalar, Items, Fields>;
  Data() = default;
  Data(Position at, std::string path, Content content)
      : at_(at), path_(std::move(path)), content_(std::move(content)) {}

  [[nodiscard]] Position where() const { return at_; }             // line 0: the schema's default
  [[nodiscard]] const std::string& path() const { return path_; }  // as rules[2].limit.rate
  const Data& operator[](std::string_view field) const;            // a null where the record lacks it
  [[nodiscard]] bool has(std::string_view field) const { return !(*this)[field].is_null(); }
  [[nodiscard]] bool is_null() const;
  [[nodiscard]] const std::string& text() const;
  [[nodiscard]] std::int64_t integer() const;
  [[nodiscard]] double real() const;  // of an integer, too
  [[nodiscard]] bool flag() const;
  [[nodiscard]] const Items& items() const;
  [[nodiscard]] const Fields& fields() const;

 private:
  template <class T>
  [[nodiscard]] const T* scalar() const {
    const auto* value = std::get_if<Scalar>(&content_);
    return value == nullptr ? nullptr : std::get_if<T>(value);
  }
  Position at_;
  std::string path_;
  Content content_ = Scalar(Null{});
};

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_DATA_HPP_
