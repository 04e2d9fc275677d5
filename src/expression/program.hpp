// An expression as a flat program for a small stack machine. All jumps lead forwards, so that the longest way
// through it, and with it its worst cost, is known before it ever runs.
#ifndef DISPATCHER_EXPRESSION_PROGRAM_HPP_
#define DISPATCHER_EXPRESSION_PROGRAM_HPP_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "expression/automaton.hpp"
#include "expression/syntax.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

inline constexpr std::size_t kMaxMade = std::size_t{64} * 1024;  // bytes of text that one evaluation may make

// Where an evaluation works. One serves any number of programs, one after another; what a program made in it
// holds until the next one runs.
class Scratch {
 public:
  void reserve(std::size_t values, std::size_t text) {
    if (values_.size() < values) values_.resize(values);
    if (text_.size() < text) text_.resize(text);
  }

 private:
  friend class Program;
  std::vector<Value> values_;
  std::vector<char> text_;
};

class Program {
 public:
  // Throws Errors, also where a text grows too long or a pattern too large.
  static Program compile(std::string_view text, const Environment& fields, Kind wanted);

  // `fields`: the values in the environment's order, a fault in place of one that is absent. `scratch` must
  // have been reserved for this program. Allocates nothing, throws nothing, and takes no longer than
  // worst_ns().
  Value run(std::span<const Value> fields, Scratch& scratch) const noexcept;

  [[nodiscard]] double worst_ns() const { return worst_ns_; }  // computed; docs/design/matching.md has how
  [[nodiscard]] std::size_t max_values() const { return values_; }  // what the scratch must have room for ...
  [[nodiscard]] std::size_t max_text() const { return text_; }
  [[nodiscard]] std::size_t longest() const { return longest_; }  // of the result, where it is a text
  [[nodiscard]] std::size_t bytes() const;                        // of memory
  [[nodiscard]] const Node& tree() const { return tree_; }        // as it was checked
  [[nodiscard]] std::size_t size() const { return code_.size(); }

 private:
  friend class Compiler;
  enum class Do : std::uint8_t {
    kConstant,   // a: its number
    kField,      // a; b: the longest that its text may be
    kPresent,    // a
    kJumpFalse,  // a: where to, if the value on top is false; it stays
    kJumpTrue,
    kBranch,  // takes a truth: false goes to a; a fault stays and goes to b
    kJump,    // a
    kAnd,
    kOr,
    kNot,
    kNegate,
    kEqual,
    kUnequal,
    kLess,
    kLessEqual,
    kAdd,
    kSubtract,
    kMultiply,
    kDivide,
    kRemainder,
    kInList,  // a: the list
    kInMap,
    kIndexList,
    kIndexMap,
    kSize,
    kStartsWith,
    kEndsWith,
    kContains,
    kMatches,  // a: the automaton
    kToInt,
    kToDouble,
    kToString
  };
  struct Step {
    Do what{};
    std::int32_t a = 0, b = 0;
  };
  struct Table {  // a list, or a map's keys in order with their values
    std::vector<Value> keys, values;
  };
  static Value calculate(Do what, const Value& left, const Value& right) noexcept;
  static Value whole(Do what, std::int64_t left, std::int64_t right) noexcept;
  static Value real(Do what, double left, double right) noexcept;
  static Value compared(Do what, const Value& left, const Value& right) noexcept;
  static Value searched(Do what, std::string_view text, std::string_view part) noexcept;
  static Value converted(Do what, const Value& value, char*& free) noexcept;
  [[nodiscard]] Value looked_up(const Step& step, const Value& key) const noexcept;

  Node tree_;
  std::vector<Step> code_;
  std::vector<Value> constants_;
  std::vector<Table> tables_;
  std::vector<Automaton> automata_;
  std::vector<std::unique_ptr<std::string>> texts_;  // that constants view
  std::size_t values_ = 0, text_ = 0, longest_ = 0;
  double worst_ns_ = 0;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_PROGRAM_HPP_
