// The bytecode of a compiled expression, for a stack machine.
#ifndef DISPATCHER_EXPRESSION_BYTECODE_HPP_
#define DISPATCHER_EXPRESSION_BYTECODE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "expression/automaton.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// An instruction that computes a value pops its operands, the right one first, and pushes the result. If an
// operand is an error, that error is the result; if both operands are, the result is the left one.
enum class Opcode : std::uint8_t {
  kConstant,     // pushes a constant; operand: its index
  kField,        // pushes a field; operand: its number; second operand: its maximum length, if it is a string
  kPresent,      // pushes whether a field has a value; operand: its number
  kJumpIfFalse,  // operand: the jump target; the bool is not popped
  kJumpIfTrue,   // as for kJumpIfFalse
  // Pops a bool and jumps to the operand if it is false. An error is not popped; then the jump is to the
  // second operand.
  kBranch,
  kJump,  // operand: the jump target
  kAnd,   // false if either side is false, even if the other one is an error
  kOr,    // true if either side is true, even if the other one is an error
  kNot,
  kNegate,
  kEqual,
  kUnequal,
  kLess,       // operand: kReversed or 0
  kLessEqual,  // as for kLess
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  kInList,     // operand: the index of the lookup table
  kInMap,      // as for kInList
  kIndexList,  // as for kInList
  kIndexMap,   // as for kInList
  kSize,
  kStartsWith,
  kEndsWith,
  kContains,
  kMatches,  // operand: the index of the automaton
  kToInt,
  kToDouble,
  kToString
};

// The operand of a comparison whose sides are exchanged: a > b is computed as b < a, although a is still
// evaluated first.
inline constexpr std::int32_t kReversed = 1;

// An instruction with its operands. Jump targets are indices of instructions; all jumps lead forwards.
struct Instruction {
  Opcode opcode{};
  std::int32_t operand = 0;
  std::int32_t second_operand = 0;
};

// Either the elements of a constant list, as keys, which are sorted if they serve membership tests only; or
// the sorted keys of a map with their values.
struct LookupTable {
  std::vector<Value> keys;
  std::vector<Value> values;
};

// Instructions with the constants, tables and automata that they refer to.
struct Bytecode {
  std::vector<Instruction> instructions;
  std::vector<Value> constants;
  std::vector<LookupTable> tables;
  std::vector<Automaton> automata;
  std::vector<std::unique_ptr<std::string>> strings;  // owns the strings that constants and tables view
  std::size_t max_stack = 0;                          // maximum number of values on the stack
  std::size_t max_text = 0;                           // maximum bytes of strings that one evaluation creates
};

// The maximum lengths of the strings that numbers are converted to, in bytes.
inline constexpr std::size_t kMaxIntText = 20;
inline constexpr std::size_t kMaxDoubleText = 32;

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_BYTECODE_HPP_
